"""Evacuations are merged from snapshots that arrive in any order."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from sycamorehaven.decisions.evacuation.evacuations import Evacuations
from sycamorehaven.decisions.evacuation.openings import find_evacuated_opening
from sycamorehaven.decisions.server_directory import RECOVERY_GRACE_SECONDS
from sycamorehaven.routing.model import Evacuation, Snapshot

DOMAINS = ("a", "b", "c")


def build_snapshot(
    revision: int, *items: tuple[str, int], operator: int = 0, era: int = 0
) -> Snapshot:
    """Return a snapshot with evacuations and the revisions of their items."""
    evacuations = tuple(Evacuation(*item) for item in items)
    return Snapshot(
        revision, None, (), era, evacuations=evacuations, operator_revision=operator
    )


def merge(*snapshots: Snapshot) -> frozenset[str]:
    """Return the failure domains in force after some snapshots."""
    evacuations = Evacuations()
    for snapshot in snapshots:
        evacuations.merge(snapshot, 1.0)
    return evacuations.domains


class History:
    """
    A store to which evacuations are written and from which they are deleted.

    :ivar revision: revision of the last change.
    """

    def __init__(self, rng: random.Random, changes: int) -> None:
        self._random = rng
        self.revision = changes
        self._states: dict[str, list[int]] = {domain: [0] for domain in DOMAINS}
        for revision in range(1, changes + 1):
            changed = rng.choice(DOMAINS)
            for domain, states in self._states.items():
                if domain != changed:
                    states.append(states[-1])
                else:
                    states.append(0 if states[-1] and rng.random() < 0.6 else revision)

    def find(self, domain: str, revision: int) -> int:
        """Return the revision of an item as of a revision; 0 without it."""
        return self._states[domain][revision]

    def read(self, last: bool = False) -> Read:
        """Read each item on a page of its own, with changes in between."""
        pages = {
            domain: self.revision if last else self._random.randint(0, self.revision)
            for domain in DOMAINS
        }
        position = min(pages.values())
        items = [
            (domain, self.find(domain, page))
            for domain, page in pages.items()
            if self.find(domain, page)
        ]
        servers = self._random.randint(0, position)
        return Read(pages, build_snapshot(servers, *items, operator=position))


class Read(NamedTuple):
    """
    A snapshot and the revision of the page of each failure domain.

    :ivar pages: the revisions.
    :ivar snapshot: the snapshot.
    """

    pages: dict[str, int]
    snapshot: Snapshot


def check_known(history: History, reads: list[Read], known: frozenset[str]) -> None:
    """Check that nothing is in force, or not, against what was read."""
    position = max(read.snapshot.operator_position[1] for read in reads)
    for domain in DOMAINS:
        seen = max(read.pages[domain] for read in reads)
        if history.find(domain, seen):
            assert domain in known, "the newest page has the item"
        written = max(history.find(domain, read.pages[domain]) for read in reads)
        if written <= position and not history.find(domain, position):
            assert domain not in known, "it was deleted before the newest position"


@given(st.integers(0, 1_000_000), st.integers(1, 12), st.integers(1, 8))
def test_order_of_snapshots_neither_ends_nor_revives_an_evacuation(
    seed: int, changes: int, count: int
) -> None:
    rng = random.Random(seed)
    history = History(rng, changes)
    reads = [history.read() for _ in range(count)]
    # A peer passes on what it has merged.
    peer = Evacuations()
    known = Evacuations()
    for number, read in enumerate(reads, start=1):
        peer.merge(read.snapshot, 1.0)
        known.merge(rng.choice([read.snapshot, peer.update_snapshot(read.snapshot)]), 1)
        assert known.domains == peer.domains
        check_known(history, reads[:number], known.domains)
    for read in (history.read(last=True), *reads):
        known.merge(read.snapshot, 1.0)
    in_force = {name for name in DOMAINS if history.find(name, history.revision)}
    assert known.domains == in_force


def test_item_written_between_two_pages_is_not_ended_by_a_snapshot_read_before() -> (
    None
):
    # Its first page was read at 7, and the one with the item at 9 or later.
    early = build_snapshot(5, ("a", 9), operator=7)
    assert merge(early, build_snapshot(8)) == {"a"}
    assert merge(build_snapshot(8), early) == {"a"}
    assert merge(early, build_snapshot(8), build_snapshot(10)) == set()


def test_deleted_item_is_not_revived_by_a_snapshot_read_before() -> None:
    before, after = build_snapshot(7, ("a", 3)), build_snapshot(5, operator=9)
    assert merge(before, after) == set()
    assert merge(after, before) == set()
    assert merge(after, before, build_snapshot(11, ("a", 10))) == {"a"}


def test_restored_store_ends_an_evacuation_only_after_the_grace() -> None:
    evacuations = Evacuations()
    evacuations.merge(build_snapshot(50, ("a", 40)), 10.0)
    copy = build_snapshot(30, ("b", 20), era=1)
    evacuations.merge(copy, 11.0)
    assert evacuations.domains == {"a", "b"}
    # The snapshot of a peer that has not read the restored store yet.
    evacuations.merge(build_snapshot(51), 11.1)
    evacuations.merge(copy, 10.9 + RECOVERY_GRACE_SECONDS)
    assert evacuations.domains == {"a", "b"}
    assert evacuations.get_ordered_after("a") == -math.inf
    assert evacuations.get_ordered_after("b") == 10.0
    evacuations.merge(copy, 11.0 + RECOVERY_GRACE_SECONDS)
    assert evacuations.domains == {"b"}


def test_evacuation_holds_over_a_second_restoration() -> None:
    evacuations = Evacuations()
    evacuations.merge(build_snapshot(50, ("a", 40)), 10.0)
    evacuations.merge(build_snapshot(30, era=1), 11.0)
    evacuations.merge(build_snapshot(20, era=2), 13.0)
    evacuations.merge(build_snapshot(21, era=2), 15.0)
    assert evacuations.domains == {"a"}


def test_evacuation_written_again_and_deleted_ends_at_once() -> None:
    evacuations = Evacuations()
    evacuations.merge(build_snapshot(50, ("a", 40)), 10.0)
    evacuations.merge(build_snapshot(31, ("a", 31), era=1), 11.0)
    evacuations.merge(build_snapshot(32, era=1), 11.5)
    assert evacuations.domains == set()


# A router that starts, or stood still, may learn of an old order.
def test_order_is_as_old_as_the_last_snapshot_without_it() -> None:
    evacuations = Evacuations()
    evacuations.merge(build_snapshot(1, ("a", 1)), 10.0)
    assert evacuations.get_ordered_after("a") == -math.inf
    evacuations.merge(build_snapshot(2, ("a", 1)), 11.0)
    evacuations.merge(build_snapshot(3, ("a", 1), ("b", 3)), 19.0)
    assert evacuations.get_ordered_after("a") == -math.inf
    assert evacuations.get_ordered_after("b") == 11.0
    evacuations.merge(build_snapshot(4), 20.0)
    evacuations.merge(build_snapshot(5, ("a", 5)), 21.0)
    assert evacuations.get_ordered_after("a") == 20.0


def test_copies_from_an_evacuated_server_end_with_the_timeout() -> None:
    opening = find_evacuated_opening(10.0, 5.0, 14.9)
    assert (opening.is_open, opening.allows_copies) == (False, True)
    assert not find_evacuated_opening(10.0, 5.0, 15.0).allows_copies
