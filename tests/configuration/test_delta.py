"""Differences between configuration texts."""

from __future__ import annotations

import zlib
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.delta import (
    LARGEST_TEXT,
    DeltaError,
    Part,
    apply_delta,
    build_delta,
    digest_blocks,
    pack_delta,
    pack_text,
    unpack_delta,
    unpack_text,
)
from tests.support.large_configurations import (
    build_large_configuration,
    build_workspace_table,
)

CHANGES_A_DAY = 4_500
BUDGET = 21_000
"""Bytes of control traffic a second."""
TABLES = st.lists(st.sampled_from("abcdef"), max_size=12).map(
    lambda names: "".join(f"[{name}]\nx = 1\n" for name in names)
)


@settings(derandomize=True, deadline=None)
@given(TABLES, TABLES)
def test_a_difference_makes_the_text(old: str, new: str) -> None:
    parts = unpack_delta(pack_delta(build_delta(digest_blocks(old), new)))
    assert apply_delta(old, parts) == new


def test_a_days_changes_stay_far_below_the_budget() -> None:
    old = build_large_configuration()
    new = old.replace(build_workspace_table(700), build_workspace_table(700, 2.0))
    changed = pack_delta(build_delta(digest_blocks(old), new))
    assert apply_delta(old, unpack_delta(changed)) == new
    assert len(changed) < 1_000
    assert len(changed) * CHANGES_A_DAY / 86_400 < BUDGET / 100


def test_malformed_replies_are_refused() -> None:
    fails = TestCase().assertRaises
    bomb = zlib.compress(b"x" * (LARGEST_TEXT + 1))
    for data in (b"", b"not zlib", bomb, pack_text("[a]\n")[:-3]):
        with fails(DeltaError):
            unpack_text(data)
        with fails(DeltaError):
            unpack_delta(data)
    with fails(DeltaError):
        apply_delta("[a]\n" * 1_000, [Part(0, 1_000, "x")] * 1_000)
    with fails(DeltaError):
        apply_delta("[a]\n", [Part(-1, 1, "")])
