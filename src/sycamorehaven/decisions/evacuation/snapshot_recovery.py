"""
Whether a router may act on what it knows after its process stood still.

A failure domain may have been evacuated in the meantime, and requests that
arrived then are read first. Nothing is sent until a snapshot has been read
that the store gave after the pause.
"""

from __future__ import annotations

import math

RECOVERY_SECONDS = 1.0
"""Longest time for which nothing is sent after a pause. If the store doesn't
answer, peers pass on a newer snapshot within this time."""


class SnapshotRecovery:
    """
    Detects pauses by the beats of the loop that reads snapshots.

    :param max_gap: longest time between two beats that is no pause, in
        seconds; infinite if pauses don't matter.
    """

    def __init__(self, max_gap: float = math.inf) -> None:
        self._max_gap = max_gap
        self._beat_at = math.inf
        self._ends_at = -math.inf
        self._resumed_at = -math.inf

    def beat(self, now: float) -> float:
        """
        Record that the process runs.

        :param now: monotonic seconds.
        :returns: length of the pause that has just ended, 0 for none.
        """
        gap = max(now - self._beat_at, 0.0)
        self._beat_at = now
        if gap <= self._max_gap:
            return 0.0
        self._resumed_at, self._ends_at = now, now + RECOVERY_SECONDS
        return gap

    def record_read(self, started_at: float) -> None:
        """
        Record that a snapshot was read from the store.

        :param started_at: when the read began, in monotonic seconds.
        """
        if started_at >= self._resumed_at:
            self._ends_at = -math.inf

    def is_pending(self, now: float) -> bool:
        """
        Return whether nothing may be sent yet.

        The first requests after a pause are read before the next beat.

        :param now: monotonic seconds.
        """
        return now < self._ends_at or now - self._beat_at > self._max_gap

    def stop(self) -> None:
        """Expect no further beats."""
        self._beat_at = math.inf
