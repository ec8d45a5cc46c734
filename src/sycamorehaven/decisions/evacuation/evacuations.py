"""
The failure domains that operators have evacuated.

The store lists its content on several pages, reads overlap, and peers pass
their snapshots on in any order. A page may show an item or its deletion that
an otherwise newer snapshot lacks. Each item has the revision of its last
change, which tells whether a snapshot that lacks it was read before the item
was written or after it was deleted.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorehaven.decisions.server_directory import RECOVERY_GRACE_SECONDS
from sycamorehaven.routing.model import Evacuation

if TYPE_CHECKING:
    from sycamorehaven.routing.model import Snapshot


class Evacuations:
    """
    The evacuations in force, merged from snapshots in any order.

    After the store was restored from an older copy, evacuations that were in
    force before stay so for ``RECOVERY_GRACE_SECONDS``. Operators have that
    time to write them again.
    """

    def __init__(self) -> None:
        self._position: tuple[int, int] | None = None
        self._revisions: dict[str, int] = {}
        self._held_until: dict[str, float] = {}
        self._ordered_after: dict[str, float] = {}
        self._merged_at = -math.inf
        self._domains: frozenset[str] = frozenset()

    @property
    def domains(self) -> frozenset[str]:
        """The failure domains to whose servers nothing may be sent."""
        return self._domains

    def get_ordered_after(self, domain: str) -> float | None:
        """
        Return a time after which the evacuation of a domain was ordered.

        It is that of the last snapshot without the order. A router that has
        just started, or stood still, can't know how old the order is.

        :returns: monotonic seconds, minus infinity if no snapshot was without
            the order; ``None`` if the domain isn't evacuated.
        """
        return self._ordered_after.get(domain)

    def merge(self, snapshot: Snapshot, now: float) -> None:
        """
        Merge what a snapshot says, which may be older than what is known.

        :param now: when the newest snapshot was read, in monotonic seconds.
        """
        if self._position is not None:
            if snapshot.operator_position[0] < self._position[0]:
                return
            if snapshot.operator_position[0] > self._position[0]:
                self._hold(now)
        self._merge_items(snapshot)
        self._held_until = {
            domain: until
            for domain, until in self._held_until.items()
            if now < until and domain not in self._revisions
        }
        self._ordered_after = {
            domain: self._ordered_after.get(domain, self._merged_at)
            for domain in sorted({*self._revisions, *self._held_until})
        }
        self._domains = frozenset(self._ordered_after)
        self._merged_at = max(now, self._merged_at)

    def update_snapshot(self, snapshot: Snapshot) -> Snapshot:
        """
        Return a snapshot with the evacuations that are known.

        :param snapshot: a snapshot of the newest era that was merged.
        """
        assert self._position is not None
        return snapshot._replace(
            operator_revision=self._position[1],
            evacuations=tuple(
                Evacuation(domain, revision)
                for domain, revision in sorted(self._revisions.items())
            ),
        )

    def _hold(self, now: float) -> None:
        """Begin an era, whose revisions don't continue those before."""
        until = now + RECOVERY_GRACE_SECONDS
        self._held_until = dict.fromkeys(self._ordered_after, until)
        self._revisions, self._position = {}, None

    def _merge_items(self, snapshot: Snapshot) -> None:
        position = snapshot.operator_position
        known_position = self._position or (position[0], -1)
        listed = {item.domain: item.revision for item in snapshot.evacuations}
        kept = {
            domain: revision
            for domain, revision in self._revisions.items()
            if domain in listed or revision > position[1]
        }
        for domain, revision in listed.items():
            if domain in kept:
                kept[domain] = max(kept[domain], revision)
            elif revision > known_position[1]:
                kept[domain] = revision
        self._revisions = kept
        self._position = max(position, known_position)
