"""Reports of the workspaces whose requests wait at a router."""

from __future__ import annotations

import asyncio

from sycamorehaven.controllers.candidates import PendingRequest
from sycamorehaven.controllers.shares import (
    MIN_REPORTED_REQUESTS,
    ShareStatus,
    WorkspaceShares,
)
from sycamorehaven.routing.requests import RequestHead, RoutedRequest
from tests.support.doubles import create_board
from tests.support.published_routes import STREAMING_ROUTE

NOW = 1_000.0
STATUSES = {
    "small": ShareStatus(
        is_within_share=True, entitled_ratio=1.0, satisfaction=0.9, fill_level=0.05
    ),
    "flood": ShareStatus(
        is_within_share=True, entitled_ratio=1.0, satisfaction=0.5, fill_level=0.5
    ),
}


def build_pending(workspace: str) -> PendingRequest:
    head = RequestHead("x", 12.0, "", "m", (), 100, 100, None)
    request = RoutedRequest(
        head, "POST", "/", (), b"", STREAMING_ROUTE, "model", workspace, NOW, NOW + 12.0
    )
    return PendingRequest(
        request,
        (),
        frozenset(),
        is_resume=False,
        queued_at=NOW,
        reservation=asyncio.get_running_loop().create_future(),
    )


async def test_waiting_flood_is_reported_beside_a_small_workspace() -> None:
    board = create_board()
    for _ in range(20):
        board.fleet_load.record_start(NOW)
    pending = [build_pending("small"), *(build_pending("flood") for _ in range(7))]
    WorkspaceShares(board).record_contention(pending, STATUSES, NOW)
    assert board.fleet_load.count_requests_ahead("model", 1.2, NOW) == 8
    assert board.fleet_load.count_requests_ahead("model", 0.5, NOW) == 1


async def test_router_that_starts_nothing_reports_few_requests() -> None:
    board = create_board()
    pending = [build_pending("small"), *(build_pending("flood") for _ in range(7))]
    WorkspaceShares(board).record_contention(pending, STATUSES, NOW)
    ahead = board.fleet_load.count_requests_ahead("model", 1.2, NOW)
    assert ahead == MIN_REPORTED_REQUESTS
