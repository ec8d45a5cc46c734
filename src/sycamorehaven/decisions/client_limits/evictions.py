"""
Which connections make way when memory or descriptors run out.

It addresses crowds of connections that stop half-way or send very slowly. An
ordinary client that sends a long body is told from them by its rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

STALL_SECONDS = 1.0
"""Time without progress after which an incomplete body may be dropped for
others; longer than a lost packet is repeated."""
WRITE_STALL_SECONDS = 3.0
"""Time after which a client that takes nothing of its answer may make way; a
client that reads steadily takes something in each second."""
SETTLE_SECONDS = 1.0
"""Age from which a connection counts; a client that was just accepted has yet
to send its request."""


class UnfinishedRequest(NamedTuple):
    """
    What a connection has received of a request that is not complete.

    :ivar connection: identifies the connection.
    :ivar began_at: when it began, in monotonic seconds.
    :ivar progressed_at: when the last bytes arrived.
    :ivar received: bytes that have arrived.
    """

    connection: int
    began_at: float
    progressed_at: float
    received: int


def list_stalled(requests: Iterable[UnfinishedRequest], now: float) -> list[int]:
    """
    Return the connections whose bodies are dropped when memory runs out.

    :returns: the one longest without progress first.
    """
    stalled = [r for r in requests if now - r.progressed_at >= STALL_SECONDS]
    stalled.sort(key=lambda request: request.progressed_at)
    return [request.connection for request in stalled]


def list_slowest(requests: Iterable[UnfinishedRequest], now: float) -> list[int]:
    """
    Return the connections that make way for new ones, the first one first.

    Those younger than ``SETTLE_SECONDS`` come last, because the rest of their
    requests may be on its way. The slowest ones go first.
    """

    def rank(request: UnfinishedRequest) -> tuple[bool, float, float]:
        is_young = now - request.began_at < SETTLE_SECONDS
        return is_young, compute_rate(request, now), request.began_at

    return [request.connection for request in sorted(requests, key=rank)]


def compute_rate(request: UnfinishedRequest, now: float) -> float:
    """Return the bytes per second at which a request has arrived so far."""
    return request.received / max(now - request.began_at, SETTLE_SECONDS)
