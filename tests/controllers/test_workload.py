"""Reports of what a router did, and for whom."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

from sycamorehaven.controllers.workload import (
    MAX_REPORTED_STARVED,
    MAX_REPORTED_WORKSPACES,
    WorkloadMonitor,
)
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import ManualClock, create_board

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard


def read_reports(
    board: Blackboard,
    clock: ManualClock,
    metrics: GatewayMetrics,
    count: int = 1,
    again: str = "",
) -> list[dict[str, Any]]:
    """
    Return the lines of some reports one second apart.

    :param again: workspace that sends a request after each report, if any.
    """
    reader, writer = os.pipe()
    busy_clock = ManualClock()
    busy_clock.now = 0.0
    log = DecisionLog("a1", writer, clock)
    monitor = WorkloadMonitor(
        board, log, metrics, clock=clock, busy_clock=busy_clock, cores=0.387
    )
    for _ in range(count):
        clock.advance(1.0)
        busy_clock.advance(0.3)
        monitor.report()
        if again:
            board.workload.count_arrival(again)
    os.close(writer)
    with os.fdopen(reader) as lines:
        return [json.loads(line) for line in lines]


def test_report_tells_rejections_for_lack_of_time_from_those_for_overload(
    clock: ManualClock,
) -> None:
    board, metrics = create_board(), GatewayMetrics()
    for _ in range(5):
        board.workload.count_arrival("w1")
    board.workload.count_rejection("w1", "router_busy")
    board.workload.count_rejection("w1", "overload")
    board.workload.count_attempt("w1")
    board.workload.count_begin("w1", 700)
    board.fleet_load.add_usage("w1", 2_000, 1_000, clock())
    (line,) = read_reports(board, clock, metrics)
    assert line["event"] == "workload"
    counts = line["workspaces"]["w1"]
    assert counts["arrived"] == 5
    assert counts["rejected"] == {"router_busy": 1, "overload": 1}
    assert (counts["tried"], counts["began"], counts["began_tokens"]) == (1, 1, 700)
    assert counts["entitled_ratio"] == 0.275
    assert line["received_by_all"] == 1_000


def test_processor_time_that_no_activity_took_is_the_rest(clock: ManualClock) -> None:
    board, metrics = create_board(), GatewayMetrics()
    board.workload.count_arrival("w1")
    with board.workload.measure("news"):
        pass
    (line,) = read_reports(board, clock, metrics)
    assert abs(sum(line["processor"].values()) - 0.3) < 1e-3
    assert b'processor_seconds_total{activity="rest"}' in metrics.render()


def test_report_tells_how_much_of_its_processor_a_host_uses(clock: ManualClock) -> None:
    board, metrics = create_board(), GatewayMetrics()
    board.workload.count_arrival("w1")
    board.workload.count_connection()
    board.workload.count_rejection_stage("by_head")
    line, next_line = read_reports(board, clock, metrics, count=2, again="w1")
    assert (line["busy"], line["cores"]) == (0.3, 0.387)
    assert line["connections"] == 1
    assert line["rejections"] == {"by_head": 1}
    assert (next_line["connections"], next_line["rejections"]) == (0, {})
    assert b"sycamorehaven_busy_ratio 0.3" in metrics.render()


def test_report_names_only_the_busiest_and_the_starved_workspaces(
    clock: ManualClock,
) -> None:
    board = create_board()
    count = 2 * (MAX_REPORTED_WORKSPACES + MAX_REPORTED_STARVED)
    for number in range(count):
        for _ in range(number + 10):
            board.workload.count_arrival(f"w{number}")
            if number >= MAX_REPORTED_STARVED:
                board.workload.count_begin(f"w{number}", 700)
    (line,) = read_reports(board, clock, GatewayMetrics())
    busiest = {f"w{count - 1 - n}" for n in range(MAX_REPORTED_WORKSPACES)}
    starved = {f"w{n}" for n in range(MAX_REPORTED_STARVED)}
    assert set(line["workspaces"]) == busiest | starved


def test_report_tells_late_answers_and_what_was_expected(clock: ManualClock) -> None:
    board = create_board()
    board.workload.count_arrival("w1")
    board.workload.count_begin("w1", 700)
    board.workload.count_late("w1")
    board.workload.count_first_event(expected=0.25, measured=1.5)
    line, next_line = read_reports(board, clock, GatewayMetrics(), count=2, again="w1")
    assert line["workspaces"]["w1"]["late"] == 1
    assert line["first_events"] == {"count": 1, "expected": 0.25, "measured": 1.5}
    assert next_line["first_events"]["count"] == 0


def test_seconds_without_requests_are_not_reported(clock: ManualClock) -> None:
    board = create_board()
    board.workload.count_arrival("w1")
    assert len(read_reports(board, clock, GatewayMetrics(), count=3)) == 1


def test_report_tells_requests_that_are_read_before_they_are_rejected(
    clock: ManualClock,
) -> None:
    board = create_board()
    board.workload.count_arrival("w1")
    board.workload.count_accepted()
    board.workload.accept_rate = 96.75
    board.event_loop.update_dispatch(clock() + 1.08)
    board.workload.count_pass(3, is_cut_short=True)
    board.workload.count_pass(2, is_cut_short=False)
    board.workload.count_rejection_stage("by_dispatcher")
    line, next_line = read_reports(board, clock, GatewayMetrics(), count=2, again="w1")
    assert (line["accepted"], line["accept_rate"]) == (1, 96.8)
    assert line["dispatch_delay"] == 0.08
    assert line["passes"] == {"total": 2, "cut_short": 1, "decisions": 5}
    assert line["rejections"] == {"by_dispatcher": 1}
    assert (next_line["accepted"], next_line["passes"]["total"]) == (0, 0)


def test_report_tells_whom_the_schedulers_of_engines_refuse(clock: ManualClock) -> None:
    board = create_board()
    board.workload.count_arrival("w1")
    board.workload.count_verdict("refused", is_over_share=False)
    board.workload.count_verdict("admitted", is_over_share=True)
    board.workload.count_denial("slots")
    (line,) = read_reports(board, clock, GatewayMetrics())
    assert line["verdicts"] == {
        "within_share": {"refused": 1},
        "over_share": {"admitted": 1},
    }
    assert line["denials"] == {"slots": 1}
