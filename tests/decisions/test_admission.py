"""Tests of admission control, with requests on both sides of each limit."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.admission import (
    MAX_QUEUED_BYTES,
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    AdmissionRequest,
    DrainRate,
    QueueState,
    ServiceTime,
    can_finish,
    check_admission,
    estimate_retry_after,
    fits_memory,
    get_class_queue_limit,
)


def simulate_drain(per_second: float, seconds: float, seed: int = 1) -> DrainRate:
    """
    Return the drain rate of a queue that is never empty.

    :param per_second: mean rate of the random grants.
    :param seconds: length of the simulation.
    """
    rng = random.Random(seed)
    rate, now = DrainRate(), 1000.0
    rate = rate.advance(now, waiting=False)
    end = now + seconds
    while per_second > 0.0:
        now += rng.expovariate(per_second)
        if now > end:
            break
        rate = rate.add_grant(now, waiting=True)
    return rate.advance(end, waiting=True)


STATE = QueueState(3, 10, 0, 0, DrainRate())
REQUEST = AdmissionRequest(ahead=3, time_left=60.0, service_time=0.0, size=100)


def test_full_queue_returns_the_time_to_drain() -> None:
    state = STATE._replace(waiting=10, drain_rate=simulate_drain(2.0, 60.0))
    rejection = check_admission(REQUEST._replace(ahead=10), state)
    assert rejection is not None
    assert rejection.code == "queue_full"
    assert 2.5 <= rejection.retry_after <= 10.0
    assert check_admission(REQUEST, state._replace(waiting=9)) is None


def test_retry_after_is_bounded_and_longest_when_nothing_drains() -> None:
    assert (
        estimate_retry_after(10_000, simulate_drain(2.0, 60.0))
        == MAX_RETRY_AFTER_SECONDS
    )
    assert (
        estimate_retry_after(1, simulate_drain(100.0, 60.0)) == MIN_RETRY_AFTER_SECONDS
    )
    assert estimate_retry_after(1, simulate_drain(0.0, 30.0)) == MAX_RETRY_AFTER_SECONDS
    assert estimate_retry_after(1, DrainRate()) == MIN_RETRY_AFTER_SECONDS


def test_unreachable_deadline_is_refused_and_feasible_ones_are_not() -> None:
    for per_second in (0.5, 5.0, 50.0):
        for seed in range(20):
            rate = simulate_drain(per_second, 60.0, seed)
            ahead = round(20 * per_second)
            feasible = REQUEST._replace(ahead=ahead, time_left=24.0)
            unreachable = REQUEST._replace(ahead=ahead, time_left=3.0)
            assert can_finish(feasible, rate), (per_second, seed)
            assert not can_finish(unreachable, rate), (per_second, seed)


def test_nothing_is_refused_for_its_deadline_before_a_rate_is_known() -> None:
    short = REQUEST._replace(ahead=500, time_left=0.5)
    assert can_finish(short, DrainRate())
    assert can_finish(short, simulate_drain(1.0, 1.0))


def test_service_time_alone_can_make_a_deadline_unreachable() -> None:
    service_time, now = ServiceTime(), 1000.0
    for _ in range(40):
        now += 1.0
        service_time = service_time.observe(10.0, now)
    needed = service_time.get_lower_bound(now)
    assert 4.0 <= needed <= 10.0
    late = AdmissionRequest(0, 2.0, needed, 0)
    assert not can_finish(late, DrainRate())
    assert can_finish(late._replace(time_left=11.0), DrainRate())
    assert can_finish(
        late._replace(service_time=service_time.get_lower_bound(now + 300.0)),
        DrainRate(),
    )


def test_short_requests_among_long_ones_are_not_refused() -> None:
    service_time, now = ServiceTime(), 1000.0
    for number in range(200):
        now += 1.0
        service_time = service_time.observe(0.5 if number % 10 == 0 else 30.0, now)
    assert can_finish(
        AdmissionRequest(0, 2.0, service_time.get_lower_bound(now), 0), DrainRate()
    )


def test_old_rate_decays() -> None:
    rate = simulate_drain(0.1, 60.0).advance(1060.0 + 600.0, waiting=False)
    assert can_finish(REQUEST._replace(ahead=500, time_left=1.0), rate)


def test_flooding_workspace_is_refused_first() -> None:
    own = 0
    while fits_memory(1_000_000, own, own):
        own += 1_000_000
    assert own <= MAX_QUEUED_BYTES / 2
    assert fits_memory(1_000_000, 0, own)
    rejection = check_admission(
        REQUEST._replace(size=1_000_000),
        STATE._replace(workspace_bytes=own, total_bytes=own),
    )
    assert rejection is not None
    assert rejection.code == "queue_memory_full"


def test_batch_may_fill_only_part_of_the_queue() -> None:
    assert get_class_queue_limit(100, "interactive") == 100
    assert get_class_queue_limit(100, "batch") == 75
    assert get_class_queue_limit(1, "batch") == 1


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 16_000_000)), max_size=200))
def test_queued_bytes_never_exceed_the_limit(bodies: list[tuple[int, int]]) -> None:
    queued = [0, 0, 0, 0]
    for workspace, size in bodies:
        if fits_memory(size, queued[workspace], sum(queued)):
            queued[workspace] += size
        assert sum(queued) <= MAX_QUEUED_BYTES


@settings(derandomize=True, deadline=None, max_examples=80)
@given(
    st.lists(st.tuples(st.floats(0.0, 30.0), st.booleans(), st.booleans())),
    st.integers(0, 100_000),
)
def test_retry_after_stays_within_its_bounds(
    steps: list[tuple[float, bool, bool]], ahead: int
) -> None:
    rate, now = DrainRate(), 1000.0
    for passed, waiting, grant in steps:
        now += passed
        update = rate.add_grant if grant else rate.advance
        rate = update(now, waiting=waiting)
    assert (
        MIN_RETRY_AFTER_SECONDS
        <= estimate_retry_after(ahead, rate)
        <= MAX_RETRY_AFTER_SECONDS
    )
    assert rate.get_upper_bound() > 0.0
