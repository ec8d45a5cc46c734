"""Tests of the foreign load inferred from late load reports."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.foreign_load import ForeignLoad, SlidingMaximum
from sycamorehaven.decisions.slot_limits import SlotLimit
from tests.support.batching_server import BackloggedScheduler, BatchingServer


def test_two_schedulers_share_a_server_by_its_load_reports() -> None:
    for lag in (0.2, 1.0, 2.0):
        server = BatchingServer(0.01, 16, lag, 2)
        limits = [SlotLimit(16, 16), SlotLimit(16, 16)]
        scheduler = BackloggedScheduler(server, limits)
        scheduler.run(20.0)
        scheduler.max_running_requests = 0
        assert scheduler.run(60.0) >= 0.95, lag
        assert scheduler.max_running_requests <= 24, lag
        first, second = scheduler.foreign_loads
        assert abs(first.slots - second.slots) <= 4, lag


def test_second_scheduler_starts_with_the_remaining_slots() -> None:
    foreign = ForeignLoad()
    foreign.apply_load_report(13, 16, 1000.0)
    assert foreign.slots == 13


def test_second_scheduler_gets_slots_of_a_full_server() -> None:
    foreign = ForeignLoad()
    for second in range(4):
        foreign.apply_load_report(16, 16, 1000.0 + second)
    assert foreign.slots < 16


def test_own_requests_in_a_late_report_are_not_foreign_load() -> None:
    foreign = ForeignLoad()
    foreign.record_busy(8, 1000.0)
    foreign.record_busy(2, 1000.5)
    foreign.apply_load_report(8, 8, 1001.0)
    assert foreign.slots == 0


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.floats(0.0, 2.0), st.integers(0, 9)), min_size=1))
def test_sliding_maximum_is_the_maximum_of_the_window(
    steps: list[tuple[float, int]],
) -> None:
    maximum = SlidingMaximum(2.5)
    now, seen = 1000.0, []
    for passed, value in steps:
        now += passed
        maximum.add(value, now)
        seen.append((now, value))
        in_window = [
            v for i, (_, v) in enumerate(seen) if _get_end(seen, i) > now - 2.5
        ]
        assert maximum.get_maximum(now) == max(in_window)


def _get_end(seen: list[tuple[float, int]], index: int) -> float:
    return seen[index + 1][0] if index + 1 < len(seen) else float("inf")
