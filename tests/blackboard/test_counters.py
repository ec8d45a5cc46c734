"""Merging and folding of the totals that routers exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.blackboard.counters import CounterKey, CountersSection
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    import random

OWN = RouterId("a1", 1)
PEERS = [RouterId("b1", 1), RouterId("b1", 2), RouterId("c1", 1)]

update_rows = st.lists(
    st.tuples(
        st.sampled_from(PEERS), st.sampled_from(["oak", "elm"]), st.integers(0, 9)
    ),
    max_size=12,
)


def merge_all(section: CountersSection, rows: list[tuple[RouterId, str, int]]) -> None:
    for scheduler, workspace, total in rows:
        section.merge_total(CounterKey(scheduler, "assistant", workspace), float(total))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(update_rows, st.randoms(use_true_random=False))
def test_merge_is_commutative_and_idempotent(
    rows: list[tuple[RouterId, str, int]], generator: random.Random
) -> None:
    once, twice = CountersSection(OWN), CountersSection(OWN)
    repeated = rows * 2
    generator.shuffle(repeated)
    merge_all(once, rows)
    merge_all(twice, repeated)
    for workspace in ("oak", "elm"):
        total = once.sum_service("assistant", workspace)
        assert total == twice.sum_service("assistant", workspace)
        assert total == sum(
            value for key, value in once.totals.items() if key.workspace == workspace
        )


@settings(derandomize=True, deadline=None, max_examples=200)
@given(update_rows, st.integers(0, 12), st.sampled_from(PEERS))
def test_fold_keeps_sums_and_ignores_late_totals(
    rows: list[tuple[RouterId, str, int]], known_count: int, gone: RouterId
) -> None:
    section = CountersSection(OWN)
    merge_all(section, rows[:known_count])
    before = section.sum_service("assistant", "oak")
    section.fold(gone, may_return=False)
    assert section.sum_service("assistant", "oak") == before
    merge_all(section, [row for row in rows[:known_count] if row[0] == gone])
    assert section.sum_service("assistant", "oak") == before
