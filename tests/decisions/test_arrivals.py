"""Rejection of arriving requests by a router that is late."""

from __future__ import annotations

from sycamorehaven.decisions.arrivals import (
    MAX_LAG_SECONDS,
    WINDOW_SECONDS,
    ArrivalControl,
)
from sycamorehaven.decisions.load_shedding import (
    BUSY_ROUTER_RETRY_SECONDS,
    choose_busy_retry_after,
)


def count_admitted(
    arrivals: ArrivalControl, workspace: str, number: int, lag: float
) -> int:
    """Return how many of a number of requests a router admits at one time."""
    return sum(arrivals.admit(workspace, lag, 1_000.0) for _ in range(number))


def test_late_router_rejects_the_flood_and_admits_the_others() -> None:
    arrivals = ArrivalControl()
    assert count_admitted(arrivals, "hot", 100, lag=0.0) == 100
    assert count_admitted(arrivals, "small", 10, MAX_LAG_SECONDS) == 10
    assert count_admitted(arrivals, "hot", 100, MAX_LAG_SECONDS) == 0
    assert count_admitted(arrivals, "hot", 100, lag=0.0) == 100


def test_late_router_rejects_the_flood_of_its_only_workspace() -> None:
    assert count_admitted(ArrivalControl(), "hot", 10, MAX_LAG_SECONDS) == 0


def test_two_floods_at_a_late_router_are_rejected_alike() -> None:
    arrivals = ArrivalControl()
    admitted = {"first": 0, "second": 0}
    # Clients of the first come back at once, so that more of it arrives.
    for number in range(600):
        workspace = "second" if number % 3 == 0 else "first"
        lag = 0.0 if number % 10 == 0 else MAX_LAG_SECONDS
        now = 1_000.0 + number * WINDOW_SECONDS / 100
        admitted[workspace] += arrivals.admit(workspace, lag, now)
    assert min(admitted.values()) >= max(admitted.values()) / 2


def test_end_of_a_flood_is_forgotten() -> None:
    arrivals = ArrivalControl()
    count_admitted(arrivals, "small", 10, MAX_LAG_SECONDS)
    count_admitted(arrivals, "hot", 100, MAX_LAG_SECONDS)
    later = 1_000.0 + 2 * WINDOW_SECONDS
    assert not arrivals.admit("small", MAX_LAG_SECONDS, later)
    assert not arrivals.admit("hot", MAX_LAG_SECONDS, later)


def test_client_of_a_busy_router_can_honour_its_retry_after() -> None:
    assert choose_busy_retry_after(12.0) == BUSY_ROUTER_RETRY_SECONDS
    # Clients honour at most a third of the time that they have left.
    assert 0.0 < choose_busy_retry_after(1.2) < 1.2 / 3
    assert choose_busy_retry_after(-1.0) == 0.0
