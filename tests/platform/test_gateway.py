"""A router of published routes with stand-ins of store and backend servers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any
from unittest import mock

import aiohttp

from sycamorehaven.decisions import rotation
from sycamorehaven.decisions.arrivals import ArrivalControl
from sycamorehaven.decisions.rotation import MIN_REJECTIONS
from sycamorehaven.gateway_process import drain_gateway
from tests.support.gateway_client import (
    COMPLETE_STREAM,
    send_request,
)
from tests.support.gateway_harness import (
    API_KEY,
    ROUTE_HOST,
    build_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness


def list_executed_attempts(harness: GatewayHarness) -> list[str]:
    """Return the ids of the attempts that any backend server executed."""
    return [run for server in harness.servers for run in server.run_attempt_ids]


def record_decisions(harness: GatewayHarness) -> list[tuple[str, dict[str, Any]]]:
    """Return a list that receives the lines of the decision log."""
    records: list[tuple[str, dict[str, Any]]] = []
    assert harness.gateway is not None
    harness.gateway.decision_log.record = (  # type: ignore[method-assign]
        lambda event, **fields: records.append((event, fields))
    )
    return records


async def test_server_response_is_relayed_unchanged(harness: GatewayHarness) -> None:
    status, body, headers = await send_request(harness, "/look/1?q=%2F")
    assert (status, body[:3]) == (200, b"by ")
    assert headers["Sycamorehaven-Response-Signature"].startswith("by-s")
    received_headers = next(
        server.received_headers[0]
        for server in harness.servers
        if server.received_headers
    )
    assert received_headers["Sycamorehaven-Tenant"] == "oakcourt"
    assert "Sycamorehaven-Key" not in received_headers
    assert received_headers["Host"] == ROUTE_HOST
    assert 0 < int(received_headers["Sycamorehaven-Deadline-Ms"]) <= 3000
    assert received_headers["Sycamorehaven-Expect-Instance"] in ("s1", "s2")


async def test_client_values_of_router_controlled_headers_are_dropped(
    harness: GatewayHarness,
) -> None:
    await send_request(
        harness,
        "/open/1",
        **{
            "Kv-From": "10.0.0.1:1/x",
            "Kv-Fetch": "10.0.0.1:1",
            "Sycamorehaven-Pin-Ms": "900",
            "Sycamorehaven-Cache-Retain": "r",
            "Sycamorehaven-Tenant": "elmgrove",
        },
    )
    received_headers = next(
        server.received_headers[0]
        for server in harness.servers
        if server.received_headers
    )
    assert not {
        "Kv-From",
        "Kv-Fetch",
        "Sycamorehaven-Pin-Ms",
        "Sycamorehaven-Cache-Retain",
        "Sycamorehaven-Tenant",
    } & set(received_headers)


async def test_unknown_key_and_path_are_refused_except_on_public_route(
    harness: GatewayHarness,
) -> None:
    assert (await send_request(harness, "/look/1", key="wrong"))[0] == 401
    assert (await send_request(harness, "/nowhere/1"))[0] == 404
    assert (await send_request(harness, "/open/1", key="wrong"))[0] == 200
    assert len(list_executed_attempts(harness)) == 1


async def test_lost_response_to_non_idempotent_request_is_not_retried(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "lose"
    status, _, headers = await send_request(harness, "/book/1", "POST")
    assert status == 502
    assert "Retry-After" not in headers
    assert list_executed_attempts(harness) == ["a1"]


async def test_lost_response_to_idempotent_request_is_retried_elsewhere(
    harness: GatewayHarness,
) -> None:
    harness.servers[0].behaviour = "lose"
    for number in range(6):
        assert (await send_request(harness, "/look/1", attempt=f"a{number}"))[0] == 200


async def test_refusal_of_unexecuted_request_has_retry_after(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "shed"
    status, _, headers = await send_request(harness, "/book/1", "POST")
    assert status == 503
    assert 0.0 < float(headers["Retry-After"]) <= 1.0
    assert not list_executed_attempts(harness)


async def test_resumable_stream_continues_on_another_server(
    harness: GatewayHarness,
) -> None:
    harness.servers[0].behaviour = "break"
    for number in range(4):
        status, body, _ = await send_request(
            harness, "/stream/1", "POST", attempt=f"a{number}"
        )
        assert (status, body) == (200, COMPLETE_STREAM)
    assert harness.servers[0].run_attempt_ids, (
        "no request reached the server that breaks streams"
    )


async def test_broken_non_resumable_stream_is_visible_to_client(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "break"
    try:
        await send_request(harness, "/once-stream/1", "POST")
    except aiohttp.ClientPayloadError:
        assert list_executed_attempts(harness) == ["a1"]
    else:
        raise AssertionError("a broken stream looked complete to the client")


async def check_stream_is_resumed(
    harness: GatewayHarness, behaviour: str, framing: str
) -> None:
    """Check that clients get whole streams though one server breaks them."""
    harness.servers[0].behaviour = behaviour
    for server in harness.servers:
        server.framing = framing
    for number in range(4):
        status, body, _ = await send_request(
            harness, "/stream/1", "POST", attempt=f"a{number}"
        )
        assert (status, body) == (200, COMPLETE_STREAM)
    assert harness.servers[0].run_attempt_ids, (
        "no request reached the server that breaks streams"
    )


async def check_stream_is_broken(
    harness: GatewayHarness, behaviour: str, framing: str
) -> None:
    """Check that a stream that cannot be resumed does not look complete."""
    for server in harness.servers:
        server.behaviour, server.framing = behaviour, framing
    try:
        response = await send_request(harness, "/once-stream/1", "POST")
    except aiohttp.ClientPayloadError:
        assert list_executed_attempts(harness) == ["a1"]
    else:
        raise AssertionError(f"a broken stream looked complete: {response}")


async def test_stream_closed_inside_an_event_continues_on_another_server(
    harness: GatewayHarness,
) -> None:
    await check_stream_is_resumed(harness, "end_inside_event", "connection")


async def test_chunked_stream_ended_inside_an_event_continues_on_another_server(
    harness: GatewayHarness,
) -> None:
    await check_stream_is_resumed(harness, "end_inside_event", "chunks")


async def test_events_of_two_servers_are_not_joined_after_a_break_in_the_first_event(
    harness: GatewayHarness,
) -> None:
    await check_stream_is_resumed(harness, "break_first_event", "chunks")


async def test_stream_closed_before_its_first_event_starts_on_another_server(
    harness: GatewayHarness,
) -> None:
    await check_stream_is_resumed(harness, "end_at_once", "connection")


async def test_stream_of_a_reset_connection_continues_on_another_server(
    harness: GatewayHarness,
) -> None:
    await check_stream_is_resumed(harness, "reset", "connection")


async def test_non_resumable_stream_closed_inside_an_event_is_visible_to_client(
    harness: GatewayHarness,
) -> None:
    await check_stream_is_broken(harness, "end_inside_event", "connection")


async def test_non_resumable_stream_of_a_reset_connection_is_visible_to_client(
    harness: GatewayHarness,
) -> None:
    await check_stream_is_broken(harness, "reset", "connection")


async def test_broken_stream_resets_connection_of_http_1_0_client(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "break"
    host, _, port = harness.callers_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = [
        "POST /once-stream/1 HTTP/1.0",
        f"Host: {ROUTE_HOST}",
        f"Sycamorehaven-Key: {API_KEY}",
        "Sycamorehaven-Attempt-Id: a1",
    ]
    writer.write("\r\n".join([*head, "", ""]).encode())
    try:
        answer = await reader.read()
    except ConnectionResetError:
        return
    finally:
        writer.close()
    raise AssertionError(f"a broken stream looked complete: {answer!r}")


async def test_end_of_stream_is_recorded_with_its_framing(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.framing = "connection"
    records = record_decisions(harness)
    status, body, _ = await send_request(harness, "/stream/1", "POST")
    assert (status, body) == (200, COMPLETE_STREAM)
    ends = [fields for event, fields in records if event == "stream_ended"]
    assert [
        (end["framing"], end["event_id"], end["unfinished_bytes"]) for end in ends
    ] == [("connection", 5, 0)]


async def test_client_disconnect_cancels_request_at_server(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "hang"
    pending = asyncio.create_task(send_request(harness, "/book/1", "POST"))
    await wait_until(lambda: list_executed_attempts(harness))
    pending.cancel()
    await wait_until(lambda: sum(server.cancelled_count for server in harness.servers))


async def test_draining_server_receives_no_requests(harness: GatewayHarness) -> None:
    harness.register(harness.servers[0], "draining")
    await harness.wait_for_store()
    for number in range(6):
        await send_request(harness, "/look/1", attempt=f"a{number}")
    assert not harness.servers[0].run_attempt_ids


async def test_malformed_server_entries_are_ignored(
    harness: GatewayHarness,
) -> None:
    harness.store.put("servers/torn", b"{\xff")
    harness.store.put("servers/odd", {"service": 7, "address": "x", "state": "ready"})
    harness.store.put(
        "servers/new", {**harness.servers[0].build_entry(), "state": "odd"}
    )
    await harness.wait_for_store()
    assert harness.board.routing.list_server_ids() == {"s1", "s2"}
    assert (await send_request(harness, "/look/1"))[0] == 200


async def test_malformed_configuration_keeps_previous_one(
    harness: GatewayHarness,
) -> None:
    harness.store.put("op/config", {"version": 2, "routes": "none"})
    await harness.wait_for_store()
    assert (await send_request(harness, "/look/1"))[0] == 200


async def test_revoked_key_stays_refused_while_store_is_down(
    harness: GatewayHarness,
) -> None:
    harness.store.put("op/config", build_configuration(2, tenants=[]))
    await harness.wait_for_store()
    harness.store.status = 503
    assert (await send_request(harness, "/look/1"))[0] == 401
    assert (await send_request(harness, "/open/1"))[0] == 200


async def test_usage_window_accepts_workspace_that_expired_twice(
    harness: GatewayHarness,
) -> None:
    usage = harness.board.fleet_load.usage_window
    for now in (0.0, 1.0, 2.0):
        usage.add("oakcourt", 1.0, 1.0, now)
    for now in (5.0, 6.5, 20.0):
        assert usage.get_received("oakcourt", now) >= 0.0
        usage.get_fair_share(now)


async def test_handover_closes_idle_connections(
    harness: GatewayHarness,
) -> None:
    async with aiohttp.ClientSession() as client:
        headers = {"Host": ROUTE_HOST, "Sycamorehaven-Attempt-Id": "a1"}
        url = f"http://{harness.callers_address}/open/1"
        async with client.get(url, headers=headers) as response:
            assert response.status == 200
        assert harness.gateway is not None
        await harness.gateway.hand_over()
        try:
            async with client.get(url, headers=headers):
                raise AssertionError("a draining router accepted another request")
        except aiohttp.ClientConnectionError:
            assert list_executed_attempts(harness) == ["a1"]


async def test_readiness_fails_while_draining(harness: GatewayHarness) -> None:
    async with aiohttp.ClientSession() as client:
        url = f"http://{harness.readiness_address}/readyz"
        async with client.get(url) as response:
            assert response.status == 200
        harness.board.lifecycle.begin_draining()
        async with client.get(url) as response:
            assert response.status == 503


async def test_router_without_time_asks_for_no_new_connections(
    harness: GatewayHarness,
) -> None:
    url = f"http://{harness.readiness_address}/readyz"
    rejecting = mock.patch.object(ArrivalControl, "admit", return_value=False)
    async with aiohttp.ClientSession() as client:
        with (
            rejecting,
            mock.patch.object(rotation, "WINDOW_SECONDS", 60.0),
            # There is no other router to wait for.
            mock.patch.object(rotation, "REPLY_SECONDS", 0.0),
        ):
            for number in range(MIN_REJECTIONS + 1):
                attempt = f"a{number}"
                status, _, _ = await send_request(harness, "/look/1", attempt=attempt)
                assert status == 503
        async with client.get(url) as response:
            assert response.status == 503
    # Connections that are open, and those that still come, are served.
    assert (await send_request(harness, "/look/1"))[0] == 200


async def test_forced_drain_does_not_wait_for_long_request(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "hang"
    pending = asyncio.create_task(send_request(harness, "/book/1", "POST"))
    await wait_until(lambda: list_executed_attempts(harness))
    assert harness.gateway is not None
    forced = asyncio.Event()
    draining = asyncio.create_task(drain_gateway(harness.gateway, 8.0, 0.1, forced))
    await asyncio.sleep(0.5)
    try:
        await send_request(harness, "/open/1", attempt="a2")
        raise AssertionError("a draining router accepted another request")
    except aiohttp.ClientConnectionError:
        assert not pending.done()
    forced.set()
    assert not await draining
    pending.cancel()


async def test_stream_not_resumed_before_deadline_is_logged_as_timeout(
    harness: GatewayHarness,
) -> None:
    harness.store.remove("servers/s2")
    await harness.wait_for_store()
    harness.servers[0].behaviour, harness.servers[0].behaviour_after_break = (
        "break",
        "hang",
    )
    records = record_decisions(harness)
    is_broken = False
    try:
        await send_request(
            harness, "/stream/1", "POST", **{"Sycamorehaven-Deadline-Ms": "900"}
        )
    except aiohttp.ClientError:
        is_broken = True
    assert is_broken
    end_records = [fields for event, fields in records if event == "request_ended"]
    assert [end["outcome"] for end in end_records] == ["backend_timeout"]


async def test_stream_without_pause_ends_at_its_deadline(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "drip"
    started_at = time.monotonic()
    is_broken = False
    try:
        async with asyncio.timeout(5.0):
            await send_request(
                harness, "/stream/1", "POST", **{"Sycamorehaven-Deadline-Ms": "1200"}
            )
    except aiohttp.ClientError:
        is_broken = True
    assert is_broken
    assert 1.0 < time.monotonic() - started_at < 1.7
