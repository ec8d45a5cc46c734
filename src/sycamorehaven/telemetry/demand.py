"""Which workspaces are backlogged, by the demand that edges report."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.messages import DemandReport


class ReportedBacklog(NamedTuple):
    """
    Workspaces that wait at one edge.

    :ivar sequence: of the report.
    :ivar until: monotonic seconds at which it is void.
    :ivar workspaces: those with a request that waits.
    """

    sequence: int
    until: float
    workspaces: frozenset[str]


class DemandWatch:
    """
    Reads the demand reports that reach this router as a scheduler.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._backlogs: dict[tuple[str, str], ReportedBacklog] = {}

    def take(self, delivery: Delivery) -> None:
        """Take a report; one that is older than the last is ignored."""
        report: DemandReport = delivery.message
        place = (report.service, delivery.sender.format())
        known = self._backlogs.get(place)
        if known is not None and known.sequence >= report.sequence:
            return
        self._backlogs[place] = ReportedBacklog(
            report.sequence,
            self._clock() + report.lifetime,
            frozenset(row.workspace for row in report.rows if row.waiting),
        )

    def list_backlogged(self, service: str) -> set[str]:
        """Return the workspaces that wait for a service at any edge."""
        now = self._clock()
        for place, backlog in list(self._backlogs.items()):
            if backlog.until < now:
                del self._backlogs[place]
        return {
            workspace
            for place, backlog in self._backlogs.items()
            if place[0] == service
            for workspace in backlog.workspaces
        }
