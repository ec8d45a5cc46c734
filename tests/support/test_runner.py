"""Test how the runner prepares the process for each test."""

from __future__ import annotations

import gc


def test_collections_scan_what_was_loaded_before_the_test() -> None:
    # The routers under test are paused while the collector scans.
    assert gc.get_freeze_count() > len(gc.get_objects())
