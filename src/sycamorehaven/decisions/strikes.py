"""
Strikes against requests that seem to crash backend servers.

A crash ends all requests that the server runs, so one lost server proves
nothing. A request that has lost several servers is no longer sent to any.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from sycamorehaven.routing.requests import RoutedRequest

MAX_STRIKES = 3
"""Number of lost servers at which a request is blocked."""
STRIKE_LIFETIME_SECONDS = 60.0
"""Time after which a strike expires."""
MAX_REQUESTS = 10_000
"""Limit on the requests whose strikes are remembered."""


class StrikeTable:
    """Strikes by fingerprint of a request, in bounded memory."""

    def __init__(self) -> None:
        self._strikes: dict[bytes, dict[str, float]] = {}

    def add_strike(self, fingerprint: bytes, server: str, now: float) -> None:
        """
        Record that a server was lost while it ran a request.

        :param fingerprint: fingerprint of the request.
        :param server: id of the server together with its start, so that all
            runs lost in one crash count once and a crash after a restart
            counts again.
        :param now: monotonic seconds.
        """
        if fingerprint not in self._strikes and len(self._strikes) >= MAX_REQUESTS:
            del self._strikes[next(iter(self._strikes))]
        self._strikes.setdefault(fingerprint, {})[server] = now

    def clear_strikes(self, fingerprint: bytes) -> bool:
        """Clear a request that was served; return whether it had strikes."""
        return self._strikes.pop(fingerprint, None) is not None

    def is_blocked(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a request must not be sent to any server."""
        strikes = self._strikes.get(fingerprint)
        if strikes is None:
            return False
        recent = [
            struck_at
            for struck_at in strikes.values()
            if now - struck_at < STRIKE_LIFETIME_SECONDS
        ]
        return len(recent) >= MAX_STRIKES


def fingerprint_request(request: RoutedRequest) -> bytes:
    """Return a hash of the workspace, method, target and body of a request."""
    digest = xxhash.xxh3_128()
    for part in (request.workspace, request.method, request.target):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()
