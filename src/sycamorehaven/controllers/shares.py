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
    """

    is_within_share: bool
    satisfaction: float


class WorkspaceShares:
    """
    Compares workspaces with their fair shares and reports the least satisfied.

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
        Record how little the least satisfied waiting workspaces got.

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
        satisfactions: dict[str, list[float]] = {}
        for pending in pending_requests:
            satisfaction = share_statuses[pending.request.workspace].satisfaction
            satisfactions.setdefault(pending.request.service, []).append(satisfaction)
        for service, service_satisfactions in satisfactions.items():
            least = min(service_satisfactions)
            count = sum(
                value <= least + YIELD_MARGIN_RATIO for value in service_satisfactions
            )
            contention = Contention(
                least, min(count, max_count), now + CONTENTION_LIFETIME_SECONDS
            )
            fleet_load.update_contention(service, contention)
