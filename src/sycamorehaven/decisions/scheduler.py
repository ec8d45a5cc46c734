"""
The scheduler of the backend servers of one service at one router.

It takes demand reports and permit returns and answers with grants. It holds
no clock: ``now`` is monotonic seconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sycamorehaven.decisions.fair_share import FairShare
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorehaven.transport.messages import DemandReport, DemandRow, HeldPermit

DEMAND_LIFETIME = 3.0
"""Seconds after which an unrefreshed demand report is dropped."""
LEASE = 2.0
"""Seconds in which a request must be sent under a permit."""
UNSEEN_GRACE = 1.0
"""Seconds after a grant before a report without the permit frees its slot."""


class Ledger(Protocol):
    """Service received, fleet-wide."""

    def sum_service(self, service: str, workspace: str) -> float:
        """Return the service a workspace has received, in units."""
        ...


class Grant(NamedTuple):
    """
    A permit to send to an edge.

    :ivar number: the permit's number.
    :ivar edge: who gets it.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class of the demand that it answers.
    :ivar cost: estimated cost, charged until the true one is known.
    """

    number: int
    edge: RouterId
    server: str
    workspace: str
    priority: str
    cost: float


class Running(NamedTuple):
    """
    A permit that is out.

    :ivar grant: the grant.
    :ivar granted_at: when, monotonic seconds.
    :ivar counted: cost that has been charged to the counters so far.
    :ivar resumable: whether what runs can be preempted.
    """

    grant: Grant
    granted_at: float
    counted: float
    resumable: bool


class Charge(NamedTuple):
    """
    Service given, to be added to the counters.

    :ivar workspace: who received it.
    :ivar cost: in the service's unit.
    """

    workspace: str
    cost: float


class Backlog:
    """
    Demand of one edge for the service.

    :param report: the edge's last report.
    :param received_at: when it came, monotonic seconds.
    """

    def __init__(self, report: DemandReport, received_at: float) -> None:
        self.sequence = report.sequence
        self.received_at = received_at
        self.counts = {
            (row.workspace, row.priority): row.waiting for row in report.rows
        }
        self.rows = {(row.workspace, row.priority): row for row in report.rows}

    def age_of(self, row: DemandRow, now: float) -> float:
        """Return the age of a row's oldest request, seconds."""
        return row.oldest_age + now - self.received_at


class ServiceScheduler:
    """
    Grants permits for the servers of one service.

    :param service: the service.
    :param ledger: service received, fleet-wide.
    """

    def __init__(self, service: str, ledger: Ledger) -> None:
        self._service = service
        self._ledger = ledger
        self._share = FairShare()
        self._weights: Mapping[str, float] = {}
        self._slots: dict[str, int] = {}
        self._running: dict[int, Running] = {}
        self._busy: dict[str, int] = {}
        self._reserved: dict[str, float] = {}
        self._backlogs: dict[RouterId, Backlog] = {}
        self._last_number = 0

    @property
    def slots(self) -> dict[str, int]:
        """Slots by backend server."""
        return self._slots

    @property
    def running(self) -> dict[int, Running]:
        """Permits that are out, by number."""
        return self._running

    def set_servers(self, slots: Mapping[str, int]) -> None:
        """Replace the servers that are scheduled here and their slots."""
        self._slots = dict(slots)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the workspaces' weights."""
        self._weights = weights

    def take_report(self, edge: RouterId, report: DemandReport, now: float) -> None:
        """Replace an edge's demand; an older report is ignored."""
        known = self._backlogs.get(edge)
        if known is not None and report.sequence <= known.sequence:
            return
        self._backlogs[edge] = Backlog(report, now)
        self._reconcile(edge, report.held, now)

    def take_return(self, number: int, cost: float) -> Charge | None:
        """Free a permit's slot; return what is left to charge."""
        running = self._running.get(number)
        if running is None:
            return None
        self._release(running)
        return Charge(running.grant.workspace, max(cost - running.counted, 0.0))

    def drop_edge(self, edge: RouterId) -> None:
        """Forget an edge that is gone, its demand and its permits."""
        self._backlogs.pop(edge, None)
        for running in list(self._running.values()):
            if running.grant.edge == edge:
                self._release(running)

    def grant(self, now: float) -> list[Grant]:
        """Return the permits to send now, in order."""
        self._expire(now)
        grants: list[Grant] = []
        while (server := self._find_free_server()) is not None:
            grant = self._grant_one(server, now)
            if grant is None:
                break
            grants.append(grant)
        return grants

    def _reconcile(self, edge: RouterId, held: list[HeldPermit], now: float) -> None:
        numbers = {permit.permit for permit in held}
        for number, running in list(self._running.items()):
            old = now - running.granted_at > UNSEEN_GRACE
            if running.grant.edge == edge and old and number not in numbers:
                self._release(running)

    def _expire(self, now: float) -> None:
        for edge, backlog in list(self._backlogs.items()):
            if now - backlog.received_at > DEMAND_LIFETIME:
                self.drop_edge(edge)

    def _find_free_server(self) -> str | None:
        free = {
            server: slots - self._busy.get(server, 0)
            for server, slots in self._slots.items()
        }
        server = max(free, key=lambda name: (free[name], name), default=None)
        return server if server is not None and free[server] > 0 else None

    def _grant_one(self, server: str, now: float) -> Grant | None:
        waiting = {
            workspace
            for backlog in self._backlogs.values()
            for (workspace, _), count in backlog.counts.items()
            if count > 0
        }
        received = {name: self._measure_received(name) for name in waiting}
        self._share.update_backlog(waiting, received)
        workspace = self._share.choose(received)
        if workspace is None:
            return None
        edge, row = self._find_oldest(workspace, now)
        self._backlogs[edge].counts[workspace, row.priority] -= 1
        self._last_number += 1
        grant = Grant(
            self._last_number, edge, server, workspace, row.priority, row.cost
        )
        self._running[grant.number] = Running(grant, now, 0.0, False)
        self._busy[server] = self._busy.get(server, 0) + 1
        self._reserved[workspace] = self._reserved.get(workspace, 0.0) + grant.cost
        return grant

    def _measure_received(self, workspace: str) -> float:
        total = self._ledger.sum_service(self._service, workspace)
        total += self._reserved.get(workspace, 0.0)
        return total / self._weights.get(workspace, 1.0)

    def _find_oldest(self, workspace: str, now: float) -> tuple[RouterId, DemandRow]:
        found = [
            (row.priority != "interactive", -backlog.age_of(row, now), edge, row)
            for edge, backlog in self._backlogs.items()
            for row in backlog.rows.values()
            if row.workspace == workspace
            and backlog.counts[workspace, row.priority] > 0
        ]
        _, _, edge, row = min(found, key=lambda item: item[:3])
        return edge, row

    def _release(self, running: Running) -> None:
        grant = running.grant
        del self._running[grant.number]
        self._busy[grant.server] -= 1
        self._reserved[grant.workspace] -= grant.cost - running.counted
