"""
Weighted fair sharing of one service by virtual time.

A workspace's virtual time is the service that it has received, divided by its
weight, plus an offset. The waiting workspace with the smallest virtual time is
served next.

When a workspace begins to wait after an idle period, its offset is raised
until its virtual time is at least the smallest of the waiting workspaces, or
that of the last grant if none waits. Idle time thus earns no credit. The
offset of a workspace that lags far behind is raised, too, so that it is not
favoured for long to make up for the lag.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

IDLE_AFTER_SECONDS = 0.5
"""Time without demand after which a workspace counts as idle."""


class FairShare:
    """
    Virtual times of the workspaces of one service.

    :param get_received: returns the service that a workspace has received,
        divided by its weight. The value may rise without notice; call
        ``reinsert`` after it has fallen.
    """

    def __init__(self, get_received: Callable[[str], float]) -> None:
        self._get_received = get_received
        self._offsets: dict[str, float] = {}
        self._waiting: set[str] = set()
        self._stopped_waiting_at: dict[str, float] = {}
        self._last_received: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._last_granted_time = 0.0

    @property
    def waiting(self) -> set[str]:
        """Workspaces with waiting requests."""
        return self._waiting

    def get_virtual_time(self, workspace: str) -> float:
        """Return the virtual time of a workspace, in units per weight."""
        return self._get_received(workspace) + self._offsets.get(workspace, 0.0)

    def start_waiting(self, workspace: str, now: float) -> None:
        """Add a waiting workspace; raise its virtual time if it was idle."""
        if workspace in self._waiting:
            return
        stopped_at = self._stopped_waiting_at.pop(workspace, None)
        if stopped_at is None or now - stopped_at > IDLE_AFTER_SECONDS:
            least = self.choose_next()
            floor = (
                self._last_granted_time
                if least is None
                else self.get_virtual_time(least)
            )
            self._raise_to(workspace, floor)
        self._waiting.add(workspace)
        self._last_received[workspace] = self._get_received(workspace)
        self.reinsert(workspace)

    def stop_waiting(self, workspace: str, now: float) -> None:
        """Remove a workspace that has no more waiting requests."""
        if workspace in self._waiting:
            self._waiting.discard(workspace)
            self._stopped_waiting_at[workspace] = now

    def reinsert(self, workspace: str) -> None:
        """Update the heap after a workspace's virtual time may have fallen."""
        if workspace in self._waiting:
            heapq.heappush(self._heap, (self.get_virtual_time(workspace), workspace))

    def choose_next(self) -> str | None:
        """Return the workspace to serve next, ``None`` if none waits."""
        heap = self._heap
        while heap:
            value, workspace = heap[0]
            if workspace not in self._waiting:
                heapq.heappop(heap)
                continue
            current = self.get_virtual_time(workspace)
            if current <= value:
                return workspace
            heapq.heapreplace(heap, (current, workspace))
        return None

    def record_grant(self, workspace: str) -> None:
        """
        Advance the virtual time of the last grant to that of a workspace.
        """
        self._last_granted_time = max(
            self._last_granted_time, self.get_virtual_time(workspace)
        )

    def rebuild(self, now: float, max_lag: float) -> None:
        """
        Recompute all virtual times and limit how far a workspace may lag.

        The service received falls when the counters of a dead scheduler are
        dropped. A fall larger than ``max_lag`` is compensated in the offset,
        because it must not count as credit either.

        :param max_lag: maximum lag behind the workspace with the largest
            virtual time, in units per weight.
        """
        for workspace in self._waiting:
            received = self._get_received(workspace)
            decrease = self._last_received[workspace] - received
            if decrease > max_lag:
                self._offsets[workspace] = self._offsets.get(workspace, 0.0) + decrease
            self._last_received[workspace] = received
        ahead = max(map(self.get_virtual_time, self._waiting), default=0.0)
        for workspace in self._waiting:
            self._raise_to(workspace, ahead - max_lag)
        self._heap = [(self.get_virtual_time(name), name) for name in self._waiting]
        heapq.heapify(self._heap)
        for workspace, stopped_at in list(self._stopped_waiting_at.items()):
            if now - stopped_at > IDLE_AFTER_SECONDS:
                del self._stopped_waiting_at[workspace]

    def _raise_to(self, workspace: str, floor: float) -> None:
        gap = floor - self.get_virtual_time(workspace)
        if gap > 0.0:
            self._offsets[workspace] = self._offsets.get(workspace, 0.0) + gap
