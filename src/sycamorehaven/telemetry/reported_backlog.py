"""Which workspaces are backlogged, by the demand that edges report."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.identity import RouterId
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.messages.permits import DemandReport


class EdgeBacklog(NamedTuple):
    """
    Workspaces that wait at one edge.

    :ivar sequence: of the report.
    :ivar until: monotonic seconds at which it is void.
    :ivar workspaces: those with a request that waits.
    """

    sequence: int
    expires_at: float
    workspaces: frozenset[str]


class ReportedBacklogTracker:
    """
    Reads the demand reports that reach this router as a scheduler.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._backlogs: dict[str, dict[RouterId, EdgeBacklog]] = {}

    def handle_report(self, delivery: Delivery) -> None:
        """Take a report; one that is older than the last is ignored."""
        report: DemandReport = delivery.message
        edges = self._backlogs.setdefault(report.service, {})
        known = edges.get(delivery.sender)
        if known is not None and known.sequence >= report.sequence:
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
