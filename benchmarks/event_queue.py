"""A virtual clock that runs scheduled events in order of time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Calls functions at virtual times; time stands still during a call."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def clock(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Call ``action`` at a virtual time."""
        self._count += 1
        heapq.heappush(self._heap, (max(when, self.now), self._count, action))

    def call_after(self, delay: float, action: Callable[[], None]) -> None:
        """Call ``action`` after a delay in seconds."""
        self.call_at(self.now + delay, action)

    def call_every(self, period: float, action: Callable[[], None]) -> None:
        """Call ``action`` forever, at a fixed period in seconds."""

        def run() -> None:
            action()
            self.call_after(period, run)

        self.call_after(period, run)

    def run_until(self, end: float) -> None:
        """Run every event that is due up to a virtual time."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end
