"""
Which backend servers to spare for a while.

Load pattern: a server answers its health check and fails, or has gone dark,
while others serve. Only what became of requests tells. A server that breaks
connections is left out for a time that doubles; one that answers with errors
is put behind the others in proportion to its errors.
"""

from __future__ import annotations

FIRST_PAUSE = 0.4
"""Seconds without requests after the first broken connection."""
LONGEST_PAUSE = 4.0
"""Seconds without requests, at most; then one request tries again."""
ERROR_WEIGHT = 0.15
"""Weight of the newest answer in the share of errors."""


class ServerHealth:
    """What became of the requests that one server got."""

    def __init__(self) -> None:
        self._breaks = 0
        self._paused_until = 0.0
        self._errors = 0.0

    @property
    def errors(self) -> float:
        """Recent share of answers that were errors, 0 to 1."""
        return self._errors

    @property
    def paused_until(self) -> float:
        """Until when the server is left out, monotonic seconds."""
        return self._paused_until

    def note_break(self, now: float) -> None:
        """Take in a broken, silent or refused connection."""
        if now < self._paused_until:
            return
        pause = min(FIRST_PAUSE * 2**self._breaks, LONGEST_PAUSE)
        self._breaks += 1
        self._paused_until = now + pause
        self._errors += (1.0 - self._errors) * ERROR_WEIGHT

    def note_full(self, now: float, pause: float) -> None:
        """Take in that the server takes no more for a moment."""
        self._paused_until = max(self._paused_until, now + pause)

    def note_answer(self, *, failed: bool) -> None:
        """Take in an answer."""
        self._breaks = 0
        self._errors += (float(failed) - self._errors) * ERROR_WEIGHT
