"""
Requests that seem to crash the backend servers that run them.

A crash hits everything that a server runs, so one loss proves nothing. A
request whose servers were lost one after the other is sent nowhere any more.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from sycamorehaven.routing.requests import RoutedRequest

MAX_STRIKES = 3
"""Lost servers after which a request is sent nowhere."""
STRIKE_LIFETIME_SECONDS = 60.0
"""Seconds after which a strike is forgotten."""
MAX_REQUESTS = 10_000
"""Requests with strikes that are remembered."""


class StrikeTable:
    """Strikes by fingerprint of a request."""

    def __init__(self) -> None:
        self._strikes: dict[bytes, dict[str, float]] = {}

    def add_strike(self, fingerprint: bytes, server: str, now: float) -> None:
        """
        Take in that a server was lost while it ran a request.

        :param server: one life of the server, so that what it ran together
            counts once, and a crash after its restart counts again.
        """
        if fingerprint not in self._strikes and len(self._strikes) >= MAX_REQUESTS:
            del self._strikes[next(iter(self._strikes))]
        self._strikes.setdefault(fingerprint, {})[server] = now

    def clear_strikes(self, fingerprint: bytes) -> bool:
        """Take in that a request was served; return whether it had strikes."""
        return self._strikes.pop(fingerprint, None) is not None

    def is_blocked(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a request is to be sent nowhere."""
        strikes = self._strikes.get(fingerprint)
        if strikes is None:
            return False
        recent = [at for at in strikes.values() if now - at < STRIKE_LIFETIME_SECONDS]
        return len(recent) >= MAX_STRIKES


def compute_fingerprint(request: RoutedRequest) -> bytes:
    """Return what requests with one caller, path and body have in common."""
    digest = xxhash.xxh3_128()
    for part in (request.workspace, request.method, request.target):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()
