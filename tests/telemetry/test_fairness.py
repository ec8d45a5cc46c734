"""Tests of the fairness gap and of the backlogs that edges report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.identity import RouterId
from sycamorehaven.telemetry.fairness import FairnessGapTracker
from sycamorehaven.telemetry.reported_backlog import ReportedBacklogTracker
from sycamorehaven.transport.codec import Delivery
from sycamorehaven.transport.messages.permits import DemandReport, DemandRow

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock


def test_gap_ignores_service_received_before_the_backlog() -> None:
    tracker = FairnessGapTracker()
    tracker.update({"oakcourt": 5_000.0})
    tracker.update({"oakcourt": 5_000.0, "elmplace": 10.0})
    assert tracker.gap == 0.0
    tracker.update({"oakcourt": 5_040.0, "elmplace": 25.0})
    assert tracker.gap == 25.0


def test_gap_ignores_idle_workspaces() -> None:
    tracker = FairnessGapTracker()
    tracker.update({"oakcourt": 0.0, "elmplace": 0.0})
    tracker.update({"oakcourt": 90.0, "elmplace": 20.0})
    tracker.update({"oakcourt": 95.0})
    assert tracker.gap == 0.0
    assert tracker.largest_gap == 70.0
    tracker.update({"oakcourt": 100.0, "elmplace": 20.0})
    assert tracker.gap == 0.0


def test_backlogs_of_edges_are_merged_and_expire(clock: ManualClock) -> None:
    tracker = ReportedBacklogTracker(clock)

    def report(host: str, sequence: int, *workspaces: str) -> None:
        rows = [DemandRow(name, "batch", 1, 0.0, 1.0) for name in workspaces]
        message = DemandReport("assistant", sequence, 3.0, rows, [], [])
        tracker.handle_report(Delivery(RouterId(host, 1), f"{host}:1", message))

    report("a1", 1, "oakcourt")
    report("b1", 5, "elmplace")
    report("b1", 4, "stale")
    assert tracker.list_backlogged_workspaces("assistant") == {"oakcourt", "elmplace"}
    assert tracker.list_backlogged_workspaces("bookings") == set()
    clock.advance(2.0)
    report("a1", 2)
    assert tracker.list_backlogged_workspaces("assistant") == {"elmplace"}
    clock.advance(2.0)
    assert tracker.list_backlogged_workspaces("assistant") == set()
