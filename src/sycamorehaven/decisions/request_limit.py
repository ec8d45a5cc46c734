"""
Adaptive limit of the requests that one router has in progress.

A stream that a router accepts costs processor time until it ends, seconds
later. A router that accepts requests until it is late has accepted too many,
and all its streams are late from then on. So the limit is multiplied by a
factor below 1 as soon as the event loop is a little late. It grows while the
loop is on time and the limit is nearly reached.

A router may also be late because it rejects so much. Accepting less would not
help then, so the limit does not decrease while rejections take more time than
the requests in progress.
"""

from __future__ import annotations

LATE_LAG_SECONDS = 0.05
"""Lag of the event loop from which the limit decreases."""
DECREASE_FACTOR = 0.8
"""Factor applied to the limit at a measurement that is late."""
DECREASE_MEASUREMENTS = 2
"""Measurements from one decrease to the next, since the load falls only as
requests end."""
INITIAL_LIMIT_PER_CORE = 128.0
"""Requests in progress that are allowed for each core of the host before
anything was measured."""
MIN_LIMIT = 8.0
"""Requests in progress that are always allowed."""
GROWTH_RATIO = 0.05
"""Fraction by which the limit grows at each measurement, at least one
request."""
REJECTION_EVENTS = 4.0
"""Events of streams that can be relayed in the time of a rejection. A stream
has about one event between two measurements."""
NEARLY_REACHED_RATIO = 0.8
"""Fraction of the limit that must be in progress for it to grow."""


class RequestLimit:
    """
    The number of requests that a router may have in progress.

    :param cores: processor that the host has, in cores.
    """

    def __init__(self, cores: float = 1.0) -> None:
        self._limit = max(INITIAL_LIMIT_PER_CORE * cores, MIN_LIMIT)
        self._remaining_pause = 0

    @property
    def limit(self) -> float:
        """Number of requests that may be in progress."""
        return self._limit

    def observe(
        self, lag: float, requests_in_progress: int, rejections: int = 0
    ) -> None:
        """
        Adjust the limit to a measurement of the event loop.

        :param lag: how late the event loop is, in seconds.
        :param requests_in_progress: requests in progress at that time.
        :param rejections: requests rejected for lack of time since the last
            measurement.
        """
        self._remaining_pause = max(self._remaining_pause - 1, 0)
        if lag >= LATE_LAG_SECONDS:
            if requests_in_progress >= REJECTION_EVENTS * rejections:
                self._decrease()
        elif requests_in_progress >= NEARLY_REACHED_RATIO * self._limit:
            self._limit += max(GROWTH_RATIO * self._limit, 1.0)

    def _decrease(self) -> None:
        if self._remaining_pause:
            return
        self._remaining_pause = DECREASE_MEASUREMENTS
        self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT)
