"""
Edges that leave grants unacknowledged and say nothing else either.

Until the membership has found a dead router, its demand would draw one grant
after the other, each of which holds a slot that nothing uses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorehaven.identity import RouterId

UNRESPONSIVE_AFTER_REPEATS = 3
"""Repeats of a grant after which an edge that is not heard is silent."""
LOST_AFTER_SECONDS = 0.5
"""Seconds of silence after which an edge's permits are given up."""


class UnresponsiveEdges:
    """When each edge was heard, and since when the silent ones are so."""

    def __init__(self) -> None:
        self._last_message_at: dict[RouterId, float] = {}
        self._unresponsive_since: dict[RouterId, float] = {}

    def record_message(self, edge: RouterId, now: float) -> None:
        """Note that a message of an edge has come."""
        self._last_message_at[edge] = now
        self._unresponsive_since.pop(edge, None)

    def mark_if_unresponsive(
        self, edge: RouterId, granted_at: float, now: float
    ) -> bool:
        """
        Return whether an edge is silent from now on.

        :param granted_at: when the unacknowledged grant was first sent.
        """
        if edge in self._unresponsive_since:
            return False
        if self._last_message_at.get(edge, granted_at) > granted_at:
            return False
        self._unresponsive_since[edge] = now
        return True

    def pop_lost(self, now: float) -> list[RouterId]:
        """Return the edges whose permits are to be given up, once each."""
        lost = [
            edge
            for edge, since in self._unresponsive_since.items()
            if now - since >= LOST_AFTER_SECONDS
        ]
        for edge in lost:
            del self._unresponsive_since[edge]
        return lost

    def retain_hosts(self, hosts: set[str]) -> None:
        """Forget the edges on other hosts."""
        for known in (self._last_message_at, self._unresponsive_since):
            for edge in [edge for edge in known if edge.host not in hosts]:
                del known[edge]
