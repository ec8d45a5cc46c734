"""
Outstanding permits and the cost that has been charged for each.

A permit is settled only once. A repeated return changes nothing, nor does a
report that arrives after the return. A permit whose edge stopped responding is
abandoned: its slot becomes free, but its cost is still charged if the edge is
heard from again.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from sycamorehaven.transport.messages.permits import HeldPermit, PermitReturn

MAX_REMEMBERED_PERMITS = 4_096
"""Number of settled permits, and of abandoned ones, that are remembered per
service."""


class PermitId(NamedTuple):
    """
    Identifies a permit in the fleet.

    :ivar scheduler: the router that granted it.
    :ivar number: number of the permit, unique at that router.
    """

    scheduler: RouterId
    number: int


class OutstandingPermit(NamedTuple):
    """
    A permit that has been granted and not returned.

    :ivar permit_id: identifier of the permit.
    :ivar edge: edge that holds it.
    :ivar server: the backend server.
    :ivar workspace: workspace whose request runs under it.
    :ivar priority: priority class of that request.
    :ivar estimated_cost: estimated cost, in the service's unit.
    :ivar charged_cost: cost charged so far.
    :ivar granted_at: time at which it was granted or adopted, in monotonic
        seconds.
    :ivar confirmed: whether the edge has acknowledged or reported it.
    :ivar resumable: whether the running request can be preempted.
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
        """Part of the estimated cost that is not charged yet."""
        return (
            max(self.estimated_cost - self.charged_cost, 0.0) if self.accounted else 0.0
        )


class OutstandingPermits:
    """
    Outstanding permits, and the cost reserved for each workspace.

    :param own: this router. It knows all the numbers it has assigned, so a
        reported permit of its own that it doesn't know is not adopted.
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
        """All outstanding permits."""
        return self._permits

    def get_reserved(self, workspace: str) -> float:
        """Return the cost reserved for a workspace, in the service's unit."""
        return self._reserved.get(workspace, 0.0)

    def pop_changed_reservations(self) -> dict[str, float]:
        """
        Return and clear the reservations that changed since the last call.
        """
        changes = {
            workspace: self.get_reserved(workspace)
            for workspace in self._changed_workspaces
        }
        self._changed_workspaces.clear()
        return changes

    def list_for_edge(self, edge: RouterId) -> list[OutstandingPermit]:
        """Return the permits that an edge holds."""
        return [
            self._permits[permit_id]
            for permit_id in sorted(self._by_edge.get(edge, ()))
        ]

    def add(self, permit: OutstandingPermit) -> None:
        """Add an outstanding permit."""
        self._permits[permit.permit_id] = permit
        self._by_edge.setdefault(permit.edge, set()).add(permit.permit_id)
        self._adjust_reservation(permit.workspace, permit.reserved)

    def adopt(
        self, edge: RouterId, held: HeldPermit, now: float
    ) -> OutstandingPermit | None:
        """
        Add a permit that an edge reports and that was not known here.

        :returns: ``None`` if the permit has been settled.
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
        """Record that the edge has acknowledged the grant."""
        permit = self._permits.get(permit_id)
        if permit is not None:
            self._permits[permit_id] = permit._replace(confirmed=True)

    def update_progress(self, permit: OutstandingPermit, held: HeldPermit) -> float:
        """Apply an edge's report on a permit; return the cost to charge."""
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
        Apply the return of a permit.

        :returns: the permit if it was outstanding, and the cost to charge.
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
        """
        Give up a permit whose edge does not respond or does not report it.
        """
        self.remove(permit.permit_id)
        self._abandoned[permit.permit_id] = permit
        if len(self._abandoned) > MAX_REMEMBERED_PERMITS:
            self._abandoned.popitem(last=False)

    def remove(self, permit_id: PermitId) -> OutstandingPermit | None:
        """
        Remove a permit and return it; ``None`` if it was not outstanding.
        """
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
