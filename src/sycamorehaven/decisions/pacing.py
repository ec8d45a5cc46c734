"""
Pacing of the requests that one router sends to one server.

A token bucket that starts empty, so that routers which learn of a limit at the
same time do not begin with a burst.
"""

from __future__ import annotations


class Pacer:
    """
    Allows requests at a rate that may change.

    :param now: current time, in monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._saved = 1.0
        self._tokens = 0.0
        self._updated_at = now

    def set_rate(self, rate: float, saved: float, now: float) -> None:
        """
        Set what is allowed from now on.

        :param rate: requests per second.
        :param saved: requests that may be sent at once after a time without
            any, at least one.
        """
        earned = self._rate * max(now - self._updated_at, 0.0)
        self._saved = max(saved, 1.0)
        self._tokens = min(self._tokens + earned, self._saved)
        self._rate, self._updated_at = rate, now

    def get_opening(self, now: float, ahead: int = 0) -> float:
        """
        Return when the next request may be sent, ``inf`` at a rate of 0.

        :param ahead: requests that are sent before it.
        """
        missing = 1.0 + ahead - self._tokens
        if missing <= 0.0:
            return now
        if not self._rate:
            return float("inf")
        return self._updated_at + missing / self._rate

    def take(self) -> None:
        """Count a request that is sent."""
        self._tokens -= 1.0

    def give_back(self) -> None:
        """Take back a request that did not reach the server."""
        self._tokens = min(self._tokens + 1.0, self._saved)
