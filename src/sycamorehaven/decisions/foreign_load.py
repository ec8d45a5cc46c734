"""
Load of a backend server that other schedulers have admitted.

It is inferred from the server's load report: the part that exceeds the maximum
of the permits that were recently outstanding here, because the report may be
late. Slots are yielded to the foreign load, and taken back, by slow integral
control, which is stable in spite of the delay. A leak term evens out how many
slots each scheduler yields.
"""

from __future__ import annotations

from collections import deque

MAX_REPORT_LAG_SECONDS = 2.5
"""Maximum delay of a server's load report."""
YIELD_RATE_PER_SECOND = 0.25
"""Fraction of the excess load that is yielded per second."""
LEAK_RATE_PER_SECOND = 0.05
"""Fraction of the yielded slots that is taken back per second."""
MAX_STEP_SECONDS = 1.0
"""Maximum time that one report accounts for."""


class SlidingMaximum:
    """
    The maximum of a value over a sliding window.

    :param window_seconds: length of the window.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._values: deque[tuple[float, int]] = deque()

    def add(self, value: int, now: float) -> None:
        """Add the value that holds from ``now`` on."""
        since = now
        while self._values and self._values[-1][1] <= value:
            since, _ = self._values.pop()
        self._values.append((since, value))

    def get_maximum(self, now: float) -> int:
        """Return the maximum within the window, 0 if there is no value."""
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
        """Number of slots that are left to other schedulers."""
        return round(self._yielded_slots)

    def record_busy(self, busy: int, now: float) -> None:
        """Record the number of this scheduler's outstanding permits."""
        self._recent_busy.add(busy, now)

    def apply_load_report(self, running: int, limit: int, now: float) -> None:
        """
        Update the yielded slots from a load report.

        Foreign load that appears for the first time counts in full; later
        changes are followed slowly.

        :param running: requests that the server reports as running.
        :param limit: slot limit of the server.
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
        """
        Yield one slot less, as this scheduler now tracks a foreign permit.
        """
        self._yielded_slots = max(self._yielded_slots - 1.0, 0.0)

    def reset(self) -> None:
        """
        Discard the yielded slots, so that the next report counts in full.
        """
        self._yielded_slots = 0.0
