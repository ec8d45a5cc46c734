"""Records what plain servers say of their load in their responses."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from sycamorehaven.decisions.plain_servers.slowdown import SlowdownReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.routing.requests import ResponseHead
    from sycamorehaven.telemetry.decision_log import DecisionLog

MALFORMED_LOG_PERIOD_SECONDS = 10.0
"""Least time between two lines about headers that make no sense."""


class LoadReportRecorder:
    """
    Records the slowdown that plain servers report.

    :param board: shared state of this router.
    :param decision_log: gets a line about headers that make no sense.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        decision_log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._decision_log = decision_log
        self._clock = clock
        self._logged_at = -math.inf

    def record(self, server: ServerRecord, head: ResponseHead) -> None:
        """Record what the head of a server's response says of its load."""
        now = self._clock()
        if head.malformed_load:
            self._log_malformed(server.id, head.malformed_load, now)
        elif head.slowdown is not None and self._board.routing.has_plain_servers(
            server.service
        ):
            report = SlowdownReport(head.slowdown, now)
            self._board.plain_servers.record_slowdown(server.id, report)

    def _log_malformed(self, server: str, value: str, now: float) -> None:
        if now - self._logged_at < MALFORMED_LOG_PERIOD_SECONDS:
            return
        self._logged_at = now
        self._decision_log.record("server_load_malformed", server=server, value=value)
