"""Measurement of the event loop's lag."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

from sycamorehaven.controllers.event_loop import (
    RECOVERY_SECONDS,
    EventLoopMonitor,
)
from sycamorehaven.decisions.arrivals import MAX_LAG_SECONDS
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import create_board

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock


def test_late_event_loop_is_logged_once_until_it_is_on_time(
    clock: ManualClock,
) -> None:
    reader, writer = os.pipe()
    board, metrics = create_board(), GatewayMetrics()
    monitor = EventLoopMonitor(board, DecisionLog("a1", writer, clock), metrics, clock)
    for lag in (0.0, MAX_LAG_SECONDS, 2 * MAX_LAG_SECONDS, 0.0):
        monitor.record_lag(lag)
        clock.advance(0.1)
    assert board.event_loop.lag == 0.0
    clock.advance(RECOVERY_SECONDS)
    monitor.record_lag(0.0)
    monitor.record_lag(0.0)
    os.close(writer)
    with os.fdopen(reader) as log:
        lines = [json.loads(line) for line in log]
    assert [line["event"] for line in lines] == [
        "event_loop_late",
        "event_loop_on_time",
    ]
    assert lines[1]["longest_lag"] == 2 * MAX_LAG_SECONDS
    assert b"sycamorehaven_event_loop_lag_seconds_count 6.0" in metrics.render()
