"""
Totals of the service received by workspaces, fleet-wide.

Written by the counter controller and the controller that schedules servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


class CounterKey(NamedTuple):
    """
    Identifies one total.

    :ivar scheduler: router that granted the permits.
    :ivar service: name of the service.
    :ivar workspace: name of the workspace that received the service.
    """

    scheduler: RouterId
    service: str
    workspace: str


class CountersSection:
    """
    Grow-only totals of the service received, in the unit of the service.

    This router's schedulers charge its own totals. Totals of other routers
    are merged by taking the maximum, so repeated and reordered updates do no
    harm. The amount that a scheduler had granted before this router first
    received its total is kept separately as a baseline: it is part of the
    displayed totals but not of the service that workspaces are compared by.
    The totals of a scheduler that is gone are folded: they are removed from
    memory, while the sums over all schedulers do not change.
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
        """All known totals."""
        return {
            CounterKey(scheduler, *pair): total
            for scheduler, totals in self._totals.items()
            for pair, total in totals.items()
        }

    @property
    def own_totals(self) -> Mapping[tuple[str, str], float]:
        """Totals of this router, by service and workspace."""
        return self._totals[self._own]

    @property
    def own_reserved(self) -> Mapping[tuple[str, str], float]:
        """Amounts that this router reserved, by service and workspace."""
        return self._reserved[self._own]

    @property
    def schedulers(self) -> Collection[RouterId]:
        """Schedulers whose totals are kept in memory."""
        return self._totals.keys()

    @property
    def folded(self) -> Mapping[str, int]:
        """Oldest incarnation whose totals are still accepted, by host."""
        return self._folded

    def get_total(self, key: CounterKey) -> float:
        """Return a total, or 0 if it is not known."""
        totals = self._totals.get(key.scheduler, {})
        return totals.get((key.service, key.workspace), 0.0)

    def charge(self, service: str, workspace: str, cost: float) -> None:
        """Add to this router's own total of a workspace."""
        total = self.own_totals.get((service, workspace), 0.0)
        self._increase_total(self._own, (service, workspace), total + cost)

    def merge_total(self, key: CounterKey, total: float, baseline: float = 0.0) -> None:
        """
        Raise a total to ``total``; a lower value is ignored.

        The first total received again from a folded scheduler is taken as
        already included in the sums; only later increases are added.

        :param key: identifies the total.
        :param total: the received total.
        :param baseline: the part that was granted before this router first
            received the total.
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
        """Set what this router's schedulers have reserved for a workspace."""
        self._reserved[self._own][service, workspace] = amount

    def set_peer_reserved(self, key: CounterKey, amount: float) -> None:
        """Set what another scheduler has reserved for a workspace."""
        if key.scheduler != self._own:
            amounts = self._reserved.setdefault(key.scheduler, {})
            amounts[key.service, key.workspace] = amount

    def retain_reserved(self, live_schedulers: Collection[RouterId]) -> None:
        """Remove the reserved amounts of schedulers that are not live."""
        for scheduler in self._reserved.keys() - {self._own, *live_schedulers}:
            del self._reserved[scheduler]

    def sum_reserved(self, service: str, workspace: str) -> float:
        """Return the sum that other schedulers have reserved."""
        pair = service, workspace
        return sum(
            amounts.get(pair, 0.0)
            for scheduler, amounts in self._reserved.items()
            if scheduler != self._own
        )

    def fold(self, scheduler: RouterId, *, may_return: bool) -> None:
        """
        Remove the totals of a scheduler that is gone, but keep the sums.

        :param scheduler: the scheduler that is gone.
        :param may_return: whether the same incarnation may rejoin the fleet,
            for example after a network partition. Later increases of its
            totals then count.
        """
        if scheduler == self._own:
            return
        if self._totals.pop(scheduler, None) is not None:
            oldest = scheduler.incarnation + (0 if may_return else 1)
            self._folded[scheduler.host] = max(
                self._folded.get(scheduler.host, 0), oldest
            )

    def forget_folded(self, host: str) -> None:
        """Forget which incarnations of a host were folded."""
        self._folded.pop(host, None)

    def retain_configured(
        self, services: Collection[str], workspaces: Collection[str]
    ) -> None:
        """
        Remove totals of services and workspaces that are gone.

        This router's own totals stay.

        :param services: services that the configuration names.
        :param workspaces: workspaces that the configuration names.
        """
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
        """Return the sum of all known totals of a workspace."""
        pair = service, workspace
        return self._sums.get(pair, 0.0) + self._baselines.get(pair, 0.0)

    def sum_service(self, service: str, workspace: str) -> float:
        """
        Return the service that a workspace has received, fleet-wide.

        It excludes the service granted before this router first received a
        total, and serves to compare workspaces with each other.
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
