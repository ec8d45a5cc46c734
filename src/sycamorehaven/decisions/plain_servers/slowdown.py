"""
Expected time of a request at a plain server.

Servers are slow for parts of a second, on their own. They tell by how much in
their responses, so the report of a server is worth less the older it is. The
rest of the time depends on the route.
"""

from __future__ import annotations

from typing import NamedTuple

REPORT_LIFETIME_SECONDS = 0.6
"""Age from which a report says nothing; slowdowns last as long."""
SERVICE_TIME_SMOOTHING_RATIO = 0.1
"""Weight of the newest request in the average time of a route."""
MAX_UNSLOWED_FACTOR = 1.2
"""Factor up to which a request counts for the average time of its route."""


class SlowdownReport(NamedTuple):
    """
    How long work takes at a server, by its own report.

    :ivar factor: time relative to the usual one.
    :ivar reported_at: when the report arrived, in monotonic seconds.
    """

    factor: float = 1.0
    reported_at: float = 0.0

    def estimate_factor(self, now: float) -> float:
        """Return the expected time of work relative to the usual one."""
        age = max(now - self.reported_at, 0.0)
        weight = max(1.0 - age / REPORT_LIFETIME_SECONDS, 0.0)
        return 1.0 + (self.factor - 1.0) * weight


NO_SLOWDOWN = SlowdownReport()


class ServiceTimes:
    """Average time of a request of each route at servers that are not slow."""

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def get(self, route: str) -> float:
        """Return the average time in seconds, 0 if it is not known."""
        return self._averages.get(route, 0.0)

    def record(self, route: str, seconds: float, factor: float) -> None:
        """
        Record the time that a request took.

        :param factor: time of work at the server relative to the usual one.
        """
        if factor > MAX_UNSLOWED_FACTOR:
            return
        average = self._averages.setdefault(route, seconds)
        self._averages[route] = average + SERVICE_TIME_SMOOTHING_RATIO * (
            seconds - average
        )

    def retain(self, routes: set[str]) -> None:
        """Forget the routes that are no longer published."""
        self._averages = {
            route: average
            for route, average in self._averages.items()
            if route in routes
        }
