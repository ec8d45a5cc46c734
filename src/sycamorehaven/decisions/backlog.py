"""What waits at the edges for one service, as their reports say."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.call import BATCH, INTERACTIVE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.identity import RouterId
    from sycamorehaven.transport.messages.permits import DemandReport

CLASSES = (INTERACTIVE, BATCH)
SPARE_ENTRIES = 16
"""Outdated heap entries kept per queue before it is compacted."""


class Row:
    """
    Requests of one workspace and class that wait at one edge.

    :param waiting: how many.
    :param since: when the oldest came in, monotonic seconds.
    :param until: when the row was reported, monotonic seconds.
    :param cost: estimated cost of one, in the service's unit.
    """

    def __init__(self, waiting: int, since: float, until: float, cost: float) -> None:
        self.waiting = waiting
        self.since = since
        self.until = until
        self.cost = cost

    def take(self) -> None:
        """Count the oldest out; the others came in evenly until the report."""
        self.since += (self.until - self.since) / max(self.waiting, 1)
        self.waiting -= 1


class EdgeDemand(NamedTuple):
    """
    The last report of an edge.

    :ivar sequence: its sequence.
    :ivar received_at: when it came, monotonic seconds.
    :ivar expires_at: when it is void, monotonic seconds.
    :ivar rows: by workspace and class.
    """

    sequence: int
    received_at: float
    expires_at: float
    rows: dict[tuple[str, str], Row]


class Backlog:
    """Rows by edge, and the oldest of each workspace and class."""

    def __init__(self) -> None:
        self._edges: dict[RouterId, EdgeDemand] = {}
        self._classes: dict[str, dict[str, int]] = {}
        self._queues: dict[tuple[str, str], list[tuple[float, RouterId]]] = {}

    def find(self, edge: RouterId) -> EdgeDemand | None:
        """Return the last report of an edge, or ``None``."""
        return self._edges.get(edge)

    def list_edges(self) -> list[RouterId]:
        """Return the edges that have reported."""
        return list(self._edges)

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace wait."""
        return sum(self._classes.get(workspace, {}).values())

    def count_class(self, workspace: str, priority: str) -> int:
        """Return how many requests of a class wait."""
        return self._classes.get(workspace, {}).get(priority, 0)

    def list_costs(self, workspace: str) -> dict[str, float]:
        """Return the cost of the next request of each class that waits."""
        rows = {name: self.peek(workspace, name) for name in CLASSES}
        return {name: row.cost for name, row in rows.items() if row is not None}

    def replace(self, edge: RouterId, report: DemandReport, now: float) -> set[str]:
        """Take over a report; return the workspaces that it touches."""
        touched = self.remove(edge)
        rows: dict[tuple[str, str], Row] = {}
        for row in report.rows:
            if row.waiting > 0:
                key = row.workspace, row.priority
                rows[key] = Row(row.waiting, now - row.oldest_age, now, row.cost)
        self._edges[edge] = EdgeDemand(
            report.sequence, now, now + report.lifetime, rows
        )
        for key, entry in rows.items():
            self._count(key, entry.waiting)
            self._push(key, edge, entry)
            touched.add(key[0])
        return touched

    def remove(self, edge: RouterId) -> set[str]:
        """Forget an edge; return the workspaces that waited there."""
        demand = self._edges.pop(edge, None)
        if demand is None:
            return set()
        for key, row in demand.rows.items():
            self._count(key, -row.waiting)
        return {workspace for workspace, _ in demand.rows}

    def clear(self) -> set[str]:
        """Forget every edge; return the workspaces that waited."""
        touched: set[str] = set()
        for edge in self.list_edges():
            touched |= self.remove(edge)
        return touched

    def correct(self, edge: RouterId, workspace: str, waiting: int) -> None:
        """Lower an edge's count for a workspace to a newer one."""
        demand = self._edges.get(edge)
        if demand is None:
            return
        for key, row in demand.rows.items():
            if key[0] == workspace and row.waiting > waiting:
                self._count(key, waiting - row.waiting)
                row.waiting = waiting

    def peek(self, workspace: str, priority: str) -> Row | None:
        """Return the row of the oldest request of a class, or ``None``."""
        found = self._find_oldest((workspace, priority))
        return found[1] if found else None

    def take(self, workspace: str, priority: str) -> tuple[RouterId, Row] | None:
        """Count out the oldest request of a class; return where it waits."""
        key = workspace, priority
        found = self._find_oldest(key)
        if found is None:
            return None
        edge, row = found
        heapq.heappop(self._queues[key])
        row.take()
        self._count(key, -1)
        self._push(key, edge, row)
        return edge, row

    def _find_oldest(self, key: tuple[str, str]) -> tuple[RouterId, Row] | None:
        queue = self._queues.get(key, [])
        while queue:
            since, edge = queue[0]
            demand = self._edges.get(edge)
            row = demand.rows.get(key) if demand else None
            if row is not None and row.waiting > 0 and row.since == since:
                return edge, row
            heapq.heappop(queue)
        return None

    def list_expired(self, now: float) -> list[RouterId]:
        """Return the edges whose reports are void."""
        return [
            edge for edge, demand in self._edges.items() if demand.expires_at <= now
        ]

    def _count(self, key: tuple[str, str], change: int) -> None:
        workspace, priority = key
        classes = self._classes.setdefault(workspace, {})
        classes[priority] = classes.get(priority, 0) + change
        if not any(classes.values()):
            del self._classes[workspace]

    def _push(self, key: tuple[str, str], edge: RouterId, row: Row) -> None:
        if row.waiting <= 0:
            return
        queue = self._queues.setdefault(key, [])
        heapq.heappush(queue, (row.since, edge))
        if len(queue) > 2 * len(self._edges) + SPARE_ENTRIES:
            self._queues[key] = self._compact(key, self._edges.items())

    def _compact(
        self,
        key: tuple[str, str],
        edges: Iterable[tuple[RouterId, EdgeDemand]],
    ) -> list[tuple[float, RouterId]]:
        queue = [
            (demand.rows[key].since, edge)
            for edge, demand in edges
            if key in demand.rows and demand.rows[key].waiting > 0
        ]
        heapq.heapify(queue)
        return queue
