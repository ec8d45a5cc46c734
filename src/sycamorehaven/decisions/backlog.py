"""Requests that wait at the edges for one service, as last reported."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.call import BATCH, INTERACTIVE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.identity import RouterId
    from sycamorehaven.transport.messages.permits import DemandReport

PRIORITIES = (INTERACTIVE, BATCH)
MAX_STALE_ENTRIES = 16
"""Outdated entries that a heap may hold, beside two for each edge, before it
is compacted."""


class WaitingRequests:
    """
    Requests of one workspace and class that wait at one edge.

    :param waiting: number of requests.
    :param oldest_at: arrival time of the oldest request, in monotonic seconds.
    :param reported_at: time at which the edge's report was received, in
        monotonic seconds.
    :param cost: estimated cost of one request, in the service's unit.
    """

    def __init__(
        self, waiting: int, oldest_at: float, reported_at: float, cost: float
    ) -> None:
        self.waiting = waiting
        self.oldest_at = oldest_at
        self.reported_at = reported_at
        self.cost = cost

    def remove_oldest(self) -> None:
        """
        Remove the oldest request, which has been granted a permit.

        The report has only the age of the oldest request. The arrival time of
        the next is interpolated, as if the requests had arrived evenly until
        the report.
        """
        self.oldest_at += (self.reported_at - self.oldest_at) / max(self.waiting, 1)
        self.waiting -= 1


class EdgeDemand(NamedTuple):
    """
    The last demand report of an edge.

    :ivar sequence: sequence number of the report.
    :ivar received_at: time of receipt, in monotonic seconds.
    :ivar expires_at: time at which the report expires, in monotonic seconds.
    :ivar rows: waiting requests by workspace and class.
    """

    sequence: int
    received_at: float
    expires_at: float
    rows: dict[tuple[str, str], WaitingRequests]


class Backlog:
    """Demand by edge, and the oldest request of each workspace and class."""

    def __init__(self) -> None:
        self._edges: dict[RouterId, EdgeDemand] = {}
        self._counts: dict[str, dict[str, int]] = {}
        self._heaps: dict[tuple[str, str], list[tuple[float, RouterId]]] = {}

    def find_demand(self, edge: RouterId) -> EdgeDemand | None:
        """Return the last report of an edge, or ``None``."""
        return self._edges.get(edge)

    def list_edges(self) -> list[RouterId]:
        """Return the edges with a current report."""
        return list(self._edges)

    def count(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        return sum(self._counts.get(workspace, {}).values())

    def count_class(self, workspace: str, priority: str) -> int:
        """Return the number of waiting requests of a workspace's class."""
        return self._counts.get(workspace, {}).get(priority, 0)

    def list_next_costs(self, workspace: str) -> dict[str, float]:
        """Return the cost of the next request of each class that has any."""
        rows = {
            priority: self.peek_oldest(workspace, priority) for priority in PRIORITIES
        }
        return {priority: row.cost for priority, row in rows.items() if row is not None}

    def replace(self, edge: RouterId, report: DemandReport, now: float) -> set[str]:
        """
        Replace an edge's report; return the workspaces whose demand changed.
        """
        affected = self.remove(edge)
        rows: dict[tuple[str, str], WaitingRequests] = {}
        for row in report.rows:
            if row.waiting > 0:
                key = row.workspace, row.priority
                rows[key] = WaitingRequests(
                    row.waiting, now - row.oldest_age, now, row.cost
                )
        self._edges[edge] = EdgeDemand(
            report.sequence, now, now + report.lifetime, rows
        )
        for key, entry in rows.items():
            self._add_to_count(key, entry.waiting)
            self._push(key, edge, entry)
            affected.add(key[0])
        return affected

    def remove(self, edge: RouterId) -> set[str]:
        """Remove an edge's report; return the workspaces that it named."""
        demand = self._edges.pop(edge, None)
        if demand is None:
            return set()
        for key, row in demand.rows.items():
            self._add_to_count(key, -row.waiting)
        return {workspace for workspace, _ in demand.rows}

    def clear(self) -> set[str]:
        """Remove all reports; return the workspaces that they named."""
        affected: set[str] = set()
        for edge in self.list_edges():
            affected |= self.remove(edge)
        return affected

    def lower_count(self, edge: RouterId, workspace: str, waiting: int) -> None:
        """
        Lower an edge's counts for a workspace to a newer, smaller number.
        """
        demand = self._edges.get(edge)
        if demand is None:
            return
        for key, row in demand.rows.items():
            if key[0] == workspace and row.waiting > waiting:
                self._add_to_count(key, waiting - row.waiting)
                row.waiting = waiting

    def peek_oldest(self, workspace: str, priority: str) -> WaitingRequests | None:
        """Return the row with the oldest request of a class, or ``None``."""
        found = self._find_oldest((workspace, priority))
        return found[1] if found else None

    def pop_oldest(
        self, workspace: str, priority: str
    ) -> tuple[RouterId, WaitingRequests] | None:
        """Remove the oldest request of a class; return its edge and row."""
        key = workspace, priority
        found = self._find_oldest(key)
        if found is None:
            return None
        edge, row = found
        heapq.heappop(self._heaps[key])
        row.remove_oldest()
        self._add_to_count(key, -1)
        self._push(key, edge, row)
        return edge, row

    def _find_oldest(
        self, key: tuple[str, str]
    ) -> tuple[RouterId, WaitingRequests] | None:
        heap = self._heaps.get(key, [])
        while heap:
            oldest_at, edge = heap[0]
            demand = self._edges.get(edge)
            row = demand.rows.get(key) if demand else None
            if row is not None and row.waiting > 0 and row.oldest_at == oldest_at:
                return edge, row
            heapq.heappop(heap)
        return None

    def list_expired(self, now: float) -> list[RouterId]:
        """Return the edges whose reports have expired."""
        return [
            edge for edge, demand in self._edges.items() if demand.expires_at <= now
        ]

    def _add_to_count(self, key: tuple[str, str], change: int) -> None:
        workspace, priority = key
        classes = self._counts.setdefault(workspace, {})
        classes[priority] = classes.get(priority, 0) + change
        if not any(classes.values()):
            del self._counts[workspace]

    def _push(self, key: tuple[str, str], edge: RouterId, row: WaitingRequests) -> None:
        if row.waiting <= 0:
            return
        heap = self._heaps.setdefault(key, [])
        heapq.heappush(heap, (row.oldest_at, edge))
        if len(heap) > 2 * len(self._edges) + MAX_STALE_ENTRIES:
            self._heaps[key] = self._compact(key, self._edges.items())

    def _compact(
        self,
        key: tuple[str, str],
        edges: Iterable[tuple[RouterId, EdgeDemand]],
    ) -> list[tuple[float, RouterId]]:
        heap = [
            (demand.rows[key].oldest_at, edge)
            for edge, demand in edges
            if key in demand.rows and demand.rows[key].waiting > 0
        ]
        heapq.heapify(heap)
        return heap
