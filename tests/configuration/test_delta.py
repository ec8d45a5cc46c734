"""Tests of deltas between configuration texts."""

from __future__ import annotations

import zlib
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.delta import (
    MAX_TEXT_BYTES,
    DeltaError,
    DeltaPart,
    apply_delta,
    build_delta,
    compress_text,
    decode_delta,
    decompress_text,
    digest_blocks,
    encode_delta,
)
from tests.support.large_configurations import (
    build_large_configuration,
    build_workspace_table,
)

CHANGES_PER_DAY = 4_500
"""Changes of the configuration text in a day."""
CONTROL_BUDGET_BYTES_PER_SECOND = 21_000
"""Budget for the traffic between routers."""
TEXTS = st.lists(st.sampled_from("abcdef"), max_size=12).map(
    lambda names: "".join(f"[{name}]\nx = 1\n" for name in names)
)


@settings(derandomize=True, deadline=None)
@given(TEXTS, TEXTS)
def test_delta_reproduces_the_text(old: str, new: str) -> None:
    parts = decode_delta(encode_delta(build_delta(digest_blocks(old), new)))
    assert apply_delta(old, parts) == new


def test_daily_changes_stay_far_below_the_traffic_budget() -> None:
    old = build_large_configuration()
    new = old.replace(build_workspace_table(700), build_workspace_table(700, 2.0))
    delta = encode_delta(build_delta(digest_blocks(old), new))
    assert apply_delta(old, decode_delta(delta)) == new
    assert len(delta) < 1_000
    assert len(delta) * CHANGES_PER_DAY / 86_400 < CONTROL_BUDGET_BYTES_PER_SECOND / 100


def test_malformed_replies_raise_delta_errors() -> None:
    assert_raises = TestCase().assertRaises
    bomb = zlib.compress(b"x" * (MAX_TEXT_BYTES + 1))
    for data in (b"", b"not zlib", bomb, compress_text("[a]\n")[:-3]):
        with assert_raises(DeltaError):
            decompress_text(data)
        with assert_raises(DeltaError):
            decode_delta(data)
    with assert_raises(DeltaError):
        apply_delta("[a]\n" * 1_000, [DeltaPart(0, 1_000, "x")] * 1_000)
    with assert_raises(DeltaError):
        apply_delta("[a]\n", [DeltaPart(-1, 1, "")])
