"""Pauses of this process, written by the membership controller."""

from __future__ import annotations

from sycamorehaven.blackboard.signal import Signal


class PausesSection:
    """
    Gaps of the monotonic clock during which this process did not run.

    After a pause, readers must treat leases as expired and grant nothing
    until ``has_recovered`` is true again.
    """

    def __init__(self) -> None:
        self._count = 0
        self._longest_seconds = 0.0
        self._ended_at = 0.0
        self._has_recovered = True
        self._changed = Signal()

    @property
    def count(self) -> int:
        """Number of pauses since the start of the process."""
        return self._count

    @property
    def longest_seconds(self) -> float:
        """Length of the longest pause, in seconds."""
        return self._longest_seconds

    @property
    def ended_at(self) -> float:
        """When the last pause was detected, monotonic seconds; 0 for none."""
        return self._ended_at

    @property
    def has_recovered(self) -> bool:
        """Whether the view of the fleet was refreshed after the last pause."""
        return self._has_recovered

    @property
    def changed(self) -> Signal:
        """Notified when a pause is detected and after its recovery."""
        return self._changed

    def record_pause(self, now: float, seconds: float) -> None:
        """Record a pause that lasted ``seconds`` and ended at ``now``."""
        self._count += 1
        self._longest_seconds = max(self._longest_seconds, seconds)
        self._ended_at = now
        self._has_recovered = False
        self._changed.notify()

    def mark_recovered(self) -> None:
        """Record that the view of the fleet has been refreshed."""
        if self._has_recovered:
            return
        self._has_recovered = True
        self._changed.notify()
