"""Adaptive slots against batching servers on a given clock."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.slots import FinishedRun, Load, RecentPeak, SlotLimit
from tests.support.batching import BatchingServer, Dispatcher

SPEEDS = ((0.002, 4), (0.005, 8), (0.01, 24), (0.02, 12), (0.04, 40))
"""Seconds a unit and knee of servers bought over years."""


def test_servers_of_any_speed_stay_busy_and_limits_steady() -> None:
    for lag in (0.2, 2.0):
        for seed, (unit_time, knee) in enumerate(SPEEDS):
            server = BatchingServer(unit_time, knee, lag, seed)
            dispatcher = Dispatcher(server, [SlotLimit(4, 64)])
            dispatcher.run(80.0)
            dispatcher.history.clear()
            assert dispatcher.run(120.0) >= 0.95, (lag, unit_time, knee)
            history = dispatcher.history
            changes = sum(one != two for one, two in pairwise(history))
            assert changes <= 12, (lag, unit_time, knee, changes)
            assert max(history) <= 2 * min(history), (lag, unit_time, knee)


def test_limit_comes_down_when_the_knee_does() -> None:
    limit = SlotLimit(8, 64)
    server = BatchingServer(0.01, 8, 1.0, 1)
    dispatcher = Dispatcher(server, [limit])
    dispatcher.run(60.0)
    server.knee = 2
    dispatcher.run(240.0)
    assert limit.limit <= 5
    assert dispatcher.run(60.0) >= 0.95


def test_slower_server_keeps_its_slots() -> None:
    server = BatchingServer(0.01, 16, 0.5, 3)
    limit = SlotLimit(8, 16)
    dispatcher = Dispatcher(server, [limit])
    dispatcher.run(60.0)
    assert limit.limit == 16
    server.unit_time = 0.05
    dispatcher.run(240.0)
    assert limit.limit == 16


def test_two_schedulers_share_what_the_report_shows() -> None:
    for lag in (0.2, 1.0, 2.0):
        server = BatchingServer(0.01, 16, lag, 2)
        limits = [SlotLimit(16, 16), SlotLimit(16, 16)]
        dispatcher = Dispatcher(server, limits)
        dispatcher.run(20.0)
        dispatcher.most_running = 0
        assert dispatcher.run(60.0) >= 0.95, lag
        assert dispatcher.most_running <= 24, lag
        assert abs(limits[0].available - limits[1].available) <= 4, lag


def test_second_scheduler_starts_with_what_is_left() -> None:
    limit = SlotLimit(16, 16)
    limit.take_load(Load(0, True, 13, 1000.0), 1000.0)
    assert limit.available == 3


def test_failures_of_one_loss_halve_once() -> None:
    limit = SlotLimit(16, 16)
    for _ in range(10):
        limit.take_failure(1000.0, 1001.0)
    assert limit.limit == 8
    limit.take_failure(1001.5, 1002.0)
    assert limit.limit == 4
    for _ in range(10):
        limit.take_failure(1100.0, 1100.0)
    assert limit.limit == 1


def test_stale_report_subtracts_nothing() -> None:
    limit = SlotLimit(8, 8)
    limit.take_load(Load(0, True, 6, 1000.0), 1001.0)
    assert limit.available == 2
    limit.take_load(Load(0, True, 6, 1000.0), 1010.0)
    assert limit.available == 8


def test_own_requests_in_a_late_report_are_not_subtracted() -> None:
    limit = SlotLimit(8, 8)
    limit.take_load(Load(8, True, 0, 999.0), 1000.0)
    limit.take_load(Load(2, True, 8, 1001.0), 1001.0)
    assert limit.available == 8


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
    start: int, ceiling: int, events: list[tuple[str, float, float]]
) -> None:
    limit = SlotLimit(min(start, ceiling), ceiling)
    now = 1000.0
    for kind, seconds, units in events:
        now += seconds
        if kind == "f":
            limit.take_failure(now - 0.5, now)
        elif kind == "c":
            limit.take_finish(FinishedRun(now - seconds, now, units))
        else:
            limit.take_load(Load(limit.limit, True, int(units), now), now)
        assert 1 <= limit.limit <= ceiling
        assert 1 <= limit.available <= limit.limit


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 9)), min_size=1))
def test_recent_peak_is_the_maximum_of_the_span(
    steps: list[tuple[float, int]],
) -> None:
    peak = RecentPeak(2.5)
    now, seen = 1000.0, []
    for passed, value in steps:
        now += passed
        peak.push(value, now)
        seen.append((now, value))
        held = [v for i, (_, v) in enumerate(seen) if _lasts(seen, i) > now - 2.5]
        assert peak.find(now) == max(held)


def _lasts(seen: list[tuple[float, int]], index: int) -> float:
    return seen[index + 1][0] if index + 1 < len(seen) else float("inf")
