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

WAITING_DECAY_SECONDS = 10.0
"""Seconds of waiting after which a grant has lost two thirds of its weight."""
IDLE_DECAY_SECONDS = 60.0
"""Seconds without waiting after which the same holds."""
MIN_OBSERVED_SECONDS = 2.0
"""Seconds of waiting before a rate is used to refuse."""
RATE_MARGIN_DEVIATIONS = 2.0
"""Standard deviations by which the drain may be faster than measured."""
SERVICE_TIME_QUANTILE = 0.05
"""Quantile of the service time that a request is judged by."""
QUANTILE_STEP_RATIO = 0.1
"""Relative step of the running quantile."""
MIN_SERVICE_TIMES = 16
"""Ended requests before the service time is used to refuse."""
SERVICE_TIME_MARGIN_RATIO = 0.5
"""Part of the service time that a request is judged by."""
BATCH_QUEUE_RATIO = 0.75
"""Part of a workspace's queue that batch requests may fill."""
MIN_RETRY_AFTER_SECONDS = 1.0
"""Least Retry-After, seconds."""
MAX_RETRY_AFTER_SECONDS = 60.0
"""Largest Retry-After, seconds; said when nothing drains."""
MAX_QUEUED_BYTES = 67_108_864
"""Bytes of bodies that one router queues."""


class DrainRate(NamedTuple):
    """
    Grants to one queue while something waited in it; both fade.

    :ivar grants: number of grants.
    :ivar waiting_seconds: seconds in which something waited.
    :ivar measured_at: monotonic seconds up to which both are kept.
    """

    grants: float = 0.0
    waiting_seconds: float = 0.0
    measured_at: float = 0.0

    def advance(self, now: float, *, waiting: bool) -> DrainRate:
        """
        Return the rate brought up to ``now``.

        :param waiting: whether something waited since the last call.
        """
        elapsed = max(now - self.measured_at, 0.0) if self.measured_at else 0.0
        decay_factor = math.exp(
            -elapsed / (WAITING_DECAY_SECONDS if waiting else IDLE_DECAY_SECONDS)
        )
        waited = self.waiting_seconds * decay_factor
        if waiting:
            waited += WAITING_DECAY_SECONDS * (1.0 - decay_factor)
        return DrainRate(self.grants * decay_factor, waited, now)

    def add_grant(self, now: float, *, waiting: bool) -> DrainRate:
        """Return the rate with one more grant."""
        current = self.advance(now, waiting=waiting)
        return current._replace(grants=current.grants + 1.0)

    def estimate(self) -> float | None:
        """Return grants per second, ``None`` if nothing has waited yet."""
        return (
            self.grants / self.waiting_seconds if self.waiting_seconds > 0.0 else None
        )

    def get_upper_bound(self) -> float:
        """Return the rate that the drain may well have, grants per second."""
        if self.waiting_seconds < MIN_OBSERVED_SECONDS:
            return math.inf
        margin = 1.0 + RATE_MARGIN_DEVIATIONS * math.sqrt(self.grants + 1.0)
        return (self.grants + margin) / self.waiting_seconds


class ServiceTime(NamedTuple):
    """
    A running low quantile of the time from the grant to the end.

    :ivar quantile: seconds.
    :ivar sample_count: requests that it was learned from.
    :ivar observed_at: monotonic seconds of the last one.
    """

    quantile: float = 0.0
    sample_count: int = 0
    observed_at: float = 0.0

    def observe(self, seconds: float, now: float) -> ServiceTime:
        """Return the quantile after one more request has ended."""
        if not self.sample_count:
            return ServiceTime(seconds, 1, now)
        current = self.quantile
        step = (
            SERVICE_TIME_QUANTILE if seconds >= current else SERVICE_TIME_QUANTILE - 1.0
        )
        updated = current * math.exp(QUANTILE_STEP_RATIO * step)
        updated = min(updated, seconds) if seconds >= current else max(updated, seconds)
        return ServiceTime(updated, self.sample_count + 1, now)

    def get_lower_bound(self, now: float) -> float:
        """
        Return seconds that a request needs at least, 0 if unknown.

        What was learned fades, so that it can't refuse for good the requests
        that would correct it.
        """
        if self.sample_count < MIN_SERVICE_TIMES:
            return 0.0
        age = max(now - self.observed_at, 0.0)
        return (
            SERVICE_TIME_MARGIN_RATIO
            * self.quantile
            * math.exp(-age / IDLE_DECAY_SECONDS)
        )


class AdmissionRequest(NamedTuple):
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
    :ivar workspace_bytes: bytes of bodies of the workspace that wait.
    :ivar total_bytes: bytes of all bodies that wait.
    :ivar drain_rate: drain of the queue that the request would join.
    """

    waiting: int
    limit: int
    workspace_bytes: int
    total_bytes: int
    drain_rate: DrainRate


class Rejection(NamedTuple):
    """
    A refusal.

    :ivar code: ``"queue_full"``, ``"queue_memory_full"`` or
        ``"deadline_unreachable"``.
    :ivar retry_after: seconds after which trying again may help.
    """

    code: str
    retry_after: float


def check_admission(request: AdmissionRequest, state: QueueState) -> Rejection | None:
    """Return why a request is refused, ``None`` if it may wait."""
    if state.waiting >= state.limit:
        return Rejection(
            "queue_full", estimate_retry_after(request.ahead, state.drain_rate)
        )
    if not fits_memory(request.size, state.workspace_bytes, state.total_bytes):
        return Rejection(
            "queue_memory_full", estimate_retry_after(request.ahead, state.drain_rate)
        )
    if not can_finish(request, state.drain_rate):
        return Rejection(
            "deadline_unreachable",
            estimate_retry_after(request.ahead, state.drain_rate),
        )
    return None


def fits_memory(
    size: int, workspace_bytes: int, total_bytes: int, limit: int = MAX_QUEUED_BYTES
) -> bool:
    """
    Return whether a body may be queued.

    A workspace may hold as much as stays free, so the one that holds most is
    refused first and leaves room for others.

    :param size: bytes of the body.
    :param workspace_bytes: bytes that the workspace has queued.
    :param total_bytes: bytes that all have queued.
    """
    return size == 0 or workspace_bytes + size <= limit - total_bytes - size


def can_finish(request: AdmissionRequest, rate: DrainRate) -> bool:
    """Return whether a request may still end before its deadline."""
    wait = request.ahead / rate.get_upper_bound()
    return wait + request.service_time < request.time_left


def estimate_retry_after(ahead: int, rate: DrainRate) -> float:
    """
    Return seconds after which ``ahead`` requests will have drained.

    The longest if nothing drains, the shortest if nothing is known.
    """
    measured = rate.estimate()
    if measured is None:
        return MIN_RETRY_AFTER_SECONDS
    if measured <= 0.0:
        return (
            MAX_RETRY_AFTER_SECONDS
            if rate.waiting_seconds >= MIN_OBSERVED_SECONDS
            else MIN_RETRY_AFTER_SECONDS
        )
    return min(max(ahead / measured, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)


def get_class_queue_limit(limit: int, priority: str) -> int:
    """
    Return how many requests may wait before one of a class is refused.

    Batch leaves a part of the queue to interactive requests.

    :param limit: the workspace's bound, requests.
    """
    if priority == INTERACTIVE:
        return limit
    return max(math.floor(limit * BATCH_QUEUE_RATIO), 1)
