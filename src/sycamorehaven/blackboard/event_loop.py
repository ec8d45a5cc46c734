"""
How late this process is in handling what has arrived.

Written by the event loop monitor.
"""

from __future__ import annotations

import math


class EventLoopSection:
    """The lag of the event loop, and how much work that allows."""

    def __init__(self) -> None:
        self._lag = 0.0
        self._request_limit = math.inf

    @property
    def lag(self) -> float:
        """Lag of the event loop when it was last measured, in seconds."""
        return self._lag

    @property
    def request_limit(self) -> float:
        """Number of requests that may be in progress."""
        return self._request_limit

    def update(self, lag: float, request_limit: float) -> None:
        """
        Replace what is known.

        :param lag: lag of the event loop in seconds.
        :param request_limit: number of requests that may be in progress.
        """
        self._lag = lag
        self._request_limit = request_limit
