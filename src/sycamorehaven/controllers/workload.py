"""Reports once a second what a router did, and for whom."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.transport.metered_loop import read_busy_seconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.workload import WorkspaceCounts
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics

REPORT_PERIOD_SECONDS = 1.0
"""Time between two reports."""
MAX_REPORTED_WORKSPACES = 4
"""Number of workspaces in a report, those with the most requests."""
MAX_REPORTED_STARVED = 2
"""Number of other workspaces in a report, those of whose requests the smallest
fraction began in time."""


class WorkloadMonitor(Service):
    """
    Reports the work of this router by activity and by workspace.

    :param board: shared state of this router.
    :param decision_log: gets a ``workload`` line if there were requests.
    :param metrics: gets the time of each activity.
    :param is_short_of_time: returns whether the router has left the rotation.
    :param clock: returns monotonic time in seconds.
    :param busy_clock: returns the seconds for which this router had work to
        do.
    :param cores: processor that the host has, in cores.
    """

    def __init__(
        self,
        board: Blackboard,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        is_short_of_time: Callable[[], bool] = lambda: False,
        clock: Callable[[], float] = time.monotonic,
        busy_clock: Callable[[], float] = read_busy_seconds,
        cores: float = 1.0,
    ) -> None:
        super().__init__()
        self._board = board
        self._decision_log = decision_log
        self._metrics = metrics
        self._is_short_of_time = is_short_of_time
        self._clock = clock
        self._busy_clock = busy_clock
        self._cores = cores
        self._reported_at = clock()
        self._busy_seconds = 0.0

    async def on_start(self) -> None:
        """Begin to measure."""
        self._reported_at, self._busy_seconds = self._clock(), self._busy_clock()

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPORT_PERIOD_SECONDS)
            self.report()

    def report(self) -> None:
        """Report the time since the last report."""
        now, busy_seconds = self._clock(), self._busy_clock()
        elapsed = max(now - self._reported_at, 1e-3)
        busy = busy_seconds - self._busy_seconds
        self._reported_at, self._busy_seconds = now, busy_seconds
        self._metrics.busy_ratio.set(busy / elapsed)
        workload, seconds = self._board.workload, self._take_seconds(busy)
        relayed_events = workload.take_relayed_events()
        workspaces = workload.take_workspaces(
            MAX_REPORTED_WORKSPACES, MAX_REPORTED_STARVED
        )
        first_events = workload.take_first_events()
        connections = workload.take_connections()
        accepted, offloaded = workload.take_accepted(), workload.take_offloaded()
        rejection_stages = workload.take_rejection_stages()
        passes, verdicts = workload.take_passes(), workload.take_verdicts()
        denials = workload.take_denials()
        if not workspaces:
            return
        usage = self._board.fleet_load.usage_window
        share = usage.get_fair_share(now)
        event_loop = self._board.event_loop
        self._decision_log.record_summary(
            "workload",
            seconds=round(elapsed, 3),
            processor={name: round(value, 4) for name, value in seconds.items()},
            busy=round(busy / elapsed, 3),
            cores=round(self._cores, 3),
            connections=connections,
            accepted=accepted,
            offloaded=offloaded,
            accept_rate=round(workload.accept_rate, 1),
            rejections=rejection_stages,
            passes=passes._asdict(),
            verdicts=verdicts,
            denials=denials,
            relayed_events=relayed_events,
            first_events={
                "count": first_events.events,
                "expected": round(first_events.expected_seconds, 3),
                "measured": round(first_events.measured_seconds, 3),
            },
            lag=round(event_loop.lag, 3),
            dispatch_delay=round(event_loop.get_dispatch_delay(now), 3),
            requests_in_progress=self._board.lifecycle.requests_in_progress,
            request_limit=round(event_loop.request_limit, 1),
            short_of_time=self._is_short_of_time(),
            received_by_all=round(usage.get_total_received(now)),
            fair_share=round(share) if share < float("inf") else None,
            workspaces={
                counts.workspace: self._describe_workspace(counts, share, now)
                for counts in workspaces
            },
        )

    def _take_seconds(self, busy: float) -> dict[str, float]:
        """
        Return and clear the seconds of each activity, and count them.

        :param busy: seconds in which the event loop had work to do.
        """
        seconds = self._board.workload.take_seconds()
        seconds["rest"] = max(busy - sum(seconds.values()), 0.0)
        for activity, value in seconds.items():
            self._metrics.processor_seconds.labels(activity).inc(value)
        return seconds

    def _describe_workspace(
        self, counts: WorkspaceCounts, share: float, now: float
    ) -> dict[str, object]:
        usage, workspace = self._board.fleet_load.usage_window, counts.workspace
        return {
            "arrived": counts.arrived,
            "rejected": counts.rejected,
            "tried": counts.tried,
            "began": counts.began,
            "began_tokens": counts.began_tokens,
            "late": counts.late,
            "entitled_ratio": round(usage.get_entitled_ratio(workspace, share, now), 3),
            "satisfaction": round(usage.get_satisfaction(workspace, share, now), 3),
        }
