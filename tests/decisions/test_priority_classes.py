"""Tests of the division of a workspace's share between its classes."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.call import BATCH, INTERACTIVE
from sycamorehaven.decisions.priority_classes import ClassChoice, ClassScheduler


def serve_contended(
    class_scheduler: ClassScheduler, costs: dict[str, float], grants: int
) -> tuple[dict[str, float], list[str]]:
    """Return the service by class, and the order, while both classes wait."""
    received = {INTERACTIVE: 0.0, BATCH: 0.0}
    order = []
    for _ in range(grants):
        choice = class_scheduler.choose("oakcourt", costs)
        cost = costs[choice.priority]
        class_scheduler.charge("oakcourt", choice, cost, contended=True)
        received[choice.priority] += cost
        order.append(choice.priority)
    return received, order


def test_interactive_is_served_first() -> None:
    _, order = serve_contended(
        ClassScheduler(0.2), {INTERACTIVE: 10.0, BATCH: 100.0}, 40
    )
    assert order[:40] == [INTERACTIVE] * 40


def test_batch_gets_its_fraction_of_cost() -> None:
    for cost in (5.0, 100.0, 4_000.0):
        costs = {INTERACTIVE: 10.0, BATCH: cost}
        received, _ = serve_contended(ClassScheduler(0.2), costs, 20_000)
        part = received[BATCH] / sum(received.values())
        assert abs(part - 0.2) < 0.02, cost


def test_uncontended_batch_changes_no_credit() -> None:
    class_scheduler = ClassScheduler(0.2)
    for _ in range(100):
        choice = class_scheduler.choose("oakcourt", {BATCH: 100.0})
        class_scheduler.charge("oakcourt", choice, 100.0, contended=False)
    assert class_scheduler.get_credit("oakcourt") == 0.0


def test_credit_is_not_saved_without_a_batch_request() -> None:
    class_scheduler = ClassScheduler(0.2)
    serve_contended(class_scheduler, {INTERACTIVE: 10.0, BATCH: 100.0}, 30)
    assert class_scheduler.get_credit("oakcourt") > 0.0
    class_scheduler.choose("oakcourt", {INTERACTIVE: 10.0})
    assert class_scheduler.get_credit("oakcourt") == 0.0


def test_first_batch_does_not_wait_longer_with_many_schedulers() -> None:
    costs = {INTERACTIVE: 10.0, BATCH: 4_000.0}
    for count in (1, 5, 47):
        schedulers = [ClassScheduler(0.2) for _ in range(count)]
        served = 0.0
        for class_scheduler in schedulers:
            class_scheduler.configure(0.2, count)
        while all(
            class_scheduler.choose("oakcourt", costs).priority == INTERACTIVE
            for class_scheduler in schedulers
        ):
            for class_scheduler in schedulers:
                class_scheduler.charge(
                    "oakcourt", ClassChoice(INTERACTIVE, False), 10.0, contended=True
                )
                served += 10.0
        assert served <= 4 * 4_000.0 + 10.0 * count, count


def test_unused_permit_refunds_the_credit() -> None:
    class_scheduler = ClassScheduler(0.5)
    costs = {INTERACTIVE: 10.0, BATCH: 10.0}
    serve_contended(class_scheduler, costs, 1)
    choice = class_scheduler.choose("oakcourt", costs)
    assert choice == ClassChoice(BATCH, True)
    class_scheduler.charge("oakcourt", choice, 10.0, contended=True)
    class_scheduler.refund("oakcourt", choice, 10.0)
    assert class_scheduler.choose("oakcourt", costs) == ClassChoice(BATCH, True)


def test_removed_workspaces_are_forgotten() -> None:
    class_scheduler = ClassScheduler(0.2)
    serve_contended(class_scheduler, {INTERACTIVE: 10.0, BATCH: 100.0}, 3)
    class_scheduler.retain_workspaces({"elmplace"})
    assert class_scheduler.get_credit("oakcourt") == 0.0


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.floats(0.05, 0.9),
    st.integers(1, 8),
    st.lists(
        st.tuples(st.floats(1.0, 500.0), st.floats(1.0, 500.0)),
        min_size=50,
        max_size=200,
    ),
)
def test_batch_is_never_behind_its_fraction_by_more_than_a_request(
    fraction: float, schedulers: int, costs: list[tuple[float, float]]
) -> None:
    class_scheduler = ClassScheduler(fraction)
    class_scheduler.configure(fraction, schedulers)
    interactive = batch = 0.0
    for interactive_cost, batch_cost in costs:
        choice = class_scheduler.choose(
            "oakcourt", {INTERACTIVE: interactive_cost, BATCH: batch_cost}
        )
        cost = batch_cost if choice.priority == BATCH else interactive_cost
        class_scheduler.charge("oakcourt", choice, cost, contended=True)
        if choice.priority == BATCH:
            batch += cost
        else:
            interactive += cost
        due = interactive * fraction / (1.0 - fraction)
        assert due - batch <= 500.0 + 500.0 * fraction / (1.0 - fraction) + 1e-6
        assert batch - due <= 500.0 + 1e-6
