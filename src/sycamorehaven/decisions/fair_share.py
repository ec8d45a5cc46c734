"""
Weighted fair sharing of one service by virtual time.

A workspace's virtual time is the service it has received per weight, plus a
lift. The waiting workspace with the least is served next. One that begins to
wait is lifted to the least of those that do, or to the virtual time of the
last grant if none does, so idleness earns no credit. Those that lag far
behind are lifted, too, so no debt is paid back for long.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

LINGER = 0.5
"""Seconds without demand after which a workspace counts as idle."""


class FairShare:
    """
    Virtual times of the workspaces of one service.

    :param receive: returns the service that a workspace has received, per
        weight. It may rise unannounced; a fall is told by ``touch``.
    """

    def __init__(self, receive: Callable[[str], float]) -> None:
        self._receive = receive
        self._lifts: dict[str, float] = {}
        self._waiting: set[str] = set()
        self._left_at: dict[str, float] = {}
        self._seen: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._last_granted = 0.0

    @property
    def waiting(self) -> set[str]:
        """Workspaces that wait."""
        return self._waiting

    def measure(self, workspace: str) -> float:
        """Return the virtual time of a workspace, in units per weight."""
        return self._receive(workspace) + self._lifts.get(workspace, 0.0)

    def enter(self, workspace: str, now: float) -> None:
        """Note that a workspace waits; lift it if it was idle."""
        if workspace in self._waiting:
            return
        left_at = self._left_at.pop(workspace, None)
        if left_at is None or now - left_at > LINGER:
            least = self.choose()
            floor = self._last_granted if least is None else self.measure(least)
            self._lift(workspace, floor)
        self._waiting.add(workspace)
        self._seen[workspace] = self._receive(workspace)
        self.touch(workspace)

    def leave(self, workspace: str, now: float) -> None:
        """Note that a workspace waits no longer."""
        if workspace in self._waiting:
            self._waiting.discard(workspace)
            self._left_at[workspace] = now

    def touch(self, workspace: str) -> None:
        """Note that a workspace's virtual time may have fallen."""
        if workspace in self._waiting:
            heapq.heappush(self._heap, (self.measure(workspace), workspace))

    def choose(self) -> str | None:
        """Return the workspace to serve next, or ``None`` without any."""
        heap = self._heap
        while heap:
            value, workspace = heap[0]
            if workspace not in self._waiting:
                heapq.heappop(heap)
                continue
            current = self.measure(workspace)
            if current <= value:
                return workspace
            heapq.heapreplace(heap, (current, workspace))
        return None

    def note_grant(self, workspace: str) -> None:
        """Advance the virtual time of the service to that of a grant."""
        self._last_granted = max(self._last_granted, self.measure(workspace))

    def rebuild(self, now: float, lag_limit: float) -> None:
        """
        Measure all who wait afresh and lift those who lag too far.

        A total that fell because counters of a dead scheduler were dropped
        is no credit either.

        :param lag_limit: the most that anyone may lag the one furthest
            ahead, in units per weight.
        """
        for workspace in self._waiting:
            received = self._receive(workspace)
            lost = self._seen[workspace] - received
            if lost > lag_limit:
                self._lifts[workspace] = self._lifts.get(workspace, 0.0) + lost
            self._seen[workspace] = received
        ahead = max(map(self.measure, self._waiting), default=0.0)
        for workspace in self._waiting:
            self._lift(workspace, ahead - lag_limit)
        self._heap = [(self.measure(name), name) for name in self._waiting]
        heapq.heapify(self._heap)
        for workspace, left_at in list(self._left_at.items()):
            if now - left_at > LINGER:
                del self._left_at[workspace]

    def _lift(self, workspace: str, floor: float) -> None:
        gap = floor - self.measure(workspace)
        if gap > 0.0:
            self._lifts[workspace] = self._lifts.get(workspace, 0.0) + gap
