"""Rejection of arriving requests by a router that is late."""

from __future__ import annotations

from sycamorehaven.blackboard.event_loop import EventLoopSection
from sycamorehaven.decisions.arrivals import (
    MAX_LAG_SECONDS,
    WINDOW_SECONDS,
    ArrivalControl,
)


def count_admitted(arrivals: ArrivalControl, workspace: str, number: int) -> int:
    """Return how many of a number of requests a router admits at one time."""
    return sum(arrivals.admit(workspace, 1_000.0) for _ in range(number))


def test_late_router_rejects_the_flood_and_admits_the_others() -> None:
    event_loop = EventLoopSection()
    arrivals = ArrivalControl(event_loop)
    assert count_admitted(arrivals, "hot", 100) == 100
    event_loop.update_lag(MAX_LAG_SECONDS)
    assert count_admitted(arrivals, "small", 10) == 10
    assert count_admitted(arrivals, "hot", 100) == 0
    event_loop.update_lag(0.0)
    assert count_admitted(arrivals, "hot", 100) == 100


def test_late_router_rejects_the_flood_of_its_only_workspace() -> None:
    event_loop = EventLoopSection()
    arrivals = ArrivalControl(event_loop)
    event_loop.update_lag(MAX_LAG_SECONDS)
    assert count_admitted(arrivals, "hot", 10) == 0


def test_end_of_a_flood_is_forgotten() -> None:
    event_loop = EventLoopSection()
    arrivals = ArrivalControl(event_loop)
    event_loop.update_lag(MAX_LAG_SECONDS)
    count_admitted(arrivals, "small", 10)
    count_admitted(arrivals, "hot", 100)
    later = 1_000.0 + 2 * WINDOW_SECONDS
    assert not arrivals.admit("small", later)
    assert not arrivals.admit("hot", later)
