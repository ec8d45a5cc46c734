"""Records which servers are cold by the directory and by their entries."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.cold_servers import ColdLimit
from sycamorehaven.decisions.cold_servers.periods import ColdEntries, JoinedServers

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.routing.model import (
        ColdServer,
        RoutedService,
        RoutingConfiguration,
        ServerRecord,
    )
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics


class ColdServerRecorder:
    """
    Marks servers as cold when the directory changes, and logs each period.

    Other controllers mark servers for what they learn themselves.

    :param board: shared state of this router.
    :param decision_log: records each period.
    :param metrics: shows how many servers are cold.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._decision_log = decision_log
        self._clock = clock
        self._configuration: RoutingConfiguration | None = None
        self._services: Mapping[str, RoutedService] = {}
        self._limits: dict[str, ColdLimit] = {}
        self._cold_servers: tuple[ColdServer, ...] = ()
        self._entries = ColdEntries()
        self._joined = JoinedServers()
        section = board.cold_servers
        metrics.cold_servers.set_function(lambda: section.count(clock()))
        board.routing.changed.subscribe(self._update)
        section.marked.subscribe(self._log_periods)

    def record_evacuation_end(self, server: ServerRecord, now: float) -> None:
        """
        Take a server whose failure domain was evacuated for cold.

        :param now: monotonic seconds.
        """
        self._board.cold_servers.mark_started(
            server.incarnation_id, now, "evacuation", now
        )

    def _update(self) -> None:
        """Apply the newest directory."""
        section, now = self._board.cold_servers, self._clock()
        had_services = bool(self._services)
        self._update_services()
        if not self._services:
            if had_services:
                section.replace_limits({}, now)
                self._joined.clear()
            return
        self._update_limits()
        section.replace_limits(self._limits, now)
        for incarnation_id in self._joined.observe(set(self._limits), now):
            section.mark_started(incarnation_id, now, "joined", now)
        self._read_entries(now)

    def _update_services(self) -> None:
        """Find the services whose servers can be cold."""
        configuration = self._board.routing.configuration
        if configuration is self._configuration or configuration is None:
            return
        self._configuration, self._limits = configuration, {}
        self._services = {
            name: service
            for name, service in configuration.services.items()
            if service.cold_rate > 0.0
        }

    def _update_limits(self) -> None:
        """Find the limits of the registered servers, known ones kept."""
        known, self._limits = self._limits, {}
        for server in self._board.routing.list_servers():
            service = self._services.get(server.service)
            if service is None:
                continue
            name = server.incarnation_id
            self._limits[name] = known.get(name) or ColdLimit(
                service.cold_rate,
                service.cold_start,
                server.failure_domain,
                has_engine=service.engine_capacity is not None,
            )

    def _read_entries(self, now: float) -> None:
        """Mark the servers whose entries say anew that they are cold."""
        routing, section = self._board.routing, self._board.cold_servers
        snapshot = routing.snapshot
        if snapshot is None or snapshot.cold_servers is self._cold_servers:
            return
        self._cold_servers = snapshot.cold_servers
        self._entries.retain(self._limits)
        for entry in snapshot.cold_servers:
            limit = self._limits.get(entry.incarnation_id)
            if limit is None:
                continue
            era, _ = routing.position
            reading = self._entries.read(
                entry, era, routing.read_at, limit.start_seconds
            )
            if reading is None:
                continue
            if reading.is_malformed:
                self._decision_log.record(
                    "cold_entry_malformed",
                    server=entry.incarnation_id.rpartition("/")[0],
                    revision=entry.revision,
                )
            section.mark_cold(entry.incarnation_id, reading.until, "entry", now)

    def _log_periods(self) -> None:
        now = self._clock()
        for name, period in self._board.cold_servers.take_unreported().items():
            self._decision_log.record(
                "server_cold",
                server=name.rpartition("/")[0],
                seconds=round(period.until - now, 3),
                source=period.source,
            )
