"""
The permits that are out, and what has been charged for each.

A permit is settled once: a repeated return, or a report that was overtaken by
the return, changes nothing. One whose edge fell silent frees its slot, yet
its cost is charged if the edge is heard again.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from sycamorehaven.transport.messages.permits import HeldPermit, PermitReturn

MAX_REMEMBERED_PERMITS = 4_096
"""Settled or abandoned permits remembered per service."""


class PermitId(NamedTuple):
    """
    What identifies a permit in the fleet.

    :ivar scheduler: the router that granted it.
    :ivar number: its number there.
    """

    scheduler: RouterId
    number: int


class OutstandingPermit(NamedTuple):
    """
    A permit that is out.

    :ivar permit_id: what identifies it.
    :ivar edge: who holds it.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class of the bound request.
    :ivar estimated_cost: estimate that is reserved, in the service's unit.
    :ivar charged_cost: cost that has been charged so far.
    :ivar granted_at: when it was granted or adopted, monotonic seconds.
    :ivar confirmed: whether the edge has acknowledged or reported it.
    :ivar resumable: whether what runs can be preempted.
    :ivar accounted: whether this scheduler charges its cost.
    """

    permit_id: PermitId
    edge: RouterId
    server: str
    workspace: str
    priority: str
    estimated_cost: float
    charged_cost: float
    granted_at: float
    confirmed: bool
    resumable: bool
    accounted: bool

    @property
    def reserved(self) -> float:
        """Estimated cost that is not charged yet."""
        return (
            max(self.estimated_cost - self.charged_cost, 0.0) if self.accounted else 0.0
        )


class OutstandingPermits:
    """
    Permits by name, those of each edge, and the reservations by workspace.

    :param own: this router; it knows every number that it gave out.
    """

    def __init__(self, own: RouterId) -> None:
        self._own = own
        self._permits: dict[PermitId, OutstandingPermit] = {}
        self._by_edge: dict[RouterId, set[PermitId]] = {}
        self._reserved: dict[str, float] = {}
        self._changed_workspaces: set[str] = set()
        self._abandoned: OrderedDict[PermitId, OutstandingPermit] = OrderedDict()
        self._settled: OrderedDict[PermitId, None] = OrderedDict()

    @property
    def by_id(self) -> dict[PermitId, OutstandingPermit]:
        """Every permit that is out."""
        return self._permits

    def get_reserved(self, workspace: str) -> float:
        """Return what is reserved for a workspace, in the service's unit."""
        return self._reserved.get(workspace, 0.0)

    def pop_changed_reservations(self) -> dict[str, float]:
        """Return the reservations that have changed, once."""
        changes = {name: self.get_reserved(name) for name in self._changed_workspaces}
        self._changed_workspaces.clear()
        return changes

    def list_for_edge(self, edge: RouterId) -> list[OutstandingPermit]:
        """Return the permits that an edge holds."""
        return [self._permits[name] for name in sorted(self._by_edge.get(edge, ()))]

    def add(self, permit: OutstandingPermit) -> None:
        """Note a permit that is out."""
        self._permits[permit.permit_id] = permit
        self._by_edge.setdefault(permit.edge, set()).add(permit.permit_id)
        self._adjust_reservation(permit.workspace, permit.reserved)

    def adopt(
        self, edge: RouterId, held: HeldPermit, now: float
    ) -> OutstandingPermit | None:
        """
        Note a permit that an edge reports and that is not known as out.

        :returns: ``None`` if it has been settled.
        """
        permit_id = PermitId(RouterId(held.scheduler, held.incarnation), held.permit)
        known = self._abandoned.pop(permit_id, None)
        if permit_id in self._settled or (
            known is None and permit_id.scheduler == self._own
        ):
            return None
        charged_cost = known.charged_cost if known else 0.0
        permit = OutstandingPermit(
            permit_id,
            edge,
            held.server,
            held.workspace,
            held.priority,
            max(charged_cost, held.cost),
            charged_cost,
            now,
            confirmed=True,
            resumable=held.resumable,
            accounted=held.accounted,
        )
        self.add(permit)
        return permit

    def mark_confirmed(self, permit_id: PermitId) -> None:
        """Note that an edge has acknowledged its grant."""
        permit = self._permits.get(permit_id)
        if permit is not None:
            self._permits[permit_id] = permit._replace(confirmed=True)

    def update_progress(self, permit: OutstandingPermit, held: HeldPermit) -> float:
        """Take a permit's progress; return what is to be charged for it."""
        cost = max(held.cost, permit.charged_cost)
        charge = cost - permit.charged_cost if held.accounted else 0.0
        self._adjust_reservation(permit.workspace, -permit.reserved)
        updated = permit._replace(
            charged_cost=cost,
            estimated_cost=max(permit.estimated_cost, cost),
            priority=held.priority,
            confirmed=True,
            resumable=held.resumable,
            accounted=held.accounted,
        )
        self._permits[permit.permit_id] = updated
        self._adjust_reservation(updated.workspace, updated.reserved)
        return charge

    def settle(self, message: PermitReturn) -> tuple[OutstandingPermit | None, float]:
        """
        Take a permit back.

        :returns: the permit if it was out, and what is to be charged.
        """
        permit_id = PermitId(
            RouterId(message.scheduler, message.incarnation), message.permit
        )
        permit = self.remove(permit_id)
        known = permit or self._abandoned.pop(permit_id, None)
        if permit_id in self._settled or (
            known is None and permit_id.scheduler == self._own
        ):
            return None, 0.0
        self._remember_settled(permit_id)
        charged_cost = known.charged_cost if known else 0.0
        charge = max(message.cost - charged_cost, 0.0) if message.accounted else 0.0
        return permit, charge

    def abandon(self, permit: OutstandingPermit) -> None:
        """Free a permit whose edge is silent or does not know it."""
        self.remove(permit.permit_id)
        self._abandoned[permit.permit_id] = permit
        if len(self._abandoned) > MAX_REMEMBERED_PERMITS:
            self._abandoned.popitem(last=False)

    def remove(self, permit_id: PermitId) -> OutstandingPermit | None:
        """Note a permit as out no longer; return it if it was."""
        permit = self._permits.pop(permit_id, None)
        if permit is None:
            return None
        permit_ids = self._by_edge[permit.edge]
        permit_ids.discard(permit_id)
        if not permit_ids:
            del self._by_edge[permit.edge]
        self._adjust_reservation(permit.workspace, -permit.reserved)
        return permit

    def _adjust_reservation(self, workspace: str, change: float) -> None:
        self._changed_workspaces.add(workspace)
        total = self._reserved.get(workspace, 0.0) + change
        if total > 1e-9:
            self._reserved[workspace] = total
        else:
            self._reserved.pop(workspace, None)

    def _remember_settled(self, permit_id: PermitId) -> None:
        self._settled[permit_id] = None
        if len(self._settled) > MAX_REMEMBERED_PERMITS:
            self._settled.popitem(last=False)
