"""Servers that name a limit on the requests that they take."""

from __future__ import annotations

import asyncio
import bisect
import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from multidict import CIMultiDict

from sycamorehaven.decisions.server_conditions import MIN_LIMIT_RATE
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
    assert set(statuses) == {200}, Counter(statuses)
    most = count_most_in_window(list_settled_arrivals(limited))
    assert most <= compute_allowance(2.0)


async def test_limited_server_gets_its_part_until_its_responses_name_no_limit(
    harness: GatewayHarness,
) -> None:
    limited = harness.servers[0]
    limited.statement_headers = CIMultiDict({"Server-Limit": "4.0"})
    await send_steadily(harness, 4.0)
    begin = limited.received_at[0] + 2.0
    assert sum(arrival >= begin for arrival in limited.received_at) >= 5
    limited.statement_headers = CIMultiDict()
    before = len(limited.received_at)
    statuses = await send_steadily(harness, 3.0)
    assert set(statuses) == {200}, Counter(statuses)
    # Half of the requests go to each server again.
    assert len(limited.received_at) - before >= 0.7 * REQUESTS_PER_SECOND


async def test_requests_beyond_the_limits_of_all_servers_are_refused_at_once(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.statement_headers = CIMultiDict({"Server-Limit": "1.0"})
    await send_steadily(harness, 2.0)
    retry_times = set()
    for number in range(10):
        began = time.monotonic()
        status, body, headers = await send_request(
            harness, "/look/x", attempt=f"b{number}"
        )
        if status == 200:
            continue
        problem = msgspec.json.decode(body)
        assert (status, problem["code"], problem["was_run"]) == (
            503,
            "servers_limited",
            "no",
        )
        assert "requests per second" in problem["detail"]
        # A request waits only if its turn may come before its wait is over.
        assert time.monotonic() - began < 0.35 * 0.4 + 0.1
        # Clients wait for a third of the time that they have left at most.
        assert 0.0 < float(headers["Retry-After"]) <= 1.0
        retry_times.add(headers["Retry-After"])
    assert retry_times


async def test_limit_too_small_for_any_response_is_found_to_have_ended(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.statement_headers = CIMultiDict({"Server-Limit": "0.000001"})
    await send_steadily(harness, 0.5)
    for server in harness.servers:
        server.statement_headers = CIMultiDict()
    await asyncio.sleep(1.0 / MIN_LIMIT_RATE)
    await send_steadily(harness, 1.0)
    statuses = await send_steadily(harness, 1.0)
    assert set(statuses) == {200}, Counter(statuses)
