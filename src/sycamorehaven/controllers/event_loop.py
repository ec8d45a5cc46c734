"""
Measures how late and how busy the event loop is.

A process that has more to do than its processor allows resumes its tasks late.
Requests then wait unread in the kernel, where no other measurement sees them.
A loop that is busy all the time need not be late, though: the more has arrived
meanwhile, the more it reads at once.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.decisions.arrivals import MAX_LAG_SECONDS
from sycamorehaven.decisions.request_limit import RequestLimit
from sycamorehaven.transport.metered_loop import read_busy_seconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics

OBSERVATION_PERIOD_SECONDS = 0.05
"""Time between two measurements."""
UTILIZATION_MEASUREMENTS = 5
"""Number of measurements over which the utilization is computed."""
RECOVERY_SECONDS = 0.5
"""Time without such a lag after which the event loop counts as on time."""


class EventLoopMonitor(Service):
    """
    Measures the lag of the event loop and logs when it becomes late.

    :param board: shared state of this router.
    :param decision_log: records when the event loop is late and when it is on
        time again.
    :param metrics: observes the lag.
    :param clock: returns monotonic time in seconds.
    :param cores: processor that the host has, in cores.
    :param busy_clock: returns the seconds for which this router had work to
        do.
    """

    def __init__(
        self,
        board: Blackboard,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
        cores: float = 1.0,
        busy_clock: Callable[[], float] = read_busy_seconds,
    ) -> None:
        super().__init__()
        self._board = board
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._busy_clock = busy_clock
        self._request_limit = RequestLimit(cores)
        self._measured: deque[tuple[float, float]] = deque(
            maxlen=UTILIZATION_MEASUREMENTS + 1
        )
        self._late_since: float | None = None
        self._last_late_at = 0.0
        self._longest_lag = 0.0

    @Service.task
    async def _observe_periodically(self) -> None:
        while not self.should_stop:
            slept_at = self._clock()
            await asyncio.sleep(OBSERVATION_PERIOD_SECONDS)
            lag = self._clock() - slept_at - OBSERVATION_PERIOD_SECONDS
            self.record_lag(max(lag, 0.0))
            self._record_utilization()

    def _record_utilization(self) -> None:
        self._measured.append((self._clock(), self._busy_clock()))
        (started_at, busy_before), (now, busy) = self._measured[0], self._measured[-1]
        if now > started_at:
            utilization = (busy - busy_before) / (now - started_at)
            self._board.event_loop.update_utilization(utilization)

    def record_lag(self, lag: float) -> None:
        """
        Record one measurement.

        :param lag: seconds by which a sleeping task was resumed late.
        """
        now = self._clock()
        in_progress = self._board.lifecycle.own_requests
        rejections = self._board.event_loop.take_rejections()
        self._request_limit.observe(lag, in_progress, rejections)
        limit = self._request_limit.limit
        self._board.event_loop.update(lag, limit)
        self._metrics.request_limit.set(limit)
        self._metrics.event_loop_lag.observe(lag)
        if lag >= MAX_LAG_SECONDS:
            self._record_late(lag, now)
        elif (
            self._late_since is not None
            and now - self._last_late_at >= RECOVERY_SECONDS
        ):
            self._record_on_time(self._late_since, now)

    def _record_late(self, lag: float, now: float) -> None:
        self._last_late_at = now
        self._longest_lag = max(self._longest_lag, lag)
        if self._late_since is not None:
            return
        self._late_since = now
        self._decision_log.record(
            "event_loop_late",
            lag=round(lag, 3),
            requests_in_progress=self._board.lifecycle.requests_in_progress,
            request_limit=round(self._request_limit.limit),
        )

    def _record_on_time(self, late_since: float, now: float) -> None:
        self._decision_log.record(
            "event_loop_on_time",
            late_seconds=round(now - late_since, 3),
            longest_lag=round(self._longest_lag, 3),
            requests_in_progress=self._board.lifecycle.requests_in_progress,
        )
        self._late_since, self._longest_lag = None, 0.0
