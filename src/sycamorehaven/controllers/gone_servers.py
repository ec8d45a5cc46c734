"""
Tells all routers of servers whose process has ended.

An entry of a server that crashed stays in the directory until it lapses. The
server looks idle, so each router of a large fleet would place its next
requests there and learn by its own failed attempts. A refused connection, or a
response of another process at the address, shows that the process is gone,
whoever sees it.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sycamorehaven.exceptions.backends import ConnectRefused, ServerReplaced
from sycamorehaven.transport.messages.servers import GoneServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.exceptions.backends import BackendError
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

REPORT_PERIOD_SECONDS = 1.0
"""Shortest time between two reports of the same server by one router."""
MAX_REPORTED_SERVERS = 1_024
"""Number of reported servers from which old reports are forgotten."""


class GoneServerExchange:
    """
    Ejects servers that another router found gone, and reports its own finds.

    The ejection is as long as after a refused connection of this router. A new
    entry of the server ends it.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param decision_log: records the reports.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        decision_log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._link = link
        self._decision_log = decision_log
        self._clock = clock
        self._known_since: dict[str, float] = {}
        link.subscribe(GoneServer, self._handle_report)

    def record_failure(self, server: ServerRecord, error: BackendError) -> None:
        """Tell the other routers if a failure shows that a server is gone."""
        if not isinstance(error, (ConnectRefused, ServerReplaced)):
            return
        self._mark_cold(server)
        if self._remember(server.incarnation_id):
            self._decision_log.record(
                "server_gone", server=server.id, code=error.code, origin="own"
            )
            self._link.broadcast(GoneServer(server.incarnation_id))

    def _handle_report(self, delivery: Delivery) -> None:
        incarnation_id = delivery.message.incarnation_id
        if not self._remember(incarnation_id):
            return
        for server in self._board.routing.list_servers():
            if server.incarnation_id == incarnation_id:
                model = self._board.fleet_load.find_model(server.id)
                model.health.record_refused_connection(self._clock())
                self._mark_cold(server)
                self._decision_log.record(
                    "server_gone",
                    server=server.id,
                    code="reported",
                    origin=delivery.sender.host,
                )

    def _mark_cold(self, server: ServerRecord) -> None:
        """
        Take a server for cold after its ejection.

        It may have restarted under the same id, and its new entry comes later.
        """
        model = self._board.fleet_load.find_model(server.id)
        ejected_until, now = model.health.ejected_until, self._clock()
        self._board.cold_servers.mark_started(
            server.incarnation_id, max(ejected_until, now), "gone", now
        )

    def _remember(self, incarnation_id: str) -> bool:
        """Record that a server is gone; return whether that is news."""
        now = self._clock()
        known_since = self._known_since.get(incarnation_id)
        if known_since is not None and now - known_since < REPORT_PERIOD_SECONDS:
            return False
        if len(self._known_since) >= MAX_REPORTED_SERVERS:
            self._known_since.clear()
        self._known_since[incarnation_id] = now
        return True
