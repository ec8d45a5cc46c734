"""Faults between routers that a file describes."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from sycamorehaven.transport.faults import POLL, FileFilter
from tests.support.fixtures import fixture

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.support.doubles import ManualClock


class Faults:
    """A file of faults that a test rewrites."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def write(self, text: str) -> None:
        """Replace the file at once, as the fleet's helpers do."""
        fresh = self.path.with_suffix(".fresh")
        fresh.write_text(text)
        os.replace(fresh, self.path)


@fixture
def faults() -> Iterator[Faults]:
    """Give an empty file of faults."""
    with tempfile.TemporaryDirectory() as folder:
        file = Faults(Path(folder) / "faults.toml")
        file.write("")
        yield file


def test_cut_takes_force_and_heals(faults: Faults, clock: ManualClock) -> None:
    peer_filter = FileFilter(faults.path, "a", clock)
    assert peer_filter.admits("a", "b")
    faults.write('cuts = [["a", "b"]]\none_way = [["c", "a"]]')
    assert peer_filter.admits("a", "b"), "looked at the file too often"
    clock.advance(2 * POLL)
    for sender, receiver in (("a", "b"), ("b", "a"), ("c", "a")):
        assert not peer_filter.admits(sender, receiver)
    assert peer_filter.admits("a", "c")
    faults.write("")
    clock.advance(2 * POLL)
    assert peer_filter.admits("b", "a")


def test_loss_is_at_the_sender_and_repeats_by_seed(
    faults: Faults, clock: ManualClock
) -> None:
    faults.write("loss = 0.2\nseed = 7")
    rows = []
    for _ in range(2):
        peer_filter = FileFilter(faults.path, "a", clock)
        rows.append([peer_filter.admits("a", "b") for _ in range(1_000)])
        assert all(peer_filter.admits("b", "a") for _ in range(1_000))
    assert rows[0] == rows[1]
    assert 150 <= rows[0].count(False) <= 250


def test_delay_stays_below_the_latest(faults: Faults, clock: ManualClock) -> None:
    peer_filter = FileFilter(faults.path, "a", clock)
    assert peer_filter.choose_delay() == 0.0
    faults.write("latest = 0.3")
    peer_filter.admits("a", "b")
    delays = [peer_filter.choose_delay() for _ in range(100)]
    assert all(0.0 <= delay <= 0.3 for delay in delays)
    assert len(set(delays)) > 90


def test_malformed_file_keeps_what_was_in_force(
    faults: Faults, clock: ManualClock
) -> None:
    faults.write('cuts = [["a", "b"]]')
    peer_filter = FileFilter(faults.path, "a", clock)
    assert not peer_filter.admits("a", "b")
    for text in ("cuts = [", "loss = 2.0", "losses = 0.1"):
        faults.write(text)
        clock.advance(2 * POLL)
        assert not peer_filter.admits("a", "b")
