"""
How long a client has waited before the request that came.

Load pattern: refused clients come back. They tell how long they still wait,
which is less than at their first try, while their answer is on time only if it
comes soon after that. One that is late in any case yields to those that are
not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorehaven.routing.requests import RoutedRequest

MAX_ROUTES = 4_096
"""Routes that are remembered."""


class ClientTimeouts:
    """The longest time that clients of each route were ready to wait."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def record(self, request: RoutedRequest) -> None:
        """Take in how long a client waits."""
        timeout = request.head.patience
        if timeout is None:
            return
        name = request.route.name
        if len(self._longest) >= MAX_ROUTES and name not in self._longest:
            self._longest.clear()
        self._longest[name] = max(self._longest.get(name, 0.0), timeout)

    def estimate_elapsed(self, request: RoutedRequest) -> float:
        """Return the seconds that the client has waited before."""
        patience = request.head.patience
        if patience is None:
            return 0.0
        return max(self._longest.get(request.route.name, 0.0) - patience, 0.0)
