"""
Which backend servers to spare for a while.

Load pattern: a server answers its health check and fails, or has gone dark,
while others serve. Only what became of requests tells. A server that breaks
connections is left out for a time that doubles; one that answers with errors
is put behind the others in proportion to its errors.
"""

from __future__ import annotations

INITIAL_EJECTION_SECONDS = 0.4
"""Seconds without requests after the first broken connection."""
MAX_EJECTION_SECONDS = 4.0
"""Seconds without requests, at most; then one request tries again."""
ERROR_SMOOTHING_RATIO = 0.15
"""Weight of the newest answer in the share of errors."""


class ServerHealth:
    """What became of the requests that one server got."""

    def __init__(self) -> None:
        self._consecutive_failures = 0
        self._ejected_until = 0.0
        self._error_ratio = 0.0

    @property
    def error_ratio(self) -> float:
        """Recent share of answers that were errors, 0 to 1."""
        return self._error_ratio

    @property
    def ejected_until(self) -> float:
        """Until when the server is left out, monotonic seconds."""
        return self._ejected_until

    def record_connection_failure(self, now: float) -> None:
        """Take in a broken, silent or refused connection."""
        if now < self._ejected_until:
            return
        ejection_seconds = min(
            INITIAL_EJECTION_SECONDS * 2**self._consecutive_failures,
            MAX_EJECTION_SECONDS,
        )
        self._consecutive_failures += 1
        self._ejected_until = now + ejection_seconds
        self._error_ratio += (1.0 - self._error_ratio) * ERROR_SMOOTHING_RATIO

    def record_overload(self, now: float, pause_seconds: float) -> None:
        """Take in that the server takes no more for a moment."""
        self._ejected_until = max(self._ejected_until, now + pause_seconds)

    def record_answer(self, *, failed: bool) -> None:
        """Take in an answer."""
        self._consecutive_failures = 0
        self._error_ratio += (float(failed) - self._error_ratio) * ERROR_SMOOTHING_RATIO
