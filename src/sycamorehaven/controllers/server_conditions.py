"""Records what backend servers say of themselves in their responses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.server_conditions import ConditionChange
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.routing.requests import ServerStatement
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics


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
        known = self._board.server_conditions.find(server.incarnation_id)
        if known is None and statement.is_empty:
            return
        conditions = known or self._board.server_conditions.get(server.incarnation_id)
        changes = conditions.apply_response(statement, sent_at, self._clock())
        self._log_changes(server.incarnation_id, changes, request, 0.0)

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
