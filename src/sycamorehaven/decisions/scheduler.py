"""
The scheduler of the backend servers of one service at one router.

It takes demand reports and permit returns and answers with grants. It holds
no clock: ``now`` is monotonic seconds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

from sycamorehaven.decisions.backlog import Backlog
from sycamorehaven.decisions.fair_share import FairShare
from sycamorehaven.decisions.holdings import Holding, Holdings, PermitName
from sycamorehaven.decisions.occupancy import Occupancy
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from sycamorehaven.transport.messages import (
        DemandReport,
        HeldPermit,
        PermitReturn,
    )

LEASE = 2.0
"""Seconds after a grant in which a request must be sent under it."""
UNSEEN_GRACE = 1.0
"""Seconds after a grant before a report without the permit frees its slot."""
PAUSE = 1.0
"""Seconds without a round that tell that this process was paused."""
LAG_LIMIT = 4.0
"""Largest requests by which a workspace may lag the one furthest ahead."""
EXCHANGE = 0.002
"""Seconds that a return and the grant that follows it take."""
EXCHANGE_SHARE = 0.05
"""Part of a slot's time that may pass in exchanges."""
MOST_RUNS = 64
"""Calls that one permit covers at most."""


class Ledger(Protocol):
    """Service received, fleet-wide."""

    def sum_service(self, service: str, workspace: str) -> float:
        """Return the service a workspace has received, in units."""
        ...


class ClassOrder(Protocol):
    """Chooses the class to serve inside a workspace's share."""

    def choose(self, workspace: str, waiting: list[str]) -> str:
        """Return one of the classes that wait."""
        ...

    def charge(self, workspace: str, priority: str, cost: float) -> None:
        """Note a grant to a class, in the service's unit."""
        ...


class CostEstimator(Protocol):
    """Learns what requests cost from what they did cost."""

    def estimate(self, workspace: str, hint: float) -> float:
        """Return the expected cost of a request with a hint."""
        ...

    def learn(self, workspace: str, hint: float, cost: float) -> None:
        """Take a true cost."""
        ...


class InteractiveFirst:
    """Serves interactive requests before any other."""

    def choose(self, workspace: str, waiting: list[str]) -> str:  # noqa: ARG002
        """Return one of the classes that wait."""
        return "interactive" if "interactive" in waiting else waiting[0]

    def charge(self, workspace: str, priority: str, cost: float) -> None:
        """Ignore it."""


class HintedCost:
    """Believes the hint."""

    def estimate(self, workspace: str, hint: float) -> float:  # noqa: ARG002
        """Return the hint."""
        return hint

    def learn(self, workspace: str, hint: float, cost: float) -> None:
        """Ignore it."""


class Grant(NamedTuple):
    """
    A permit to send to an edge.

    :ivar number: the permit's number.
    :ivar edge: who gets it.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class of the demand that it answers.
    :ivar cost: estimated cost, charged until the true one is known.
    :ivar sequence: the edge's last report.
    :ivar elapsed: seconds since that report came.
    :ivar runs: calls that it covers.
    """

    number: int
    edge: RouterId
    server: str
    workspace: str
    priority: str
    cost: float
    sequence: int
    elapsed: float
    runs: int


class Charge(NamedTuple):
    """
    Service given, to be added to the counters.

    :ivar workspace: who received it.
    :ivar cost: in the service's unit.
    """

    workspace: str
    cost: float


class ServiceTerms(NamedTuple):
    """
    What the configuration says of a service.

    :ivar largest_cost: the most that one request is charged ahead, units.
    :ivar in_seconds: whether its unit is a second of a slot.
    """

    largest_cost: float = math.inf
    in_seconds: bool = False


class ServiceScheduler:
    """
    Grants permits for the servers of one service.

    :param own: this router.
    :param service: the service.
    :param ledger: service received, fleet-wide.
    :param classes: chooses the class inside a workspace's share.
    :param estimator: estimates costs.
    """

    def __init__(
        self,
        own: RouterId,
        service: str,
        ledger: Ledger,
        classes: ClassOrder | None = None,
        estimator: CostEstimator | None = None,
    ) -> None:
        self._own = own
        self._service = service
        self._ledger = ledger
        self._classes = classes or InteractiveFirst()
        self._estimator = estimator or HintedCost()
        self._terms = ServiceTerms()
        self._weights: Mapping[str, float] = {}
        self._share = FairShare(self._measure_received)
        self._backlog = Backlog()
        self._holdings = Holdings(own)
        self._occupancy = Occupancy()
        self._hints: dict[PermitName, float] = {}
        self._last_number = 0
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

    def set_servers(self, slots: Mapping[str, int], now: float) -> None:
        """Replace the servers that are scheduled here and their slots."""
        self._occupancy.replace(slots, now)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the workspaces' weights."""
        self._weights = weights

    def set_terms(self, terms: ServiceTerms) -> None:
        """Replace what the configuration says of the service."""
        self._terms = terms

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
            self._learn(holding, message)
        self._backlog.correct(edge, message.workspace, message.waiting)
        self._update_waiting([message.workspace], now)
        self._share.touch(message.workspace)
        return Charge(message.workspace, cost) if cost > 0.0 else None

    def drop_edge(self, edge: RouterId, now: float) -> None:
        """Forget an edge that is gone, its demand and its permits."""
        self._update_waiting(self._backlog.remove(edge), now)
        for holding in self._holdings.list_of(edge):
            self._abandon(holding, now)

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
                break
            grant = self._grant_one(workspace, server, now)
            if grant is not None:
                grants.append(grant)
        return grants

    def _grant_one(self, workspace: str, server: str, now: float) -> Grant | None:
        priority = self._classes.choose(
            workspace, self._backlog.list_classes(workspace)
        )
        found = self._backlog.take(workspace, priority)
        if found is None:
            self._share.leave(workspace, now)
            return None
        self._update_waiting([workspace], now)
        edge, row = found
        report = self._backlog.find(edge)
        assert report is not None
        estimate = min(
            self._estimator.estimate(workspace, row.cost), self._terms.largest_cost
        )
        runs = self._count_runs(estimate)
        self._last_number += 1
        name = PermitName(self._own, self._last_number)
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
        self._hints[name] = row.cost
        self._occupancy.occupy(server, now)
        self._classes.charge(workspace, priority, holding.cost)
        return Grant(
            name.number,
            edge,
            server,
            workspace,
            priority,
            holding.cost,
            report.sequence,
            now - report.received_at,
            runs,
        )

    def _count_runs(self, estimate: float) -> int:
        if not self._terms.in_seconds:
            return 1
        slice_length = EXCHANGE / EXCHANGE_SHARE
        runs = math.ceil(slice_length / max(estimate, EXCHANGE / MOST_RUNS))
        return min(runs, MOST_RUNS)

    def _measure_received(self, workspace: str) -> float:
        total = self._ledger.sum_service(self._service, workspace)
        total += self._holdings.measure_reserved(workspace)
        return total / self._weights.get(workspace, 1.0)

    def _update_waiting(self, workspaces: Iterable[str], now: float) -> None:
        for workspace in workspaces:
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
                self._abandon(holding, now)
        return charges

    def _adopt(self, edge: RouterId, held: HeldPermit, now: float) -> Holding | None:
        holding = self._holdings.adopt(edge, held, now)
        if holding is not None:
            self._occupancy.occupy(holding.server, now, adopted=True)
        return holding

    def _abandon(self, holding: Holding, now: float) -> None:
        self._holdings.abandon(holding)
        self._hints.pop(holding.name, None)
        self._occupancy.vacate(holding.server, now)
        self._share.touch(holding.workspace)

    def _learn(self, holding: Holding, message: PermitReturn) -> None:
        hint = self._hints.pop(holding.name, None)
        if hint is not None and message.runs > 0 and not message.failed:
            cost = message.cost / message.runs
            self._estimator.learn(holding.workspace, hint, cost)

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
