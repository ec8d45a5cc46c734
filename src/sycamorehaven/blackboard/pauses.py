"""Pauses of this process; written by the membership."""

from __future__ import annotations

from sycamorehaven.blackboard.signal import Signal


class PausesSection:
    """
    Gaps of the monotonic clock in which this process did not run.

    After one, leases are to be taken as expired and nothing is to be granted
    until ``recovered`` is true again.
    """

    def __init__(self) -> None:
        self._count = 0
        self._longest_seconds = 0.0
        self._ended_at = 0.0
        self._has_recovered = True
        self._changed = Signal()

    @property
    def count(self) -> int:
        """Pauses since the start of the process."""
        return self._count

    @property
    def longest_seconds(self) -> float:
        """Longest pause, seconds."""
        return self._longest_seconds

    @property
    def ended_at(self) -> float:
        """When the last pause was noticed, monotonic seconds, 0 for none."""
        return self._ended_at

    @property
    def has_recovered(self) -> bool:
        """Whether the view was refreshed since the last pause."""
        return self._has_recovered

    @property
    def changed(self) -> Signal:
        """Raised when a pause is noticed, and again when it is recovered."""
        return self._changed

    def record_pause(self, now: float, seconds: float) -> None:
        """Note a pause of ``seconds`` seconds that ended just now."""
        self._count += 1
        self._longest_seconds = max(self._longest_seconds, seconds)
        self._ended_at = now
        self._has_recovered = False
        self._changed.notify()

    def mark_recovered(self) -> None:
        """Note that the view has been refreshed."""
        if self._has_recovered:
            return
        self._has_recovered = True
        self._changed.notify()
