"""
The backlogged workspaces according to the demand reports of edges.

An edge is a router that has accepted requests from callers. It reports its
demand to the routers that schedule the backend servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.identity import RouterId
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.messages.permits import DemandReport


class EdgeBacklog(NamedTuple):
    """
    Workspaces with waiting requests at one edge.

    :ivar sequence: sequence number of the demand report.
    :ivar expires_at: monotonic seconds at which the report expires.
    :ivar workspaces: workspaces that have waiting requests.
    """

    sequence: int
    expires_at: float
    workspaces: frozenset[str]


class ReportedBacklogTracker:
    """
    Collects the demand reports that this router receives as a scheduler.

    :param clock: source of monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._backlogs: dict[str, dict[RouterId, EdgeBacklog]] = {}

    def handle_report(self, delivery: Delivery) -> None:
        """Store a received report unless it is older than the stored one."""
        report: DemandReport = delivery.message
        edges = self._backlogs.setdefault(report.service, {})
        stored = edges.get(delivery.sender)
        if stored is not None and stored.sequence >= report.sequence:
            return
        edges[delivery.sender] = EdgeBacklog(
            report.sequence,
            self._clock() + report.lifetime,
            frozenset(row.workspace for row in report.rows if row.waiting),
        )

    def list_backlogged_workspaces(self, service: str) -> set[str]:
        """Return the workspaces that wait for a service at any edge."""
        edges = self._backlogs.get(service, {})
        now = self._clock()
        for edge in [
            edge for edge, backlog in edges.items() if backlog.expires_at < now
        ]:
            del edges[edge]
        return set().union(*(backlog.workspaces for backlog in edges.values()))
