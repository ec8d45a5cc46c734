"""
What other schedulers have admitted to a backend server.

The server's own report shows it, late: whatever goes beyond the most that was
out from here lately. Slots are given up to it and taken back by a slow
integral of the excess, which is stable under the lag, with a leak that evens
out who has given up how much.
"""

from __future__ import annotations

from collections import deque

MAX_REPORT_LAG_SECONDS = 2.5
"""Seconds by which a server's report of its load may be late."""
YIELD_RATE_PER_SECOND = 0.25
"""Part of the excess of load that is given up in a second."""
LEAK_RATE_PER_SECOND = 0.05
"""Part of the slots given up that is taken back in a second."""
MAX_STEP_SECONDS = 1.0
"""Seconds that one report accounts for at most."""


class SlidingMaximum:
    """
    The largest value of the last seconds.

    :param window_seconds: seconds.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._values: deque[tuple[float, int]] = deque()

    def add(self, value: int, now: float) -> None:
        """Note the value from ``now`` on."""
        since = now
        while self._values and self._values[-1][1] <= value:
            since, _ = self._values.pop()
        self._values.append((since, value))

    def get_maximum(self, now: float) -> int:
        """Return the largest value within the span, 0 for none."""
        while (
            len(self._values) > 1 and self._values[1][0] <= now - self._window_seconds
        ):
            self._values.popleft()
        return self._values[0][1] if self._values else 0


class ForeignLoad:
    """Slots of one server that are left to other schedulers."""

    def __init__(self) -> None:
        self._recent_busy = SlidingMaximum(MAX_REPORT_LAG_SECONDS)
        self._yielded_slots = 0.0
        self._updated_at = 0.0

    @property
    def slots(self) -> int:
        """Slots that are left to others."""
        return round(self._yielded_slots)

    def record_busy(self, busy: int, now: float) -> None:
        """Note how many permits are out from here."""
        self._recent_busy.add(busy, now)

    def apply_report(self, running: int, limit: int, now: float) -> None:
        """
        Take a report; what appears counts at once, its changes slowly.

        :param running: requests that the server reports.
        :param limit: requests that it may have at a time.
        """
        foreign = max(running - self._recent_busy.get_maximum(now), 0)
        elapsed = min(now - self._updated_at, MAX_STEP_SECONDS)
        self._updated_at = now
        if self.slots == 0:
            self._yielded_slots = float(min(foreign, limit))
            return
        change = (
            YIELD_RATE_PER_SECOND * min(running - limit, foreign)
            - LEAK_RATE_PER_SECOND * self._yielded_slots
        )
        yielded = self._yielded_slots + change * elapsed
        self._yielded_slots = min(max(yielded, 0.0), float(limit))

    def record_adoption(self) -> None:
        """Note that a permit of another scheduler is known here now."""
        self._yielded_slots = max(self._yielded_slots - 1.0, 0.0)

    def reset(self) -> None:
        """Let the next report count at once."""
        self._yielded_slots = 0.0
