"""The fairness gap as operators see it."""

from __future__ import annotations

from sycamorehaven.telemetry.fairness import GapTracker


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
