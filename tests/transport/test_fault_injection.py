"""Tests of fault injection by a file."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from sycamorehaven.transport.fault_injection import POLL_SECONDS, FaultFileFilter
from tests.support.fixtures import fixture

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.support.doubles import ManualClock


class FaultFile:
    """A file with injected faults that a test rewrites."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def write(self, text: str) -> None:
        """Replace the file atomically, as ``tests.support.fleet`` does."""
        replacement = self.path.with_suffix(".fresh")
        replacement.write_text(text)
        os.replace(replacement, self.path)


@fixture
def fault_file() -> Iterator[FaultFile]:
    """Provide an empty file of faults."""
    with tempfile.TemporaryDirectory() as folder:
        file = FaultFile(Path(folder) / "faults.toml")
        file.write("")
        yield file


def test_cut_takes_effect_and_is_removed(
    fault_file: FaultFile, clock: ManualClock
) -> None:
    peer_filter = FaultFileFilter(fault_file.path, "a", clock)
    assert peer_filter.should_deliver("a", "b")
    fault_file.write('cuts = [["a", "b"]]\none_way = [["c", "a"]]')
    assert peer_filter.should_deliver("a", "b"), "the file was read again too early"
    clock.advance(2 * POLL_SECONDS)
    for sender, receiver in (("a", "b"), ("b", "a"), ("c", "a")):
        assert not peer_filter.should_deliver(sender, receiver)
    assert peer_filter.should_deliver("a", "c")
    fault_file.write("")
    clock.advance(2 * POLL_SECONDS)
    assert peer_filter.should_deliver("b", "a")


def test_loss_applies_at_the_sender_and_repeats_with_the_seed(
    fault_file: FaultFile, clock: ManualClock
) -> None:
    fault_file.write("loss = 0.2\nseed = 7")
    runs = []
    for _ in range(2):
        peer_filter = FaultFileFilter(fault_file.path, "a", clock)
        runs.append([peer_filter.should_deliver("a", "b") for _ in range(1_000)])
        assert all(peer_filter.should_deliver("b", "a") for _ in range(1_000))
    assert runs[0] == runs[1]
    assert 150 <= runs[0].count(False) <= 250


def test_delay_does_not_exceed_latest(
    fault_file: FaultFile, clock: ManualClock
) -> None:
    peer_filter = FaultFileFilter(fault_file.path, "a", clock)
    assert peer_filter.choose_delay() == 0.0
    fault_file.write("latest = 0.3")
    peer_filter.should_deliver("a", "b")
    delays = [peer_filter.choose_delay() for _ in range(100)]
    assert all(0.0 <= delay <= 0.3 for delay in delays)
    assert len(set(delays)) > 90


def test_malformed_file_keeps_the_previous_faults(
    fault_file: FaultFile, clock: ManualClock
) -> None:
    fault_file.write('cuts = [["a", "b"]]')
    peer_filter = FaultFileFilter(fault_file.path, "a", clock)
    assert not peer_filter.should_deliver("a", "b")
    for text in ("cuts = [", "loss = 2.0", "losses = 0.1"):
        fault_file.write(text)
        clock.advance(2 * POLL_SECONDS)
        assert not peer_filter.should_deliver("a", "b")
