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
        self._longest = 0.0
        self._ended_at = 0.0
        self._recovered = True
        self._changed = Signal()

    @property
    def count(self) -> int:
        """Pauses since the start of the process."""
        return self._count

    @property
    def longest(self) -> float:
        """Longest pause, seconds."""
        return self._longest

    @property
    def ended_at(self) -> float:
        """When the last pause was noticed, monotonic seconds, 0 for none."""
        return self._ended_at

    @property
    def recovered(self) -> bool:
        """Whether the view was refreshed since the last pause."""
        return self._recovered

    @property
    def changed(self) -> Signal:
        """Raised when a pause is noticed, and again when it is recovered."""
        return self._changed

    def record(self, now: float, length: float) -> None:
        """Note a pause of ``length`` seconds that ended just now."""
        self._count += 1
        self._longest = max(self._longest, length)
        self._ended_at = now
        self._recovered = False
        self._changed.notify()

    def recover(self) -> None:
        """Note that the view has been refreshed."""
        if self._recovered:
            return
        self._recovered = True
        self._changed.notify()
