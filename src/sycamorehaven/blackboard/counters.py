"""Service given, fleet-wide; written by the counter controller."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.identity import RouterId


class CounterKey(NamedTuple):
    """
    What a total counts.

    :ivar scheduler: the router that granted the service.
    :ivar service: the service.
    :ivar workspace: the workspace.
    """

    scheduler: RouterId
    service: str
    workspace: str


class CountersSection:
    """
    Grow-only totals of service given, in the service's unit.

    Own totals are charged by the scheduler; others' are merged by maximum,
    so that repeats and reordering do no harm.
    """

    def __init__(self, own: RouterId) -> None:
        self._own = own
        self._totals: dict[CounterKey, float] = {}
        self._sums: dict[tuple[str, str], float] = {}

    @property
    def totals(self) -> dict[CounterKey, float]:
        """Every known total."""
        return self._totals

    def charge(self, service: str, workspace: str, cost: float) -> None:
        """Add service that this router's schedulers gave."""
        key = CounterKey(self._own, service, workspace)
        self.merge(key, self._totals.get(key, 0.0) + cost)

    def merge(self, key: CounterKey, total: float) -> None:
        """Raise a total to ``total``; a lower one is ignored."""
        gained = total - self._totals.get(key, 0.0)
        if gained <= 0.0:
            return
        self._totals[key] = total
        place = (key.service, key.workspace)
        self._sums[place] = self._sums.get(place, 0.0) + gained

    def sum_service(self, service: str, workspace: str) -> float:
        """Return the service a workspace has received fleet-wide."""
        return self._sums.get((service, workspace), 0.0)
