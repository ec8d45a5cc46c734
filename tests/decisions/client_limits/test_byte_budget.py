"""Test the memory that requests of clients may occupy."""

from __future__ import annotations

from sycamorehaven.decisions.client_limits.byte_budget import (
    MEGABYTE,
    ByteBudget,
    choose_budget,
    measure_head,
)

SMALLEST_MACHINE_MEGABYTES = 160
ORDINARY_BODY_BYTES = 100_000
ORDINARY_HEAD_BYTES, ORDINARY_FIELDS = 600, 15
LARGEST_BODY_BYTES = 4_194_304


def test_clients_inside_the_limits_never_meet_the_smallest_budget() -> None:
    # Guards against a budget that rejects ordinary clients.
    budget = ByteBudget(choose_budget(SMALLEST_MACHINE_MEGABYTES, 0))
    head = measure_head(ORDINARY_HEAD_BYTES, ORDINARY_FIELDS)
    for _ in range(300):
        assert budget.draw(head + ORDINARY_BODY_BYTES)
    assert budget.draw(LARGEST_BODY_BYTES)


def test_budget_without_a_setting_is_a_part_of_the_machine() -> None:
    assert choose_budget(None, 4_000 * MEGABYTE) == 1_000 * MEGABYTE
    assert choose_budget(400.0, 4_000 * MEGABYTE) == 100 * MEGABYTE


def test_budget_is_exceeded_until_enough_is_released() -> None:
    budget = ByteBudget(100)
    assert budget.draw(100)
    assert not budget.draw(1)
    assert budget.is_exceeded
    budget.release(1)
    assert not budget.is_exceeded
    assert budget.total == 100


def test_requests_that_make_way_are_followed_before_they_are_gone() -> None:
    # Guards against counting their memory as free while they still occupy it.
    budget = ByteBudget(100)
    budget.draw(100)
    budget.expect(60)
    assert budget.draw(25)
    assert not budget.is_exceeded
    assert not budget.draw(1)
    budget.expect(-60)
    budget.release(60)
    assert not budget.is_full


def test_many_short_fields_cost_more_than_one_long_field() -> None:
    # Guards against counting a head by its length only: the parsed form of
    # short fields is many times as large.
    assert measure_head(16_384, 3_000) > 20 * measure_head(16_384, 1)
