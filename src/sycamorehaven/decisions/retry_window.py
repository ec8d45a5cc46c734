"""
Repeats that one router of a fleet may make in a sliding window.

The fleet may repeat a part of its fresh requests and a fixed number besides.
Each router repeats the part of its own requests and an even share of the
number, so that no message between routers is needed.
"""

from __future__ import annotations

from collections import deque

SAFETY_RATIO = 0.8
"""Part of the allowance that is used; routers count at different moments."""


class RetryWindow:
    """
    Repeats and fresh requests of one service.

    :param ratio: repeats for each fresh request.
    :param slack: further repeats of the whole fleet in a window.
    :param length: seconds of the window.
    """

    def __init__(self, ratio: float, slack: float, length_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._length_seconds = length_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a fresh request."""
        self._requests.append(now)

    def try_spend(self, router_count: int, now: float) -> bool:
        """
        Take one repeat; return whether there was one.

        :param routers: routers that share the slack.
        """
        self._discard_expired(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(router_count, 1)
        if len(self._retries) + 1 > allowed * SAFETY_RATIO:
            return False
        self._retries.append(now)
        return True

    def _discard_expired(self, now: float) -> None:
        for events in (self._requests, self._retries):
            while events and events[0] <= now - self._length_seconds:
                events.popleft()
