"""
Average number of requests at a plain server.

Load: requests of 15 to 90 ms and news that are 0.2 to 0.6 s old. A count says
little of the requests at a server now, and all routers that choose by it
choose the same server. The average of the counts tells how much work there is.
"""

from __future__ import annotations

import math

AVERAGING_SECONDS = 1.0
"""Time constant of the average; news bring several counts in this time."""


class LoadAverage:
    """
    Moving average of the counted requests of one server.

    :param requests: first count.
    :param slots: number of requests that the server runs at a time.
    :param now: current time, in monotonic seconds.
    """

    def __init__(self, requests: int, slots: int, now: float) -> None:
        self._requests = float(requests)
        self._busy_slots = float(min(requests, slots))
        self._updated_at = now

    @property
    def requests(self) -> float:
        """The average number of requests."""
        return self._requests

    @property
    def busy_slots(self) -> float:
        """The average number of slots in use."""
        return self._busy_slots

    def update(self, requests: int, slots: int, now: float) -> None:
        """
        Add a count.

        :param requests: counted requests of all routers.
        :param slots: number of requests that the server runs at a time.
        """
        elapsed = max(now - self._updated_at, 0.0)
        weight = 1.0 - math.exp(-elapsed / AVERAGING_SECONDS)
        self._requests += (requests - self._requests) * weight
        self._busy_slots += (min(requests, slots) - self._busy_slots) * weight
        self._updated_at = now
