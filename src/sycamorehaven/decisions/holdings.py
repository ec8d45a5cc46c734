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

MOST_REMEMBERED = 4_096
"""Settled or abandoned permits remembered per service."""


class PermitName(NamedTuple):
    """
    What identifies a permit in the fleet.

    :ivar scheduler: the router that granted it.
    :ivar number: its number there.
    """

    scheduler: RouterId
    number: int


class Holding(NamedTuple):
    """
    A permit that is out.

    :ivar name: what identifies it.
    :ivar edge: who holds it.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class of the bound request.
    :ivar cost: estimate that is reserved, in the service's unit.
    :ivar counted: cost that has been charged so far.
    :ivar granted_at: when it was granted or adopted, monotonic seconds.
    :ivar confirmed: whether the edge has acknowledged or reported it.
    :ivar resumable: whether what runs can be preempted.
    :ivar accounted: whether this scheduler charges its cost.
    """

    name: PermitName
    edge: RouterId
    server: str
    workspace: str
    priority: str
    cost: float
    counted: float
    granted_at: float
    confirmed: bool
    resumable: bool
    accounted: bool

    @property
    def reserved(self) -> float:
        """Estimated cost that is not charged yet."""
        return max(self.cost - self.counted, 0.0) if self.accounted else 0.0


class Holdings:
    """
    Permits by name, those of each edge, and the reservations by workspace.

    :param own: this router; it knows every number that it gave out.
    """

    def __init__(self, own: RouterId) -> None:
        self._own = own
        self._holdings: dict[PermitName, Holding] = {}
        self._by_edge: dict[RouterId, set[PermitName]] = {}
        self._reserved: dict[str, float] = {}
        self._touched: set[str] = set()
        self._abandoned: OrderedDict[PermitName, Holding] = OrderedDict()
        self._settled: OrderedDict[PermitName, None] = OrderedDict()

    @property
    def all(self) -> dict[PermitName, Holding]:
        """Every permit that is out."""
        return self._holdings

    def measure_reserved(self, workspace: str) -> float:
        """Return what is reserved for a workspace, in the service's unit."""
        return self._reserved.get(workspace, 0.0)

    def take_changes(self) -> dict[str, float]:
        """Return the reservations that have changed, once."""
        changes = {name: self.measure_reserved(name) for name in self._touched}
        self._touched.clear()
        return changes

    def list_of(self, edge: RouterId) -> list[Holding]:
        """Return the permits that an edge holds."""
        return [self._holdings[name] for name in sorted(self._by_edge.get(edge, ()))]

    def add(self, holding: Holding) -> None:
        """Note a permit that is out."""
        self._holdings[holding.name] = holding
        self._by_edge.setdefault(holding.edge, set()).add(holding.name)
        self._reserve(holding.workspace, holding.reserved)

    def adopt(self, edge: RouterId, held: HeldPermit, now: float) -> Holding | None:
        """
        Note a permit that an edge reports and that is not known as out.

        :returns: ``None`` if it has been settled.
        """
        name = PermitName(RouterId(held.scheduler, held.incarnation), held.permit)
        known = self._abandoned.pop(name, None)
        if name in self._settled or (known is None and name.scheduler == self._own):
            return None
        counted = known.counted if known else 0.0
        holding = Holding(
            name,
            edge,
            held.server,
            held.workspace,
            held.priority,
            max(counted, held.cost),
            counted,
            now,
            confirmed=True,
            resumable=held.resumable,
            accounted=held.accounted,
        )
        self.add(holding)
        return holding

    def note_taken(self, name: PermitName) -> None:
        """Note that an edge has acknowledged its grant."""
        holding = self._holdings.get(name)
        if holding is not None:
            self._holdings[name] = holding._replace(confirmed=True)

    def confirm(self, holding: Holding, held: HeldPermit) -> float:
        """Take a permit's progress; return what is to be charged for it."""
        cost = max(held.cost, holding.counted)
        charge = cost - holding.counted if held.accounted else 0.0
        self._reserve(holding.workspace, -holding.reserved)
        newer = holding._replace(
            counted=cost,
            cost=max(holding.cost, cost),
            priority=held.priority,
            confirmed=True,
            resumable=held.resumable,
            accounted=held.accounted,
        )
        self._holdings[holding.name] = newer
        self._reserve(newer.workspace, newer.reserved)
        return charge

    def settle(self, message: PermitReturn) -> tuple[Holding | None, float]:
        """
        Take a permit back.

        :returns: the permit if it was out, and what is to be charged.
        """
        name = PermitName(
            RouterId(message.scheduler, message.incarnation), message.permit
        )
        holding = self.drop(name)
        known = holding or self._abandoned.pop(name, None)
        if name in self._settled or (known is None and name.scheduler == self._own):
            return None, 0.0
        self._remember(name)
        counted = known.counted if known else 0.0
        charge = max(message.cost - counted, 0.0) if message.accounted else 0.0
        return holding, charge

    def abandon(self, holding: Holding) -> None:
        """Free a permit whose edge is silent or does not know it."""
        self.drop(holding.name)
        self._abandoned[holding.name] = holding
        if len(self._abandoned) > MOST_REMEMBERED:
            self._abandoned.popitem(last=False)

    def drop(self, name: PermitName) -> Holding | None:
        """Note a permit as out no longer; return it if it was."""
        holding = self._holdings.pop(name, None)
        if holding is None:
            return None
        names = self._by_edge[holding.edge]
        names.discard(name)
        if not names:
            del self._by_edge[holding.edge]
        self._reserve(holding.workspace, -holding.reserved)
        return holding

    def _reserve(self, workspace: str, change: float) -> None:
        self._touched.add(workspace)
        total = self._reserved.get(workspace, 0.0) + change
        if total > 1e-9:
            self._reserved[workspace] = total
        else:
            self._reserved.pop(workspace, None)

    def _remember(self, name: PermitName) -> None:
        self._settled[name] = None
        if len(self._settled) > MOST_REMEMBERED:
            self._settled.popitem(last=False)
