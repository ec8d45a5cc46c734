"""What workspaces with waiting requests got of their fair share."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.fleet_load import Contention

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.candidates import PendingRequest

CONTENTION_LIFETIME_SECONDS = 0.3
"""Time for which waiting requests count that no later pass has seen."""
MIN_REPORTED_REQUESTS = 3
"""Number of waiting requests that a router reports even if servers have begun
to answer none of its requests."""
MAX_REPORTED_WORKSPACES = 8
"""Number of workspaces whose waiting requests are reported for a service."""


class ShareStatus(NamedTuple):
    """
    What a workspace has received compared with its fair share.

    :ivar is_within_share: whether it has received at most its fair share.
    :ivar entitled_ratio: fraction of its demand that it is entitled to.
    :ivar satisfaction: what it received divided by what it is entitled to.
    :ivar fill_level: what it received divided by the largest amount that a
        workspace is entitled to.
    """

    is_within_share: bool
    entitled_ratio: float
    satisfaction: float
    fill_level: float


class WorkspaceShares:
    """
    Compares workspaces with their fair shares and reports who got least.

    :param board: shared state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board

    def compute_statuses(
        self, workspaces: Iterable[str], now: float
    ) -> dict[str, ShareStatus]:
        """Return the share status of each workspace by name."""
        usage = self._board.fleet_load.usage_window
        share = usage.get_fair_share(now)
        return {
            workspace: ShareStatus(
                usage.get_received(workspace, now) <= share,
                usage.get_entitled_ratio(workspace, share, now),
                usage.get_satisfaction(workspace, share, now),
                usage.get_fill_level(workspace, share, now),
            )
            for workspace in workspaces
        }

    def record_contention(
        self,
        pending_requests: Collection[PendingRequest],
        share_statuses: Mapping[str, ShareStatus],
        now: float,
    ) -> None:
        """
        Record how many requests of which workspaces wait.

        Other routers learn it and leave capacity to workspaces that received
        less. A router that cannot use the capacity, because it is too busy or
        does not reach the servers, must not hold back the others. It therefore
        reports no more requests than servers have recently begun to answer.

        :param pending_requests: the waiting requests.
        :param share_statuses: share status of each of their workspaces.
        :param now: monotonic seconds.
        """
        counts: dict[str, Counter[str]] = {}
        for pending in pending_requests:
            service, workspace = pending.request.service, pending.request.workspace
            counts.setdefault(service, Counter())[workspace] += 1
        for service, count_by_workspace in counts.items():
            contentions = self._list_contentions(
                count_by_workspace, share_statuses, now
            )
            self._board.fleet_load.update_contentions(service, contentions)

    def _list_contentions(
        self,
        count_by_workspace: Mapping[str, int],
        share_statuses: Mapping[str, ShareStatus],
        now: float,
    ) -> list[Contention]:
        """Return the contentions of the workspaces that received least."""
        remaining = max(
            self._board.fleet_load.count_recent_starts(now), MIN_REPORTED_REQUESTS
        )
        contentions = []
        by_fill_level = sorted(
            (share_statuses[workspace].fill_level, count)
            for workspace, count in count_by_workspace.items()
        )
        for fill_level, count in by_fill_level[:MAX_REPORTED_WORKSPACES]:
            reported = min(count, remaining)
            remaining -= reported
            if reported:
                expires_at = now + CONTENTION_LIFETIME_SECONDS
                contentions.append(Contention(fill_level, reported, expires_at))
        return contentions
