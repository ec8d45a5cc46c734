"""
Which servers began a stream, and which routers remember it.

A client may take up a broken stream at any router, also after the router that
began it was killed. Two other routers remember where it began: one in the
failure domain of the first router and one in another domain. They follow from
the stream's key, so that any router knows whom to ask.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from sycamorehaven.decisions.rendezvous import choose_candidate, rank_candidates

if TYPE_CHECKING:
    from collections.abc import Mapping

ORIGIN_LIFETIME_SECONDS = 60.0
"""Time for which the origin of a stream is kept; longer than a route's timeout
and the return of its client."""
MAX_ORIGINS = 20_000
"""Number of origins that a router keeps; about 7 MB."""
ASKED_ROUTERS_PER_DOMAIN = 2
"""Number of routers of a failure domain that are asked for an origin: the one
that remembers it, or the next if the first one began the stream itself."""


class StreamOrigin(NamedTuple):
    """
    The servers at which a stream may go on.

    :ivar service: name of the service.
    :ivar version: version of the servers' software.
    """

    service: str
    version: str


class StreamOrigins:
    """Origins by the key of the stream, the oldest first."""

    def __init__(self) -> None:
        self._origins: OrderedDict[int, tuple[StreamOrigin, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, key: int, origin: StreamOrigin, now: float) -> None:
        """Keep an origin; drop those that have expired or are too many."""
        self._origins[key] = origin, now + ORIGIN_LIFETIME_SECONDS
        self._origins.move_to_end(key)
        while len(self._origins) > MAX_ORIGINS or self._is_oldest_expired(now):
            self._origins.popitem(last=False)

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or ``None`` if it is not known."""
        origin, expires_at = self._origins.get(key, (None, 0.0))
        return origin if expires_at > now else None

    def remove(self, key: int) -> None:
        """Forget a stream that the client has completely."""
        self._origins.pop(key, None)

    def list_for_service(
        self, service: str, now: float
    ) -> list[tuple[int, StreamOrigin]]:
        """Return the keys and origins of a service's streams."""
        return [
            (key, origin)
            for key, (origin, expires_at) in self._origins.items()
            if origin.service == service and expires_at > now
        ]

    def _is_oldest_expired(self, now: float) -> bool:
        _, expires_at = next(iter(self._origins.values()))
        return expires_at <= now


def compute_stream_key(attempt_id: str) -> int:
    """
    Return the key of a stream.

    :param attempt_id: id of the client's attempt that brought its first event.
    """
    return xxhash.xxh3_64_intdigest(attempt_id.encode()) >> 1


def choose_origin_holders(key: int, own: str, domains: Mapping[str, str]) -> list[str]:
    """
    Return the hosts that remember the origin of a stream.

    :param key: key of the stream.
    :param own: host of the router that began the stream.
    :param domains: failure domain of each live host.
    """
    own_domain = domains.get(own)
    other_domains = {domain for domain in domains.values() if domain != own_domain}
    other_domain = choose_candidate(f"stream/{key}", other_domains)
    holders = [
        choose_candidate(
            f"stream/{key}",
            [host for host in domains if domains[host] == domain and host != own],
        )
        for domain in (own_domain, other_domain)
    ]
    return [host for host in holders if host is not None]


def list_possible_holders(key: int, domains: Mapping[str, str]) -> list[str]:
    """
    Return the hosts that may remember the origin of a stream.

    :param key: key of the stream.
    :param domains: failure domain of each live host.
    """
    hosts_by_domain: dict[str, list[str]] = {}
    for host in rank_candidates(f"stream/{key}", domains):
        hosts_by_domain.setdefault(domains[host], []).append(host)
    return [
        host
        for hosts in hosts_by_domain.values()
        for host in hosts[:ASKED_ROUTERS_PER_DOMAIN]
    ]
