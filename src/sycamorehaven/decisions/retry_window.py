"""
Repeats that one router of a fleet may make in a sliding window.

The fleet may repeat a part of its fresh requests and a fixed number besides.
Each router repeats the part of its own requests and an even share of the
number, so that no message between routers is needed.
"""

from __future__ import annotations

from collections import deque

SAFETY = 0.8
"""Part of the allowance that is used; routers count at different moments."""


class RetryWindow:
    """
    Repeats and fresh requests of one service.

    :param ratio: repeats for each fresh request.
    :param slack: further repeats of the whole fleet in a window.
    :param length: seconds of the window.
    """

    def __init__(self, ratio: float, slack: float, length: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._length = length
        self._fresh: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def add_fresh(self, now: float) -> None:
        """Count a fresh request."""
        self._fresh.append(now)

    def take(self, routers: int, now: float) -> bool:
        """
        Take one repeat; return whether there was one.

        :param routers: routers that share the slack.
        """
        self._slide(now)
        allowed = self._ratio * len(self._fresh) + self._slack / max(routers, 1)
        if len(self._repeats) + 1 > allowed * SAFETY:
            return False
        self._repeats.append(now)
        return True

    def _slide(self, now: float) -> None:
        for events in (self._fresh, self._repeats):
            while events and events[0] <= now - self._length:
                events.popleft()
