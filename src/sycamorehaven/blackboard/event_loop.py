"""
How late this process is in handling what has arrived.

Written by the event loop monitor; the listener counts its rejections, and the
dispatcher tells its delay.
"""

from __future__ import annotations

import math


class EventLoopSection:
    """The lag of the event loop, and how much work that allows."""

    def __init__(self) -> None:
        self._lag = 0.0
        self._utilization = 0.0
        self._dispatches_at = 0.0
        self._request_limit = math.inf
        self._rejections = 0

    @property
    def lag(self) -> float:
        """Lag of the event loop when it was last measured, in seconds."""
        return self._lag

    @property
    def utilization(self) -> float:
        """Fraction of the last moments in which the loop had work to do."""
        return self._utilization

    @property
    def request_limit(self) -> float:
        """Number of requests that may be in progress."""
        return self._request_limit

    def count_rejection(self) -> None:
        """Count a request that is rejected for lack of time."""
        self._rejections += 1

    def take_rejections(self) -> int:
        """Return the number of rejections since the last call."""
        rejections, self._rejections = self._rejections, 0
        return rejections

    def get_dispatch_delay(self, now: float) -> float:
        """
        Return the seconds until the dispatcher looks at an arriving request.

        :param now: monotonic seconds.
        """
        return max(self._dispatches_at - now, 0.0)

    def update_dispatch(self, dispatches_at: float) -> None:
        """
        Replace the time at which the dispatcher looks at an arriving request.

        :param dispatches_at: monotonic seconds; a time that has passed if the
            dispatcher is not behind.
        """
        self._dispatches_at = dispatches_at

    def update_utilization(self, utilization: float) -> None:
        """Replace the fraction of the time in which there was work to do."""
        self._utilization = utilization

    def update(self, lag: float, request_limit: float) -> None:
        """
        Replace what is known.

        :param lag: lag of the event loop in seconds.
        :param request_limit: number of requests that may be in progress.
        """
        self._lag = lag
        self._request_limit = request_limit
