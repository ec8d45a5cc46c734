"""The monitor of a router: its metrics, fairness gaps and event loop lag."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.gc_collector import GCCollector
from prometheus_client.process_collector import ProcessCollector

from sycamorehaven.telemetry.fairness import FairnessGapTracker
from sycamorehaven.telemetry.metrics import BlackboardCollector
from sycamorehaven.telemetry.reported_backlog import ReportedBacklogTracker
from sycamorehaven.transport.messages.permits import DemandReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.peer_link import PeerLink

OBSERVATION_PERIOD_SECONDS = 1.0
"""Time between two updates of the fairness gaps and the event loop lag."""
EVENT_LOOP_LAG_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    5.0,
)
"""Upper bounds of the buckets of the event loop lag's histogram."""


class Monitor(Service):
    """
    Measures fairness gaps and event loop lag, and renders the metrics.

    :param board: blackboard with the state of this router.
    :param link: connection to other routers, which report their backlogs.
        With ``None``, only the queues of this router are observed.
    :param clock: source of monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._reported_backlog = ReportedBacklogTracker(clock)
        if link is not None:
            link.subscribe(DemandReport, self._reported_backlog.handle_report)
        self._clock = clock
        self._started_at = clock()
        self._trackers: dict[str, FairnessGapTracker] = {}
        self._registry = CollectorRegistry()
        self._event_loop_lag = Histogram(
            "sycamorehaven_event_loop_lag_seconds",
            "Seconds by which the event loop resumed a sleeping task late.",
            buckets=EVENT_LOOP_LAG_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._registry.register(BlackboardCollector(board, self, clock))
        ProcessCollector(registry=self._registry)
        GCCollector(registry=self._registry)

    @property
    def uptime(self) -> float:
        """Seconds since the start of the router."""
        return self._clock() - self._started_at

    def get_gap_tracker(self, service: str) -> FairnessGapTracker:
        """Return the tracker of a service's fairness gap."""
        return self._trackers.setdefault(service, FairnessGapTracker())

    def list_backlogged_workspaces(self, service: str) -> set[str]:
        """Return the workspaces known to wait, at this router or at others."""
        own = {
            key.workspace
            for key, queue in self._board.queues.list()
            if key.service == service and queue
        }
        return own | self._reported_backlog.list_backlogged_workspaces(service)

    def render_metrics(self) -> bytes:
        """Return every metric in the text format of Prometheus."""
        self.update_gaps()
        return generate_latest(self._registry)

    def update_gaps(self) -> None:
        """Update the fairness gap of every service."""
        configuration = self._board.configuration.current
        if configuration is None:
            return
        for service in configuration.services:
            received = {
                name: self._board.counters.sum_service(service, name)
                / configuration.workspaces[name].weight
                for name in self.list_backlogged_workspaces(service)
                if name in configuration.workspaces
            }
            self.get_gap_tracker(service).update(received)

    @Service.task
    async def _observe_periodically(self) -> None:
        while not self.should_stop:
            slept_at = self._clock()
            await self.sleep(OBSERVATION_PERIOD_SECONDS)
            self._event_loop_lag.observe(
                max(self._clock() - slept_at - OBSERVATION_PERIOD_SECONDS, 0.0)
            )
            self.update_gaps()
