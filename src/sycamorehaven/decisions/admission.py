"""
Admission control for the queues of an edge router.

A request is refused at once if its workspace has too many requests in the
queue, if the bodies in the queues take up too much memory, or if the request
can't be completed before its deadline. The deadline check uses the drain rate
measured while the queue was not empty. It takes the fastest rate that the
measurements allow, so that a request that could still be served in time is not
refused.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from sycamorehaven.call import INTERACTIVE

WAITING_DECAY_SECONDS = 10.0
"""Time constant of the drain rate while the queue is not empty, in seconds:
after this time, a grant has lost about two thirds of its weight."""
IDLE_DECAY_SECONDS = 60.0
"""Time constant of the drain rate while the queue is empty, and of the learned
service time."""
MIN_OBSERVED_SECONDS = 2.0
"""Observation time below which the drain rate is not used to refuse
requests."""
RATE_MARGIN_DEVIATIONS = 2.0
"""Standard deviations that are added to the measured number of grants to get
the upper bound of the drain rate."""
SERVICE_TIME_QUANTILE = 0.05
"""Quantile of the service time that the deadline check uses."""
QUANTILE_STEP_RATIO = 0.1
"""Relative step size of the running quantile."""
MIN_SERVICE_TIMES = 16
"""Completed requests below which the service time is not used to refuse
requests."""
SERVICE_TIME_MARGIN_RATIO = 0.5
"""Factor applied to the quantile in the deadline check."""
BATCH_QUEUE_RATIO = 0.75
"""Fraction of a workspace's queue that batch requests may fill."""
MIN_RETRY_AFTER_SECONDS = 1.0
"""Lower limit of Retry-After, which is also returned when the drain rate is
not known."""
MAX_RETRY_AFTER_SECONDS = 60.0
"""Upper limit of Retry-After; also returned when the queue does not drain."""
MAX_QUEUED_BYTES = 67_108_864
"""Total size of the request bodies that one router holds in its queues."""


class DrainRate(NamedTuple):
    """
    Exponentially decaying drain rate of one queue.

    :ivar grants: decayed number of grants.
    :ivar waiting_seconds: decayed time, in seconds, in which the queue was not
        empty.
    :ivar measured_at: time of the last update, in monotonic seconds; 0 before
        the first.
    """

    grants: float = 0.0
    waiting_seconds: float = 0.0
    measured_at: float = 0.0

    def advance(self, now: float, *, waiting: bool) -> DrainRate:
        """
        Return the rate brought up to ``now``.

        :param waiting: whether the queue was not empty since the last update.
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
        """
        Return the rate in grants per second, ``None`` without observations.
        """
        return (
            self.grants / self.waiting_seconds if self.waiting_seconds > 0.0 else None
        )

    def get_upper_bound(self) -> float:
        """Return an upper bound of the rate, in grants per second."""
        if self.waiting_seconds < MIN_OBSERVED_SECONDS:
            return math.inf
        margin = 1.0 + RATE_MARGIN_DEVIATIONS * math.sqrt(self.grants + 1.0)
        return (self.grants + margin) / self.waiting_seconds


class ServiceTime(NamedTuple):
    """
    A running low quantile of the time from grant to completion.

    :ivar quantile: current value, in seconds.
    :ivar sample_count: number of completed requests observed.
    :ivar observed_at: time of the last observation, in monotonic seconds.
    """

    quantile: float = 0.0
    sample_count: int = 0
    observed_at: float = 0.0

    def observe(self, seconds: float, now: float) -> ServiceTime:
        """Return the quantile updated with the time of one more request."""
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
        Return a lower bound of the service time in seconds, 0 if unknown.

        The bound decays with the time since the last observation. Otherwise, a
        value that is too high would refuse for ever the very requests whose
        times would correct it.
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
    A request to be admitted to the queue.

    :ivar ahead: queued requests of the same class that are served before it.
    :ivar time_left: seconds until its deadline.
    :ivar service_time: lower bound of the seconds from grant to completion.
    :ivar size: size of its body in bytes.
    """

    ahead: int
    time_left: float
    service_time: float
    size: int


class QueueState(NamedTuple):
    """
    State of a router's queues, as seen by one workspace.

    :ivar waiting: queued requests of the workspace for the service.
    :ivar limit: maximum number of these requests.
    :ivar workspace_bytes: size of the workspace's queued bodies, in bytes.
    :ivar total_bytes: size of all queued bodies, in bytes.
    :ivar drain_rate: drain rate of the queue that the request would join.
    """

    waiting: int
    limit: int
    workspace_bytes: int
    total_bytes: int
    drain_rate: DrainRate


class RefusalReason(NamedTuple):
    """
    Why a request is refused, and when the client may try again.

    :ivar code: ``"queue_full"``, ``"queue_memory_full"`` or
        ``"deadline_unreachable"``.
    :ivar retry_after: seconds after which the client may try again.
    """

    code: str
    retry_after: float


def check_admission(
    request: AdmissionRequest, state: QueueState
) -> RefusalReason | None:
    """Return why a request is refused, ``None`` if it is admitted."""
    if state.waiting >= state.limit:
        return RefusalReason(
            "queue_full", estimate_retry_after(request.ahead, state.drain_rate)
        )
    if not fits_memory(request.size, state.workspace_bytes, state.total_bytes):
        return RefusalReason(
            "queue_memory_full", estimate_retry_after(request.ahead, state.drain_rate)
        )
    if not can_finish(request, state.drain_rate):
        return RefusalReason(
            "deadline_unreachable",
            estimate_retry_after(request.ahead, state.drain_rate),
        )
    return None


def fits_memory(
    size: int, workspace_bytes: int, total_bytes: int, limit: int = MAX_QUEUED_BYTES
) -> bool:
    """
    Return whether there is memory to queue a body.

    A workspace may hold at most as many bytes as would remain free, so the
    workspace that holds the most is refused first and others still find room.

    :param size: size of the body in bytes.
    :param workspace_bytes: size of the workspace's queued bodies.
    :param total_bytes: size of all queued bodies.
    :param limit: maximum size of all queued bodies.
    """
    return size == 0 or workspace_bytes + size <= limit - total_bytes - size


def can_finish(request: AdmissionRequest, rate: DrainRate) -> bool:
    """Return whether a request may still complete before its deadline."""
    wait = request.ahead / rate.get_upper_bound()
    return wait + request.service_time < request.time_left


def estimate_retry_after(ahead: int, rate: DrainRate) -> float:
    """
    Return the seconds in which ``ahead`` requests are expected to drain.

    The result is the upper limit if the queue does not drain, and the lower
    limit if there are too few observations.
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
    Return the number of queued requests from which a class is refused.

    Batch requests may fill only a part of the queue; the rest is reserved for
    interactive requests.

    :param limit: maximum queued requests of the workspace.
    """
    if priority == INTERACTIVE:
        return limit
    return max(math.floor(limit * BATCH_QUEUE_RATIO), 1)
