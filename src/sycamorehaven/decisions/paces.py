"""
How fast backend servers serve, to foresee the cost of what runs.

The true cost of a request is known only when it ends. One that runs longer
than its estimate lasts costs more, so its reservation grows with time.
"""

from __future__ import annotations

WEIGHT = 0.1
"""Part of a pace that one run moves."""


class ServerPaces:
    """Units of cost per second of one slot, by backend server."""

    def __init__(self) -> None:
        self._paces: dict[str, float] = {}

    def learn(self, server: str, cost: float, seconds: float) -> None:
        """Take a run that has ended."""
        if seconds <= 0.0:
            return
        pace = cost / seconds
        known = self._paces.get(server, pace)
        self._paces[server] = known + WEIGHT * (pace - known)

    def foresee(self, server: str, seconds: float) -> float:
        """Return what a request has cost that has run so long, in units."""
        return self._paces.get(server, 0.0) * max(seconds, 0.0)
