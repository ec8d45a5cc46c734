"""
Detects edges that neither acknowledge grants nor send other messages.

It takes the membership protocol a while to detect a dead router. Until then,
the router's demand would attract one grant after another, each of which holds
a slot that nobody uses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorehaven.identity import RouterId

UNRESPONSIVE_AFTER_REPEATS = 3
"""Repetitions of a grant after which an edge that has sent nothing since is
considered unresponsive."""
LOST_AFTER_SECONDS = 0.5
"""Time without a message after which an unresponsive edge's permits are given
up."""


class UnresponsiveEdges:
    """Last message of each edge, and the edges that are unresponsive."""

    def __init__(self) -> None:
        self._last_message_at: dict[RouterId, float] = {}
        self._unresponsive_since: dict[RouterId, float] = {}

    def record_message(self, edge: RouterId, now: float) -> None:
        """Record that a message has been received from an edge."""
        self._last_message_at[edge] = now
        self._unresponsive_since.pop(edge, None)

    def mark_if_unresponsive(
        self, edge: RouterId, granted_at: float, now: float
    ) -> bool:
        """
        Mark an edge that has sent nothing since an unacknowledged grant.

        :param granted_at: time at which the grant was first sent, in monotonic
            seconds.
        :returns: whether the edge has become unresponsive now.
        """
        if edge in self._unresponsive_since:
            return False
        if self._last_message_at.get(edge, granted_at) > granted_at:
            return False
        self._unresponsive_since[edge] = now
        return True

    def pop_lost(self, now: float) -> list[RouterId]:
        """Return and forget the edges whose permits are to be given up."""
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
