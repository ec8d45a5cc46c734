"""Servers that turn requests away and ask for rest."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from multidict import CIMultiDict

from tests.failures.test_server_limits import send_steadily
from tests.support.gateway_client import send_request

if TYPE_CHECKING:
    from tests.support.gateway_harness import FakeServer, GatewayHarness

REST_SECONDS = 2.0
GRACE_SECONDS = 0.5
"""Time after the refusal in which requests may still arrive."""
MAX_LATE_REQUESTS = 2
"""Requests that may arrive later, before the rest is over."""


def ask_for_rest(server: FakeServer) -> None:
    """Let a server turn all requests away and ask for rest."""
    server.behaviour = "shed"
    server.statement_headers = CIMultiDict({"Retry-After": str(REST_SECONDS)})


def count_late_requests(server: FakeServer) -> int:
    """Return the requests within the first rest, after the time of grace."""
    refused_at = server.received_at[0]
    return sum(
        refused_at + GRACE_SECONDS < arrival < refused_at + REST_SECONDS
        for arrival in server.received_at
    )


async def test_server_that_asked_for_rest_goes_on_getting_requests(
    harness: GatewayHarness,
) -> None:
    ask_for_rest(harness.servers[0])
    statuses = await send_steadily(harness, REST_SECONDS)
    assert set(statuses) == {200}
    assert count_late_requests(harness.servers[0]) <= MAX_LATE_REQUESTS


async def test_servers_that_all_asked_for_rest_go_on_getting_requests(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        ask_for_rest(server)
    await send_steadily(harness, REST_SECONDS)
    for server in harness.servers:
        assert count_late_requests(server) <= MAX_LATE_REQUESTS


async def test_request_is_refused_at_once_while_all_servers_rest(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        ask_for_rest(server)
        await send_request(harness, "/book/x", "POST", attempt=server.name)
    await send_request(harness, "/book/x", "POST", attempt="both")
    began = time.monotonic()
    status, body, headers = await send_request(harness, "/look/x", attempt="late")
    problem = msgspec.json.decode(body)
    assert (status, problem["code"], problem["was_run"]) == (
        503,
        "servers_resting",
        "no",
    )
    assert time.monotonic() - began < 0.1
    assert 0.0 < float(headers["Retry-After"]) <= 1.0
