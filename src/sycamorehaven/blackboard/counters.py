"""Service given, fleet-wide; written by the counter controller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


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
    so that repeats and reordering do no harm. What a scheduler had given
    before this router was told of it is kept apart: it is part of the totals
    shown, yet no service that anyone received since. The totals of one that
    is gone are folded: they leave memory, and the sums stay as they are.
    """

    def __init__(self, own: RouterId) -> None:
        self._own = own
        self._totals: dict[RouterId, dict[tuple[str, str], float]] = {own: {}}
        self._sums: dict[tuple[str, str], float] = {}
        self._baselines: dict[tuple[str, str], float] = {}
        self._folded: dict[str, int] = {}
        self._reserved: dict[RouterId, dict[tuple[str, str], float]] = {own: {}}

    @property
    def totals(self) -> dict[CounterKey, float]:
        """Every known total."""
        return {
            CounterKey(scheduler, *pair): total
            for scheduler, totals in self._totals.items()
            for pair, total in totals.items()
        }

    @property
    def own_totals(self) -> Mapping[tuple[str, str], float]:
        """This router's totals, by service and workspace."""
        return self._totals[self._own]

    @property
    def own_reserved(self) -> Mapping[tuple[str, str], float]:
        """What this router's schedulers reserved, by service and workspace."""
        return self._reserved[self._own]

    @property
    def schedulers(self) -> Collection[RouterId]:
        """Schedulers whose totals are in memory."""
        return self._totals.keys()

    @property
    def folded(self) -> Mapping[str, int]:
        """Oldest incarnation whose totals still count, by host."""
        return self._folded

    def get_total(self, key: CounterKey) -> float:
        """Return a total, 0 if nothing is known."""
        totals = self._totals.get(key.scheduler, {})
        return totals.get((key.service, key.workspace), 0.0)

    def charge(self, service: str, workspace: str, cost: float) -> None:
        """Add service that this router's schedulers gave."""
        total = self.own_totals.get((service, workspace), 0.0)
        self._increase_total(self._own, (service, workspace), total + cost)

    def merge_total(self, key: CounterKey, total: float, baseline: float = 0.0) -> None:
        """
        Raise a total to ``total``; a lower one is ignored.

        The first total heard of a scheduler that was folded counts as folded
        already; what it gives from then on is added.

        :param baseline: the part given before this router was told of it.
        """
        folded = self._folded.get(key.scheduler.host, -1)
        if key.scheduler.incarnation < folded:
            return
        pair = key.service, key.workspace
        totals = self._totals.setdefault(key.scheduler, {})
        if pair not in totals:
            has_returned = key.scheduler.incarnation == folded
            totals[pair] = total if has_returned else baseline
            if baseline and not has_returned:
                self._baselines[pair] = self._baselines.get(pair, 0.0) + baseline
        self._increase_total(key.scheduler, pair, total)

    def set_own_reserved(self, service: str, workspace: str, amount: float) -> None:
        """Note what this router's schedulers have reserved for a workspace."""
        self._reserved[self._own][service, workspace] = amount

    def set_peer_reserved(self, key: CounterKey, amount: float) -> None:
        """Note what another scheduler has reserved for a workspace."""
        if key.scheduler != self._own:
            amounts = self._reserved.setdefault(key.scheduler, {})
            amounts[key.service, key.workspace] = amount

    def retain_reserved(self, live_schedulers: Collection[RouterId]) -> None:
        """Forget what schedulers have reserved that are gone."""
        for scheduler in self._reserved.keys() - {self._own, *live_schedulers}:
            del self._reserved[scheduler]

    def sum_reserved(self, service: str, workspace: str) -> float:
        """Return what other schedulers have reserved for a workspace."""
        pair = service, workspace
        return sum(
            amounts.get(pair, 0.0)
            for scheduler, amounts in self._reserved.items()
            if scheduler != self._own
        )

    def fold(self, scheduler: RouterId, *, may_return: bool) -> None:
        """
        Forget the totals of a scheduler that is gone; keep the sums.

        :param may_return: whether it may be heard again, after a network
            partition, and what it gives from then on counts.
        """
        if scheduler == self._own:
            return
        if self._totals.pop(scheduler, None) is not None:
            oldest = scheduler.incarnation + (0 if may_return else 1)
            self._folded[scheduler.host] = max(
                self._folded.get(scheduler.host, 0), oldest
            )

    def forget_folded(self, host: str) -> None:
        """Forget that incarnations of a host were folded."""
        self._folded.pop(host, None)

    def retain(self, services: Collection[str], workspaces: Collection[str]) -> None:
        """Forget what the configuration names no longer, but own totals."""
        for scheduler, totals in self._totals.items():
            if scheduler == self._own:
                continue
            for service, workspace in list(totals):
                if service not in services or workspace not in workspaces:
                    del totals[service, workspace]
        for sums in (self._sums, self._baselines):
            for service, workspace in list(sums):
                if service not in services or workspace not in workspaces:
                    del sums[service, workspace]

    def sum_totals(self, service: str, workspace: str) -> float:
        """Return all service to a workspace that is known of."""
        pair = service, workspace
        return self._sums.get(pair, 0.0) + self._baselines.get(pair, 0.0)

    def sum_service(self, service: str, workspace: str) -> float:
        """
        Return the service a workspace has received fleet-wide.

        It counts from when this router began to be told, and is meant to be
        compared between workspaces.
        """
        return self._sums.get((service, workspace), 0.0)

    def _increase_total(
        self, scheduler: RouterId, pair: tuple[str, str], total: float
    ) -> None:
        totals = self._totals[scheduler]
        gained = total - totals.get(pair, 0.0)
        if gained > 0.0:
            totals[pair] = total
            self._sums[pair] = self._sums.get(pair, 0.0) + gained
