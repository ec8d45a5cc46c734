"""
Admission: what an edge queues and what it refuses at once.

Three bounds: the number of requests of a workspace, the bytes of all bodies,
and the deadline. The last is judged by the rate at which the queue has
drained while something waited in it, taken at its favourable end, so that a
request which can still be served is not refused.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from sycamorehaven.call import INTERACTIVE

RATE_MEMORY = 10.0
"""Seconds of waiting after which a grant has lost two thirds of its weight."""
IDLE_MEMORY = 60.0
"""Seconds without waiting after which the same holds."""
LEAST_EVIDENCE = 2.0
"""Seconds of waiting before a rate is used to refuse."""
RATE_MARGIN = 2.0
"""Standard deviations by which the drain may be faster than measured."""
TIME_QUANTILE = 0.05
"""Quantile of the service time that a request is judged by."""
TIME_STEP = 0.1
"""Relative step of the running quantile."""
LEAST_TIMES = 16
"""Ended requests before the service time is used to refuse."""
TIME_MARGIN = 0.5
"""Part of the service time that a request is judged by."""
BATCH_PART = 0.75
"""Part of a workspace's queue that batch requests may fill."""
SHORTEST_RETRY = 1.0
"""Least Retry-After, seconds."""
LONGEST_RETRY = 60.0
"""Largest Retry-After, seconds; said when nothing drains."""
MOST_QUEUED_BYTES = 67_108_864
"""Bytes of bodies that one router queues."""


class DrainRate(NamedTuple):
    """
    Grants to one queue while something waited in it; both fade.

    :ivar grants: number of grants.
    :ivar waited: seconds in which something waited.
    :ivar measured_at: monotonic seconds up to which both are kept.
    """

    grants: float = 0.0
    waited: float = 0.0
    measured_at: float = 0.0

    def advance(self, now: float, *, waiting: bool) -> DrainRate:
        """
        Return the rate brought up to ``now``.

        :param waiting: whether something waited since the last call.
        """
        passed = max(now - self.measured_at, 0.0) if self.measured_at else 0.0
        keep = math.exp(-passed / (RATE_MEMORY if waiting else IDLE_MEMORY))
        waited = self.waited * keep
        if waiting:
            waited += RATE_MEMORY * (1.0 - keep)
        return DrainRate(self.grants * keep, waited, now)

    def add_grant(self, now: float, *, waiting: bool) -> DrainRate:
        """Return the rate with one more grant."""
        current = self.advance(now, waiting=waiting)
        return current._replace(grants=current.grants + 1.0)

    def estimate(self) -> float | None:
        """Return grants per second, ``None`` if nothing has waited yet."""
        return self.grants / self.waited if self.waited > 0.0 else None

    def bound(self) -> float:
        """Return the rate that the drain may well have, grants per second."""
        if self.waited < LEAST_EVIDENCE:
            return math.inf
        spare = 1.0 + RATE_MARGIN * math.sqrt(self.grants + 1.0)
        return (self.grants + spare) / self.waited


class ServiceTime(NamedTuple):
    """
    A running low quantile of the time from the grant to the end.

    :ivar quantile: seconds.
    :ivar observed: requests that it was learned from.
    :ivar learned_at: monotonic seconds of the last one.
    """

    quantile: float = 0.0
    observed: int = 0
    learned_at: float = 0.0

    def learn(self, seconds: float, now: float) -> ServiceTime:
        """Return the quantile after one more request has ended."""
        if not self.observed:
            return ServiceTime(seconds, 1, now)
        known = self.quantile
        step = TIME_QUANTILE if seconds >= known else TIME_QUANTILE - 1.0
        moved = known * math.exp(TIME_STEP * step)
        moved = min(moved, seconds) if seconds >= known else max(moved, seconds)
        return ServiceTime(moved, self.observed + 1, now)

    def bound(self, now: float) -> float:
        """
        Return seconds that a request needs at least, 0 if unknown.

        What was learned fades, so that it can't refuse for good the requests
        that would correct it.
        """
        if self.observed < LEAST_TIMES:
            return 0.0
        age = max(now - self.learned_at, 0.0)
        return TIME_MARGIN * self.quantile * math.exp(-age / IDLE_MEMORY)


class Admission(NamedTuple):
    """
    What a request asks for.

    :ivar ahead: requests of its class that go before it.
    :ivar time_left: seconds to its deadline.
    :ivar service_time: seconds that it needs at least once granted.
    :ivar size: bytes of its body.
    """

    ahead: int
    time_left: float
    service_time: float
    size: int


class QueueState(NamedTuple):
    """
    The queues of one router, as one workspace meets them.

    :ivar waiting: requests of the workspace that wait for the service.
    :ivar limit: the most that may.
    :ivar own_bytes: bytes of bodies of the workspace that wait.
    :ivar all_bytes: bytes of all bodies that wait.
    :ivar rate: drain of the queue that the request would join.
    """

    waiting: int
    limit: int
    own_bytes: int
    all_bytes: int
    rate: DrainRate


class Rejection(NamedTuple):
    """
    A refusal.

    :ivar code: ``"queue_full"``, ``"queue_memory_full"`` or
        ``"deadline_unreachable"``.
    :ivar retry_after: seconds after which trying again may help.
    """

    code: str
    retry_after: float


def check_admission(request: Admission, state: QueueState) -> Rejection | None:
    """Return why a request is refused, ``None`` if it may wait."""
    if state.waiting >= state.limit:
        return Rejection("queue_full", estimate_retry(request.ahead, state.rate))
    if not fits_memory(request.size, state.own_bytes, state.all_bytes):
        return Rejection("queue_memory_full", estimate_retry(request.ahead, state.rate))
    if not can_finish(request, state.rate):
        return Rejection(
            "deadline_unreachable", estimate_retry(request.ahead, state.rate)
        )
    return None


def fits_memory(
    size: int, own: int, total: int, bound: int = MOST_QUEUED_BYTES
) -> bool:
    """
    Return whether a body may be queued.

    A workspace may hold as much as stays free, so the one that holds most is
    refused first and leaves room for others.

    :param size: bytes of the body.
    :param own: bytes that the workspace has queued.
    :param total: bytes that all have queued.
    """
    return size == 0 or own + size <= bound - total - size


def can_finish(request: Admission, rate: DrainRate) -> bool:
    """Return whether a request may still end before its deadline."""
    wait = request.ahead / rate.bound()
    return wait + request.service_time < request.time_left


def estimate_retry(ahead: int, rate: DrainRate) -> float:
    """
    Return seconds after which ``ahead`` requests will have drained.

    The longest if nothing drains, the shortest if nothing is known.
    """
    measured = rate.estimate()
    if measured is None:
        return SHORTEST_RETRY
    if measured <= 0.0:
        return LONGEST_RETRY if rate.waited >= LEAST_EVIDENCE else SHORTEST_RETRY
    return min(max(ahead / measured, SHORTEST_RETRY), LONGEST_RETRY)


def limit_queue(limit: int, priority: str) -> int:
    """
    Return how many requests may wait before one of a class is refused.

    Batch leaves a part of the queue to interactive requests.

    :param limit: the workspace's bound, requests.
    """
    if priority == INTERACTIVE:
        return limit
    return max(math.floor(limit * BATCH_PART), 1)
