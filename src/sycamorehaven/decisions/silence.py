"""
Edges that leave grants unacknowledged and say nothing else either.

Until the membership has found a dead router, its demand would draw one grant
after the other, each of which holds a slot that nothing uses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorehaven.identity import RouterId

SILENT_REPEATS = 3
"""Repeats of a grant after which an edge that is not heard is silent."""
LOST_AFTER = 0.5
"""Seconds of silence after which an edge's permits are given up."""


class SilentEdges:
    """When each edge was heard, and since when the silent ones are so."""

    def __init__(self) -> None:
        self._heard_at: dict[RouterId, float] = {}
        self._silent_since: dict[RouterId, float] = {}

    def hear(self, edge: RouterId, now: float) -> None:
        """Note that a message of an edge has come."""
        self._heard_at[edge] = now
        self._silent_since.pop(edge, None)

    def judge(self, edge: RouterId, granted_at: float, now: float) -> bool:
        """
        Return whether an edge is silent from now on.

        :param granted_at: when the unacknowledged grant was first sent.
        """
        if edge in self._silent_since:
            return False
        if self._heard_at.get(edge, granted_at) > granted_at:
            return False
        self._silent_since[edge] = now
        return True

    def take_lost(self, now: float) -> list[RouterId]:
        """Return the edges whose permits are to be given up, once each."""
        lost = [
            edge
            for edge, since in self._silent_since.items()
            if now - since >= LOST_AFTER
        ]
        for edge in lost:
            del self._silent_since[edge]
        return lost

    def retain(self, hosts: set[str]) -> None:
        """Forget the edges on other hosts."""
        for known in (self._heard_at, self._silent_since):
            for edge in [edge for edge in known if edge.host not in hosts]:
                del known[edge]
