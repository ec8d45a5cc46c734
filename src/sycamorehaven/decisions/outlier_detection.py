"""
Outlier detection: which backend servers to avoid for a while.

A server may pass its health check and yet fail requests or stop responding
while other servers work. Only the results of requests show this. A server that
breaks connections is ejected for a time that doubles with each failure. A
server that returns errors is ranked behind others in proportion to its errors.
"""

from __future__ import annotations

INITIAL_EJECTION_SECONDS = 0.4
"""Ejection time after the first connection failure."""
REFUSED_EJECTION_SECONDS = 2.0
"""Ejection time after a refused connection. The process has ended, and a new
one takes seconds; its entry ends the ejection."""
MAX_EJECTION_SECONDS = 4.0
"""Longest ejection time, after which one request tries the server again."""
ERROR_SMOOTHING_RATIO = 0.15
"""Weight of the newest result in the moving average of errors."""


class ServerHealth:
    """Recent results of the requests that were sent to one server."""

    def __init__(self) -> None:
        self._consecutive_failures = 0
        self._ejected_until = 0.0
        self._error_ratio = 0.0

    @property
    def error_ratio(self) -> float:
        """Moving average of the fraction of failed requests, 0 to 1."""
        return self._error_ratio

    @property
    def ejected_until(self) -> float:
        """When the ejection of the server ends, monotonic seconds."""
        return self._ejected_until

    def record_connection_failure(self, now: float) -> None:
        """Record a broken, unresponsive or refused connection."""
        if now < self._ejected_until:
            return
        ejection_seconds = min(
            INITIAL_EJECTION_SECONDS * 2**self._consecutive_failures,
            MAX_EJECTION_SECONDS,
        )
        self._consecutive_failures += 1
        self._ejected_until = now + ejection_seconds
        self._error_ratio += (1.0 - self._error_ratio) * ERROR_SMOOTHING_RATIO

    def record_refused_connection(self, now: float) -> None:
        """Record that no process listens at the server's address."""
        self.record_connection_failure(now)
        self._ejected_until = max(self._ejected_until, now + REFUSED_EJECTION_SECONDS)

    def record_overload(self, now: float, pause_seconds: float) -> None:
        """Eject an overloaded server for at least ``pause_seconds``."""
        self._ejected_until = max(self._ejected_until, now + pause_seconds)

    def record_answer(self, *, failed: bool) -> None:
        """Record an answer, which may be an error."""
        self._consecutive_failures = 0
        self._error_ratio += (float(failed) - self._error_ratio) * ERROR_SMOOTHING_RATIO
