"""Reports which plain servers fail requests."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from mode import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics

OBSERVATION_PERIOD_SECONDS = 0.25
"""Time between two looks at the results of all plain servers."""


class PlainServerMonitor(Service):
    """
    Logs when plain servers fail and recover, and forgets those that are gone.

    :param board: shared state of this router.
    :param decision_log: gets a line about each change.
    :param metrics: gets the failure ratio of each server.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._failing: set[str] = set()
        self._known: set[str] = set()
        board.routing.changed.subscribe(self._forget_departed)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.observe()
            await asyncio.sleep(OBSERVATION_PERIOD_SECONDS)

    def observe(self) -> None:
        """Report what has changed since the last look."""
        section, now = self._board.plain_servers, self._clock()
        for server in self._known:
            estimate = section.estimate_failures(server, now)
            gauge = self._metrics.server_failure_ratio.labels(server)
            gauge.set(round(estimate.ratio, 3))
            if estimate.is_failing != (server in self._failing):
                self._failing ^= {server}
                self._log_change(server, now, is_failing=estimate.is_failing)

    def _log_change(self, server: str, now: float, *, is_failing: bool) -> None:
        results = self._board.plain_servers.find_results(server)
        if results is None:
            return
        counts = results.count(now)
        self._decision_log.record(
            "server_failing" if is_failing else "server_recovered",
            server=server,
            failures=round(counts.failed, 1),
            results=round(counts.answered, 1),
            domain=results.get_counted_domain(now),
        )

    def _forget_departed(self) -> None:
        """Forget the servers and routes that are no longer published."""
        routing = self._board.routing
        known = {
            server.id
            for server in routing.list_servers()
            if routing.has_plain_servers(server.service)
        }
        for server in self._known - known:
            self._metrics.server_failure_ratio.remove(server)
        self._failing &= known
        self._known = known
        for server in known:
            self._metrics.server_failure_ratio.labels(server)
        configuration = routing.configuration
        routes = configuration.routes if configuration else ()
        self._board.plain_servers.retain(known, {route.name for route in routes})
