"""Records what backend servers say of themselves in their responses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sycamorehaven.decisions.server_conditions import NamedLimit
from sycamorehaven.exceptions.backends import ServerUnwilling

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.server_conditions import ConditionChange
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.routing.requests import ServerStatement
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
    from sycamorehaven.transport.messages.fleet import SaidOfItself

FLEET_CONDITIONS = frozenset({"limit", "leaving"})
"""Conditions that concern all routers; a rest concerns only one."""


class ServerConditionRecorder:
    """
    Records the conditions of servers and logs their changes.

    :param board: shared state of this router.
    :param decision_log: records each change.
    :param metrics: counts the changes.
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
        self._metrics = metrics
        self._clock = clock

    def record_response(
        self,
        server: ServerRecord,
        request: str,
        statement: ServerStatement,
        sent_at: float,
    ) -> None:
        """
        Record what a server says of itself in a response.

        :param request: attempt id of the request that it answers.
        :param sent_at: when the request was sent, in monotonic seconds.
        """
        section, name = self._board.server_conditions, server.incarnation_id
        if statement.cold_seconds is not None:
            now = self._clock()
            until = now + statement.cold_seconds
            self._board.cold_servers.mark_cold(name, until, "response", now)
            statement = statement._replace(cold_seconds=None)
        if section.find(name) is None and statement.is_empty:
            return
        conditions, now = section.get(name).conditions, self._clock()
        changes = conditions.end_rest(now)
        changes += conditions.apply_response(statement, sent_at, now)
        if any(change.condition in FLEET_CONDITIONS for change in changes):
            section.mark_changed(name)
        self._log_changes(name, changes, request, 0.0)

    def record_news(self, said: SaidOfItself, host: str) -> None:
        """
        Record what a server has said to another router.

        :param host: host of that router.
        """
        section, now = self._board.server_conditions, self._clock()
        conditions = section.get(said.server).conditions
        said_at = now - said.age
        changes = conditions.apply_limit(NamedLimit(said.limit, said_at))
        if said.leaving:
            changes += conditions.apply_leaving(said_at)
        section.mark_told(said.server, now)
        self._log_changes(said.server, changes, host, said.age)

    def check_open(self, server: ServerRecord, copy_source: str = "") -> None:
        """
        Check that a request may still be handed to a server's connection.

        :param copy_source: address of the server to copy from, or "".
        :raises ServerUnwilling: if the server has said otherwise meanwhile,
            one of the two was evacuated, or that isn't known after a pause.
        """
        routing, now = self._board.routing, self._clock()
        if routing.recovery.is_pending(now):
            raise ServerUnwilling(
                "the process stood still and must read a snapshot first",
                was_sent=False,
            )
        if routing.is_evacuated(server):
            raise ServerUnwilling(
                f"the failure domain of server {server.id} is evacuated",
                was_sent=False,
            )
        if copy_source and not routing.allows_copies_from(copy_source, now):
            raise ServerUnwilling(
                f"the failure domain of {copy_source}, from which server"
                f" {server.id} would copy, is evacuated",
                was_sent=False,
            )
        if self._board.server_conditions.is_shut(server, now):
            raise ServerUnwilling(
                f"server {server.id} has asked for rest or leaves", was_sent=False
            )

    def _log_changes(
        self,
        incarnation: str,
        changes: Iterable[ConditionChange],
        heard_from: str,
        age: float,
    ) -> None:
        """
        Log what has changed.

        :param heard_from: the request that was answered, or the host of the
            router that told it.
        :param age: seconds since a router received it from the server.
        """
        for change in changes:
            self._metrics.server_conditions.labels(change.condition, change.state).inc()
            self._decision_log.record(
                f"server_{change.condition}",
                server=incarnation.partition("/")[0],
                state=change.state,
                value=change.value,
                previous=round(change.previous, 3),
                detail=change.detail,
                heard_from=heard_from,
                age=round(age, 3),
            )
