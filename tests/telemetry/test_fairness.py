"""The fairness gap as operators see it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.identity import RouterId
from sycamorehaven.telemetry.demand import DemandWatch
from sycamorehaven.telemetry.fairness import GapTracker
from sycamorehaven.transport.codec import Delivery
from sycamorehaven.transport.messages.permits import DemandReport, DemandRow

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock


def test_service_from_before_the_backlog_does_not_count() -> None:
    tracker = GapTracker()
    tracker.observe({"oakcourt": 5_000.0})
    tracker.observe({"oakcourt": 5_000.0, "elmplace": 10.0})
    assert tracker.gap == 0.0
    tracker.observe({"oakcourt": 5_040.0, "elmplace": 25.0})
    assert tracker.gap == 25.0


def test_idle_workspace_leaves_the_comparison() -> None:
    tracker = GapTracker()
    tracker.observe({"oakcourt": 0.0, "elmplace": 0.0})
    tracker.observe({"oakcourt": 90.0, "elmplace": 20.0})
    tracker.observe({"oakcourt": 95.0})
    assert tracker.gap == 0.0
    assert tracker.largest == 70.0
    tracker.observe({"oakcourt": 100.0, "elmplace": 20.0})
    assert tracker.gap == 0.0


def test_demand_of_edges_is_joined_and_lapses(clock: ManualClock) -> None:
    watch = DemandWatch(clock)

    def report(host: str, sequence: int, *workspaces: str) -> None:
        rows = [DemandRow(name, "batch", 1, 0.0, 1.0) for name in workspaces]
        message = DemandReport("assistant", sequence, 3.0, rows, [], [])
        watch.take(Delivery(RouterId(host, 1), f"{host}:1", message))

    report("a1", 1, "oakcourt")
    report("b1", 5, "elmplace")
    report("b1", 4, "stale")
    assert watch.list_backlogged("assistant") == {"oakcourt", "elmplace"}
    assert watch.list_backlogged("bookings") == set()
    clock.advance(2.0)
    report("a1", 2)
    assert watch.list_backlogged("assistant") == {"elmplace"}
    clock.advance(2.0)
    assert watch.list_backlogged("assistant") == set()
