"""Tests of adaptive slot limits with simulated batching servers."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.slot_limits import FinishedRun, SlotLimit
from tests.support.batching_server import BackloggedScheduler, BatchingServer

SERVER_SPEEDS = ((0.002, 4), (0.005, 8), (0.01, 24), (0.02, 12), (0.04, 40))
"""Seconds per cost unit, and number of requests above which they slow each
other down, of servers of different generations."""


def test_servers_of_any_speed_stay_busy_with_steady_limits() -> None:
    for lag in (0.2, 2.0):
        for seed, (seconds_per_unit, saturation_requests) in enumerate(SERVER_SPEEDS):
            server = BatchingServer(seconds_per_unit, saturation_requests, lag, seed)
            scheduler = BackloggedScheduler(server, [SlotLimit(4, 64)])
            scheduler.run(80.0)
            scheduler.limit_history.clear()
            assert scheduler.run(120.0) >= 0.95, (
                lag,
                seconds_per_unit,
                saturation_requests,
            )
            history = scheduler.limit_history
            changes = sum(one != two for one, two in pairwise(history))
            assert changes <= 12, (lag, seconds_per_unit, saturation_requests, changes)
            assert max(history) <= 2 * min(history), (
                lag,
                seconds_per_unit,
                saturation_requests,
            )


def test_limit_decreases_when_the_saturation_point_does() -> None:
    limit = SlotLimit(8, 64)
    server = BatchingServer(0.01, 8, 1.0, 1)
    scheduler = BackloggedScheduler(server, [limit])
    scheduler.run(60.0)
    server.saturation_requests = 2
    scheduler.run(240.0)
    assert limit.limit <= 5
    assert scheduler.run(60.0) >= 0.95


def test_slower_server_keeps_its_slots() -> None:
    server = BatchingServer(0.01, 16, 0.5, 3)
    limit = SlotLimit(8, 16)
    scheduler = BackloggedScheduler(server, [limit])
    scheduler.run(60.0)
    assert limit.limit == 16
    server.seconds_per_unit = 0.05
    scheduler.run(240.0)
    assert limit.limit == 16


def test_failures_of_one_server_loss_halve_the_limit_once() -> None:
    limit = SlotLimit(16, 16)
    for _ in range(10):
        limit.record_failure(1000.0, 1001.0)
    assert limit.limit == 8
    limit.record_failure(1001.5, 1002.0)
    assert limit.limit == 4
    for _ in range(10):
        limit.record_failure(1100.0, 1100.0)
    assert limit.limit == 1


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.integers(1, 64),
    st.integers(1, 64),
    st.lists(
        st.tuples(st.sampled_from("fcl"), st.floats(0.0, 5.0), st.floats(0.01, 500.0)),
        max_size=300,
    ),
)
def test_limit_stays_within_its_bounds(
    initial_limit: int, ceiling: int, events: list[tuple[str, float, float]]
) -> None:
    limit = SlotLimit(min(initial_limit, ceiling), ceiling)
    now = 1000.0
    # Events are f for a failure, c for a completed request and l for requests
    # that wait while all slots are taken.
    for kind, seconds, units in events:
        now += seconds
        if kind == "f":
            limit.record_failure(now - 0.5, now)
        elif kind == "c":
            limit.record_success(FinishedRun(now - seconds, now, units))
        else:
            limit.record_saturation()
        assert 1 <= limit.limit <= ceiling
