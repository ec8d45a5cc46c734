"""
Weighted fair sharing of one service by virtual time.

A workspace's virtual time is the service it has received per weight. The
backlogged workspace with the least is served next. One that becomes
backlogged is lifted to the least of those that are, so idleness earns no
credit (as in virtual token counters).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class FairShare:
    """Virtual times of the workspaces of one service."""

    def __init__(self) -> None:
        self._lifts: dict[str, float] = {}
        self._backlogged: set[str] = set()

    def update_backlog(
        self, backlogged: Iterable[str], received: Mapping[str, float]
    ) -> None:
        """
        Note who is backlogged and lift those who have become so.

        :param received: weighted service received by each of them.
        """
        now = set(backlogged)
        staying = now & self._backlogged
        floor = min(
            (self.measure(name, received[name]) for name in staying), default=None
        )
        for name in now - self._backlogged:
            if floor is not None:
                gap = floor - self.measure(name, received[name])
                self._lifts[name] = self._lifts.get(name, 0.0) + max(gap, 0.0)
        self._backlogged = now

    def measure(self, workspace: str, received: float) -> float:
        """Return the virtual time of a workspace, in units per weight."""
        return received + self._lifts.get(workspace, 0.0)

    def choose(self, received: Mapping[str, float]) -> str | None:
        """Return the workspace to serve next, or ``None`` without any."""
        return min(
            received,
            key=lambda name: (self.measure(name, received[name]), name),
            default=None,
        )
