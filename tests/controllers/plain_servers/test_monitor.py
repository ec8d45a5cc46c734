"""What is told of plain servers that fail."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sycamorehaven.controllers.plain_servers.monitor import PlainServerMonitor
from sycamorehaven.routing.model import (
    RequestLimits,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
)
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import create_board

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock

SERVER = ServerRecord("s1", 1, "plain", "s1:80", "a", 6, draining=False)
GAUGE = b'sycamorehaven_server_failure_ratio{server="s1"}'


class ListLog(DecisionLog):
    """Keeps the lines that are written."""

    lines: list[tuple[str, dict[str, Any]]]

    def record(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.lines.append((event, fields))


def test_failure_and_recovery_are_logged_once_and_shown(clock: ManualClock) -> None:
    board, metrics, log = create_board(), GatewayMetrics(), ListLog("a1", None)
    log.lines = []
    monitor = PlainServerMonitor(board, log, metrics, clock)
    limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
    services = {"plain": RoutedService("plain", 64, None)}
    configuration = RoutingConfiguration(1, 1, (), services, limits, None)
    board.routing.apply_snapshot(Snapshot(1, configuration, (SERVER,)), clock())
    for number in range(20):
        board.plain_servers.record_own_result("s1", clock(), failed=number % 2 == 0)
        monitor.observe()
    assert GAUGE + b" 0.455" in metrics.render()
    for _ in range(20):
        clock.advance(0.5)
        board.routing.apply_snapshot(Snapshot(1, configuration, (SERVER,)), clock())
        board.plain_servers.record_own_result("s1", clock(), failed=False)
        monitor.observe()
    events = [event for event, _ in log.lines]
    assert events == ["server_failing", "server_recovered"]
    assert log.lines[0][1]["domain"] in ("", "a")
    board.routing.apply_snapshot(Snapshot(2, configuration, ()), clock())
    assert GAUGE not in metrics.render()
    assert board.plain_servers.find_results("s1") is None
