"""Servers that name a limit on the requests that they take."""

from __future__ import annotations

import asyncio
import bisect
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from tests.support.gateway_client import send_request

if TYPE_CHECKING:
    from tests.support.gateway_harness import FakeServer, GatewayHarness

SETTLE_SECONDS = 3.0
"""Time after a limit was first named from which it must be kept."""
WINDOW_SECONDS = 4.0
"""Length of the windows in which requests are counted."""
REQUESTS_PER_SECOND = 20.0


def compute_allowance(limit: float) -> float:
    """Return how many requests may arrive in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5.0


def count_most_in_window(times: list[float]) -> int:
    """Return the largest number of requests in any window."""
    ordered = sorted(times)
    return max(
        (
            bisect.bisect_left(ordered, time + WINDOW_SECONDS) - index
            for index, time in enumerate(ordered)
        ),
        default=0,
    )


def list_settled_arrivals(server: FakeServer) -> list[float]:
    """Return the times of arrival from when the limit must be kept."""
    return [
        time
        for time in server.received_at
        if time >= server.received_at[0] + SETTLE_SECONDS
    ]


async def send_steadily(
    harness: GatewayHarness, seconds: float, path: str = "/look/x"
) -> list[int]:
    """Send requests at a steady rate; return the statuses of the responses."""
    tasks = []
    for number in range(round(REQUESTS_PER_SECOND * seconds)):
        request = send_request(harness, path, attempt=f"a{number}")
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    return [status for status, _, _ in await asyncio.gather(*tasks)]


async def test_server_gets_far_more_requests_than_the_limit_that_it_names(
    harness: GatewayHarness,
) -> None:
    limited = harness.servers[0]
    limited.statement_headers = CIMultiDict({"Server-Limit": "2.0"})
    statuses = await send_steadily(harness, SETTLE_SECONDS + WINDOW_SECONDS + 1.0)
    assert set(statuses) == {200}
    most = count_most_in_window(list_settled_arrivals(limited))
    assert most <= compute_allowance(2.0)
