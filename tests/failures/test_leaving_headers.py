"""Servers that say in their responses that they leave."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from tests.failures.test_server_limits import send_steadily
from tests.support.gateway_client import COMPLETE_STREAM, send_request

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

DRAIN_SECONDS = 0.5
"""Time after the response that said so in which requests may still arrive; the
users allow two seconds."""


async def test_server_that_says_it_leaves_goes_on_getting_requests(
    harness: GatewayHarness,
) -> None:
    leaving = harness.servers[0]
    leaving.statement_headers = CIMultiDict({"Server-Leaving": "1"})
    statuses = await send_steadily(harness, 2.0)
    assert set(statuses) == {200}
    told_at = leaving.received_at[0]
    assert all(arrival < told_at + DRAIN_SECONDS for arrival in leaving.received_at)


async def test_server_that_leaves_stays_away_although_the_list_calls_it_ready(
    harness: GatewayHarness,
) -> None:
    leaving = harness.servers[0]
    leaving.statement_headers = CIMultiDict({"Server-Leaving": "1"})
    await send_steadily(harness, 0.5)
    harness.register(leaving)
    await harness.wait_for_store()
    harness.store.status = 503
    before = len(leaving.received_at)
    statuses = await send_steadily(harness, 1.0)
    assert set(statuses) == {200}
    assert len(leaving.received_at) == before


async def test_successor_at_the_address_of_a_server_that_left_is_used(
    harness: GatewayHarness,
) -> None:
    leaving = harness.servers[0]
    leaving.statement_headers = CIMultiDict({"Server-Leaving": "1"})
    await send_steadily(harness, 0.5)
    leaving.statement_headers = CIMultiDict()
    leaving.started_at_ms = 2
    harness.register(leaving)
    await harness.wait_for_store()
    began = time.monotonic()
    await send_steadily(harness, 1.0)
    assert any(arrival >= began for arrival in leaving.received_at)


async def test_stream_of_a_server_that_leaves_is_finished_there(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.statement_headers = CIMultiDict({"Server-Leaving": "1"})
    status, body, _ = await send_request(harness, "/stream/x", "POST", attempt="a1")
    assert (status, body) == (200, COMPLETE_STREAM)


async def test_request_is_refused_at_once_when_all_servers_leave(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.statement_headers = CIMultiDict({"Server-Leaving": "1"})
    await send_steadily(harness, 0.5)
    began = time.monotonic()
    status, _, headers = await send_request(harness, "/look/x", attempt="late")
    assert status == 503
    assert "Retry-After" in headers
    assert time.monotonic() - began < 0.2
