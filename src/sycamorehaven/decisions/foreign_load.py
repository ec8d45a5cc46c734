"""
What other schedulers have admitted to a backend server.

The server's own report shows it, late: whatever goes beyond the most that was
out from here lately. Slots are given up to it and taken back by a slow
integral of the excess, which is stable under the lag, with a leak that evens
out who has given up how much.
"""

from __future__ import annotations

from collections import deque

REPORT_LAG = 2.5
"""Seconds by which a server's report of its load may be late."""
YIELD_RATE = 0.25
"""Part of the excess of load that is given up in a second."""
LEAK_RATE = 0.05
"""Part of the slots given up that is taken back in a second."""
LONGEST_STEP = 1.0
"""Seconds that one report accounts for at most."""


class RecentPeak:
    """
    The largest value of the last seconds.

    :param span: seconds.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._values: deque[tuple[float, int]] = deque()

    def push(self, value: int, now: float) -> None:
        """Note the value from ``now`` on."""
        since = now
        while self._values and self._values[-1][1] <= value:
            since, _ = self._values.pop()
        self._values.append((since, value))

    def find(self, now: float) -> int:
        """Return the largest value within the span, 0 for none."""
        while len(self._values) > 1 and self._values[1][0] <= now - self._span:
            self._values.popleft()
        return self._values[0][1] if self._values else 0


class ForeignLoad:
    """Slots of one server that are left to other schedulers."""

    def __init__(self) -> None:
        self._peak = RecentPeak(REPORT_LAG)
        self._yielded = 0.0
        self._updated_at = 0.0

    @property
    def slots(self) -> int:
        """Slots that are left to others."""
        return round(self._yielded)

    def note_busy(self, busy: int, now: float) -> None:
        """Note how many permits are out from here."""
        self._peak.push(busy, now)

    def take_report(self, running: int, limit: int, now: float) -> None:
        """
        Take a report; what appears counts at once, its changes slowly.

        :param running: requests that the server reports.
        :param limit: requests that it may have at a time.
        """
        others = max(running - self._peak.find(now), 0)
        passed = min(now - self._updated_at, LONGEST_STEP)
        self._updated_at = now
        if self.slots == 0:
            self._yielded = float(min(others, limit))
            return
        change = YIELD_RATE * min(running - limit, others) - LEAK_RATE * self._yielded
        yielded = self._yielded + change * passed
        self._yielded = min(max(yielded, 0.0), float(limit))

    def adopt(self) -> None:
        """Note that a permit of another scheduler is known here now."""
        self._yielded = max(self._yielded - 1.0, 0.0)

    def forget(self) -> None:
        """Let the next report count at once."""
        self._yielded = 0.0
