"""
Estimates how long a client has been waiting since its first attempt.

A rejected client tries again with a shorter timeout, while its response is on
time only within the target measured from the first attempt. A request that
would be late in any case can yield to others that can still be served on time.

Clients set different timeouts in their first attempts. Only a timeout that is
much shorter than the longest one seen on the route tells that time has passed,
so the estimate is a lower bound.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorehaven.routing.requests import RoutedRequest

MAX_SPREAD_RATIO = 0.2
"""Difference between the timeouts of first attempts, as a fraction of the
longest."""
MAX_ROUTES = 4_096
"""Number of routes that are remembered."""


class ClientTimeouts:
    """The longest client timeout seen on each route."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def record(self, request: RoutedRequest) -> None:
        """Record the timeout of a request."""
        timeout = request.head.client_timeout
        if timeout is None:
            return
        name = request.route.name
        if len(self._longest) >= MAX_ROUTES and name not in self._longest:
            self._longest.clear()
        self._longest[name] = max(self._longest.get(name, 0.0), timeout)

    def estimate_elapsed(self, request: RoutedRequest) -> float:
        """
        Return the least time for which the client waited in earlier attempts.

        :returns: time in seconds.
        """
        timeout = request.head.client_timeout
        if timeout is None:
            return 0.0
        longest = self._longest.get(request.route.name, 0.0)
        return max(longest * (1.0 - MAX_SPREAD_RATIO) - timeout, 0.0)
