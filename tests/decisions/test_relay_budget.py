"""The rate of requests that the processor of a host can relay."""

from __future__ import annotations

from sycamorehaven.decisions.relay_budget import (
    BURST_SECONDS,
    INITIAL_RATE_PER_CORE,
    MIN_RATE_PER_CORE,
    RelayBudget,
)

SMALLEST_QUOTA = 0.387


def count_accepted(
    budget: RelayBudget, utilization: float, seconds: float, start: float = 0.0
) -> int:
    """Return how many of 400 requests a second a budget accepts."""
    accepted = 0
    for number in range(int(400 * seconds)):
        now = start + number / 400
        if budget.has_room(utilization, now):
            budget.take(now)
            accepted += 1
    return accepted


def test_host_that_is_not_busy_accepts_every_burst() -> None:
    budget = RelayBudget(SMALLEST_QUOTA)
    assert count_accepted(budget, 0.5, 1.0) == 400


# The event loop of such a host is busy and on time.
def test_busy_host_accepts_more_than_its_processor_can_relay() -> None:
    budget = RelayBudget(SMALLEST_QUOTA)
    rate = INITIAL_RATE_PER_CORE * SMALLEST_QUOTA
    accepted = count_accepted(budget, 0.93, BURST_SECONDS)
    assert accepted <= 2 * rate * BURST_SECONDS + 1


def test_rate_falls_while_there_is_no_time_left_and_not_to_nothing() -> None:
    budget = RelayBudget(SMALLEST_QUOTA)
    first = count_accepted(budget, 1.0, 1.0)
    second = count_accepted(budget, 1.0, 1.0, start=1.0)
    assert second < first
    count_accepted(budget, 1.0, 30.0, start=2.0)
    assert budget.rate == MIN_RATE_PER_CORE * SMALLEST_QUOTA


def test_rate_grows_while_there_is_time_for_what_it_rejects() -> None:
    budget = RelayBudget(SMALLEST_QUOTA)
    count_accepted(budget, 0.93, 2.0)
    assert budget.rate > 1.5 * INITIAL_RATE_PER_CORE * SMALLEST_QUOTA


def test_rate_keeps_while_nothing_is_rejected() -> None:
    budget = RelayBudget(SMALLEST_QUOTA)
    before = budget.rate
    for second in range(10):
        budget.has_room(0.93, float(second))
        budget.take(float(second))
    assert budget.rate == before


# Requests that arrive together would all be accepted by the same token.
def test_requests_that_arrive_together_are_all_accepted() -> None:
    budget = RelayBudget(SMALLEST_QUOTA)
    burst = int(INITIAL_RATE_PER_CORE * SMALLEST_QUOTA * BURST_SECONDS)
    assert budget.has_room(0.93, 0.0, arriving=burst - 1)
    assert not budget.has_room(0.93, 0.0, arriving=burst + 1)


# Such a rate would let a flood in for seconds before it has fallen again.
def test_rate_grows_by_bursts_at_a_host_that_is_not_busy() -> None:
    budget = RelayBudget(SMALLEST_QUOTA)
    before = budget.rate
    count_accepted(budget, 0.5, 10.0)
    assert budget.rate == before
