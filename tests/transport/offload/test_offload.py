"""Requests that a router without time leaves to others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.transport.offload.preface import PREFACE, PrefaceReader
from tests.support.gateway_client import COMPLETE_STREAM, send_request
from tests.support.gateway_harness import wait_until

if TYPE_CHECKING:
    from tests.support.gateway_pair import GatewayPair


# Clients of a workspace may depend on one host beside others that are idle.
async def test_host_without_time_rejects_requests_beside_idle_hosts(
    gateway_pair: GatewayPair,
) -> None:
    gateway_pair.keep_busy()
    statuses = await gateway_pair.flood()
    assert statuses[-10:] == [200] * 10, statuses


async def test_stream_arrives_whole_from_another_router(
    gateway_pair: GatewayPair,
) -> None:
    gateway_pair.keep_busy()
    await gateway_pair.flood()
    status, body, headers = await send_request(gateway_pair, "/stream/x", "POST")
    assert (status, body) == (200, COMPLETE_STREAM)
    assert headers["Connection"] == "close"
    lifecycle = gateway_pair.board.lifecycle
    await wait_until(lambda: lifecycle.offloaded_requests == 0)


async def test_request_at_a_router_that_is_gone_gets_an_answer(
    gateway_pair: GatewayPair,
) -> None:
    gateway_pair.keep_busy()
    await gateway_pair.flood()
    for server in gateway_pair.servers:
        server.behaviour = "hang"
    request = asyncio.create_task(send_request(gateway_pair, "/look/x"))
    lifecycle = gateway_pair.board.lifecycle
    await wait_until(lambda: lifecycle.offloaded_requests == 1)
    await wait_until(lambda: any(s.run_attempt_ids for s in gateway_pair.servers))
    assert gateway_pair.other is not None
    await gateway_pair.other.stop()
    gateway_pair.other = None
    status, body, _ = await request
    assert status in {502, 503}, body
    await wait_until(lambda: lifecycle.offloaded_requests == 0)


async def test_request_is_rejected_if_the_other_router_refuses_connections(
    gateway_pair: GatewayPair,
) -> None:
    gateway_pair.keep_busy()
    await gateway_pair.flood()
    assert gateway_pair.other is not None
    gateway_pair.other.stop_accepting()
    statuses = await gateway_pair.flood(2)
    assert statuses == [503, 503]


async def test_server_stops_when_the_client_of_an_offloaded_request_leaves(
    gateway_pair: GatewayPair,
) -> None:
    gateway_pair.keep_busy()
    await gateway_pair.flood()
    for server in gateway_pair.servers:
        server.behaviour = "hang"
    request = asyncio.create_task(send_request(gateway_pair, "/look/x"))
    lifecycle = gateway_pair.board.lifecycle
    await wait_until(lambda: lifecycle.offloaded_requests == 1)
    await wait_until(lambda: gateway_pair.servers[0].run_attempt_ids)
    request.cancel()
    await wait_until(lambda: lifecycle.offloaded_requests == 0)
    await wait_until(lambda: any(s.cancelled_count for s in gateway_pair.servers))
    assert sum(s.cancelled_count for s in gateway_pair.servers) == 1


def test_preface_is_found_in_parts_and_only_at_the_beginning() -> None:
    parts = [PREFACE[:3], PREFACE[3:] + b"GET", PREFACE]
    reader = PrefaceReader()
    assert [reader.strip(part) for part in parts] == [b"", b"GET", PREFACE]
    assert reader.is_offloaded
    ordinary = PrefaceReader()
    assert [ordinary.strip(part) for part in (b"GET", PREFACE)] == [b"GET", PREFACE]
    assert not ordinary.is_offloaded
