"""
The scheduler of the backend servers of one service at one router.

It takes demand reports and permit returns and answers with grants. It holds
no clock: ``now`` is monotonic seconds.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from sycamorehaven.call import INTERACTIVE
from sycamorehaven.decisions.backlog import Backlog
from sycamorehaven.decisions.classes import ClassShares
from sycamorehaven.decisions.estimates import CostBounds
from sycamorehaven.decisions.experience import Experience
from sycamorehaven.decisions.fair_share import FairShare
from sycamorehaven.decisions.grants import Charge, Grant, Issue, ServiceTerms
from sycamorehaven.decisions.holdings import Holding, Holdings, PermitName
from sycamorehaven.decisions.occupancy import Occupancy
from sycamorehaven.decisions.preemption import Reclaimer
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

    from sycamorehaven.decisions.grants import Ledger
    from sycamorehaven.transport.messages.permits import (
        DemandReport,
        HeldPermit,
        PermitReturn,
    )

UNSEEN_GRACE = 1.0
"""Seconds after a grant before a report without the permit frees its slot."""
PAUSE = 1.0
"""Seconds without a round that tell that this process was paused."""
LAG_LIMIT = 4.0
"""Largest requests by which a workspace may lag the one furthest ahead."""
PEER_LIKENESS = 0.4
"""Part of own reservations that each scheduler is taken to have at least."""


class ServiceScheduler:
    """
    Grants permits for the servers of one service.

    :param own: this router.
    :param service: the service.
    :param ledger: service received, fleet-wide.
    :param numbers: numbers for permits, unique in this process.
    """

    def __init__(
        self,
        own: RouterId,
        service: str,
        ledger: Ledger,
        numbers: Iterator[int] | None = None,
    ) -> None:
        self._own = own
        self._service = service
        self._ledger = ledger
        self._terms = ServiceTerms()
        self._peer_factor = 1.0
        self._classes = ClassShares(self._terms.batch_fraction)
        self._experience = Experience(service, self._classes)
        self._weights: Mapping[str, float] = {}
        self._share = FairShare(self._measure_received)
        self._backlog = Backlog()
        self._holdings = Holdings(own)
        self._occupancy = Occupancy()
        self._reclaimer = Reclaimer(self._share, self._backlog, self._holdings)
        self._numbers = numbers or itertools.count(1)
        self._last_round: float | None = None

    @property
    def slots(self) -> dict[str, int]:
        """Slots by backend server."""
        return self._occupancy.limits

    @property
    def running(self) -> dict[PermitName, Holding]:
        """Permits that are out, by name."""
        return self._holdings.all

    @property
    def waiting(self) -> set[str]:
        """Workspaces that wait."""
        return self._share.waiting

    def take_reserved(self) -> dict[str, float]:
        """Return the reservations by workspace that have changed, once."""
        return self._holdings.take_changes()

    def list_edges(self) -> list[RouterId]:
        """Return the edges that have reported."""
        return self._backlog.list_edges()

    def set_servers(
        self,
        slots: Mapping[str, int],
        now: float,
        ceilings: Mapping[str, int] | None = None,
        closed: Collection[str] = (),
    ) -> None:
        """
        Replace the servers that are scheduled here.

        :param slots: slots to start with, by server.
        :param ceilings: the most slots of each; those to start with if not
            named.
        :param closed: servers that take no work for now. What is known of
            their slots is kept, so that they need not be learned again.
        """
        limits = self._experience.limits.replace(slots, ceilings or {})
        limits.update(dict.fromkeys(closed, 0))
        self._occupancy.replace(limits, now)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the workspaces' weights."""
        self._weights = weights
        self._classes.retain(weights)

    def set_terms(self, terms: ServiceTerms) -> None:
        """Replace what the configuration says of the service."""
        self._terms = terms
        self._peer_factor = max(PEER_LIKENESS * terms.schedulers, 1.0)
        self._classes.configure(terms.batch_fraction, terms.schedulers)
        bounds = CostBounds(terms.expected_cost, terms.largest_cost)
        self._experience.estimates.configure(bounds)

    def learn_load(
        self, server: str, running: int, reported_at: float, now: float
    ) -> None:
        """
        Take a server's reported load.

        :param reported_at: when it was read, monotonic seconds.
        """
        self._occupancy.learn_load(server, running, reported_at, now)

    def take_report(
        self, edge: RouterId, report: DemandReport, now: float
    ) -> list[Charge]:
        """
        Replace an edge's demand; an older report is ignored.

        :returns: what its permits have cost since the last report.
        """
        self._notice_pause(now)
        known = self._backlog.find(edge)
        if known is not None and report.sequence <= known.sequence:
            return []
        self._drop_predecessors(edge, now)
        charges = [self.take_return(edge, message, now) for message in report.settled]
        touched = self._backlog.replace(edge, report, now)
        self._update_waiting(touched, now)
        charges += self._reconcile(edge, report.held, now)
        return [charge for charge in charges if charge is not None]

    def take_return(
        self, edge: RouterId, message: PermitReturn, now: float
    ) -> Charge | None:
        """Free a permit's slot; return what is left to charge."""
        holding, cost = self._holdings.settle(message)
        if holding is not None:
            self._occupancy.vacate(holding.server, now)
            self._learn(holding, message, now)
        self._backlog.correct(edge, message.workspace, message.waiting)
        self._update_waiting([message.workspace], now)
        self._share.touch(message.workspace)
        return Charge(message.workspace, cost) if cost > 0.0 else None

    def note_taken(self, number: int) -> None:
        """Note that an edge has acknowledged a grant."""
        self._holdings.note_taken(PermitName(self._own, number))

    def drop_edge(self, edge: RouterId, now: float) -> None:
        """Forget an edge that is gone, its demand and its permits."""
        self._update_waiting(self._backlog.remove(edge), now)
        for holding in self._holdings.list_of(edge):
            self._abandon(holding, now, lost=holding.confirmed)

    def withhold(self, edge: RouterId, now: float) -> None:
        """Grant a silent edge nothing; what it did not acknowledge is free."""
        self._update_waiting(self._backlog.remove(edge), now)
        for holding in self._holdings.list_of(edge):
            if not holding.confirmed:
                self._abandon(holding, now, lost=False)

    def retain_edges(self, is_live: Callable[[str], bool], now: float) -> None:
        """Forget the edges whose host is not live."""
        for edge in self._backlog.list_edges():
            if not is_live(edge.host):
                self.drop_edge(edge, now)

    def expire(self, now: float) -> None:
        """Drop what was not refreshed; to be called a few times a second."""
        self._notice_pause(now)
        for edge in self._backlog.list_expired(now):
            self.drop_edge(edge, now)
        self._share.rebuild(now, LAG_LIMIT * self._terms.largest_cost)
        self._occupancy.offer_all(now)

    def count_free(self, now: float) -> int:
        """Return the slots that are free for want of demand."""
        return self._occupancy.count_free(now)

    def grant(self, now: float) -> list[Grant]:
        """Return the permits to send now, in order."""
        self._notice_pause(now)
        grants: list[Grant] = []
        while (workspace := self._share.choose()) is not None:
            server = self._occupancy.find_free(now)
            if server is None:
                self._experience.limits.note_saturation()
                break
            grant = self._grant_one(workspace, server, now)
            if grant is not None:
                grants.append(grant)
        return grants

    def preempt(self, now: float, turn: int) -> list[Holding]:
        """
        Return the permits whose streams make way now.

        :param turn: rank of this scheduler among those of the service.
        """
        workspace = self._share.choose()
        if workspace is None or self._occupancy.find_free(now) is not None:
            return []
        cost = self._list_costs(workspace).get(INTERACTIVE, 0.0)
        cost /= self._weights.get(workspace, 1.0)
        guaranteed = self._experience.list_guaranteed()
        orders = self._reclaimer.choose(cost, guaranteed, now, turn)
        return [self._holdings.all[order.permit] for order in orders]

    def _grant_one(self, workspace: str, server: str, now: float) -> Grant | None:
        costs = self._list_costs(workspace)
        choice = self._classes.choose(workspace, costs)
        priority = choice.priority
        found = self._backlog.take(workspace, priority)
        if found is None:
            self._share.leave(workspace, now)
            return None
        self._update_waiting([workspace], now)
        edge, row = found
        report = self._backlog.find(edge)
        assert report is not None
        estimate = costs[priority]
        runs = self._terms.count_runs(estimate)
        name = PermitName(self._own, next(self._numbers))
        holding = Holding(
            name,
            edge,
            server,
            workspace,
            priority,
            estimate * min(runs, row.waiting + 1),
            0.0,
            now,
            confirmed=False,
            resumable=False,
            accounted=True,
        )
        self._share.note_grant(workspace)
        self._holdings.add(holding)
        self._experience.note_issue(name, Issue(row.cost, choice))
        self._occupancy.occupy(server, now)
        self._classes.charge(workspace, choice, holding.cost, contended=len(costs) > 1)
        elapsed = now - report.received_at
        return Grant.from_holding(holding, report.sequence, elapsed, runs)

    def _list_costs(self, workspace: str) -> dict[str, float]:
        return {
            priority: self._experience.estimates.estimate(workspace, priority, hint)
            for priority, hint in self._backlog.list_costs(workspace).items()
        }

    def _measure_received(self, workspace: str) -> float:
        """
        Return the weighted service received, reservations included.

        Other schedulers tell theirs, but not each change to everyone. They
        are taken to be like those made here at least; else all would favour
        the same workspace until they heard of each other's grants.
        """
        total = self._ledger.sum_service(self._service, workspace)
        own = self._holdings.measure_reserved(workspace)
        told = self._ledger.sum_reserved(self._service, workspace)
        total += max(own + told, self._peer_factor * own)
        return total / self._weights.get(workspace, 1.0)

    def _update_waiting(self, workspaces: Iterable[str], now: float) -> None:
        for workspace in sorted(workspaces):
            if self._backlog.count(workspace) > 0:
                self._share.enter(workspace, now)
            else:
                self._share.leave(workspace, now)

    def _reconcile(
        self, edge: RouterId, held: list[HeldPermit], now: float
    ) -> list[Charge | None]:
        charges: list[Charge | None] = []
        names = set()
        for permit in held:
            scheduler = RouterId(permit.scheduler, permit.incarnation)
            name = PermitName(scheduler, permit.permit)
            names.add(name)
            holding = self._holdings.all.get(name) or self._adopt(edge, permit, now)
            if holding is None:
                continue
            cost = self._holdings.confirm(holding, permit)
            self._share.touch(holding.workspace)
            if cost > 0.0:
                charges.append(Charge(holding.workspace, cost))
        for holding in self._holdings.list_of(edge):
            old = now - holding.granted_at > UNSEEN_GRACE
            if old and holding.name not in names:
                self._abandon(holding, now, lost=False)
        return charges

    def _adopt(self, edge: RouterId, held: HeldPermit, now: float) -> Holding | None:
        holding = self._holdings.adopt(edge, held, now)
        if holding is not None:
            self._occupancy.occupy(holding.server, now, adopted=True)
        return holding

    def _abandon(self, holding: Holding, now: float, *, lost: bool) -> None:
        self._holdings.abandon(holding)
        self._experience.forget(holding.name)
        self._reclaimer.forget(holding.name)
        self._occupancy.vacate(holding.server, now, lost=lost)
        self._share.touch(holding.workspace)

    def _learn(self, holding: Holding, message: PermitReturn, now: float) -> None:
        self._reclaimer.forget(holding.name)
        in_seconds = self._terms.in_seconds
        self._experience.take_return(holding, message, now, in_seconds=in_seconds)

    def _drop_predecessors(self, edge: RouterId, now: float) -> None:
        for other in self._backlog.list_edges():
            if other.host == edge.host and other != edge:
                self.drop_edge(other, now)

    def _notice_pause(self, now: float) -> None:
        paused = self._last_round is not None and now - self._last_round > PAUSE
        self._last_round = now
        if paused:
            self._update_waiting(self._backlog.clear(), now)
            self._occupancy.relearn(now)
