"""
Retries that one router of a fleet may make within a sliding window.

The fleet may retry a fraction of its new requests and, in addition, a fixed
number of requests per window. Each router applies the fraction to its own
requests and takes an equal share of the fixed number, so that the routers need
no messages between them.
"""

from __future__ import annotations

from collections import deque

SAFETY_RATIO = 0.8
"""Fraction of the allowance that is used, as routers count at different
times."""


class RetryWindow:
    """
    Requests and retries of one service within the window.

    :param ratio: retries allowed for each new request.
    :param slack: additional retries of the whole fleet per window.
    :param length_seconds: length of the window.
    """

    def __init__(self, ratio: float, slack: float, length_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._length_seconds = length_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record a new request, which is not a retry."""
        self._requests.append(now)

    def try_spend(self, router_count: int, now: float) -> bool:
        """
        Spend one retry if the window allows it; return whether it did.

        :param router_count: number of routers that share the slack.
        :param now: monotonic seconds.
        """
        self._discard_expired(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(router_count, 1)
        if len(self._retries) + 1 > allowed * SAFETY_RATIO:
            return False
        self._retries.append(now)
        return True

    def _discard_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._length_seconds:
                times.popleft()
