"""What workspaces with waiting requests got of their fair share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.fleet_load import Contention
from sycamorehaven.decisions.usage_window import YIELD_MARGIN_RATIO

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.candidates import PendingRequest

CONTENTION_LIFETIME_SECONDS = 0.3
"""Time for which waiting requests count that no later pass has seen."""
MIN_REPORTED_REQUESTS = 3
"""Number of waiting requests that a router reports even if servers have begun
to answer none of its requests."""


class ShareStatus(NamedTuple):
    """
    What a workspace has received compared with its fair share.

    :ivar is_within_share: whether it has received at most its fair share.
    :ivar satisfaction: what it received divided by what it is entitled to.
    :ivar fill_level: what it received divided by the largest amount that a
        workspace is entitled to.
    """

    is_within_share: bool
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
        Record how little the waiting workspaces that got least received.

        Other routers learn it and leave capacity to these workspaces. A router
        that cannot use the capacity, because it is too busy or does not reach
        the servers, must not hold back the others. It therefore reports no
        more requests than servers have recently begun to answer.

        :param pending_requests: the waiting requests.
        :param share_statuses: share status of each of their workspaces.
        :param now: monotonic seconds.
        """
        fleet_load = self._board.fleet_load
        max_count = max(fleet_load.count_recent_starts(now), MIN_REPORTED_REQUESTS)
        fill_levels: dict[str, list[float]] = {}
        for pending in pending_requests:
            fill_level = share_statuses[pending.request.workspace].fill_level
            fill_levels.setdefault(pending.request.service, []).append(fill_level)
        for service, service_levels in fill_levels.items():
            least = min(service_levels)
            count = sum(level <= least + YIELD_MARGIN_RATIO for level in service_levels)
            contention = Contention(
                least, min(count, max_count), now + CONTENTION_LIFETIME_SECONDS
            )
            fleet_load.update_contention(service, contention)
