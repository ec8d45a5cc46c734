"""A given clock: events in the order of their time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Calls functions at virtual times; the time stands still meanwhile."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def clock(self) -> float:
        """Return the virtual time, seconds."""
        return self.now

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Call ``action`` at a virtual time."""
        self._count += 1
        heapq.heappush(self._heap, (max(when, self.now), self._count, action))

    def call_after(self, delay: float, action: Callable[[], None]) -> None:
        """Call ``action`` after a delay, seconds."""
        self.call_at(self.now + delay, action)

    def call_every(self, period: float, action: Callable[[], None]) -> None:
        """Call ``action`` at a fixed period, for ever."""

        def run() -> None:
            action()
            self.call_after(period, run)

        self.call_after(period, run)

    def run_until(self, end: float) -> None:
        """Carry out every event up to a virtual time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end
