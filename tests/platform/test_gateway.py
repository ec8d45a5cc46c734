"""A router of published routes between stand-ins of the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from sycamorehaven.daemon import drain_gateway
from tests.support.gateway_harness import (
    API_KEY,
    ROUTE_HOST,
    build_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness


async def ask(
    harness: GatewayHarness,
    path: str,
    method: str = "GET",
    key: str = API_KEY,
    attempt: str = "a1",
    **more: str,
) -> tuple[int, bytes, Any]:
    """Return status, body and headers of an answer."""
    headers = {
        "Host": ROUTE_HOST,
        "Sycamorehaven-Attempt-Id": attempt,
        "Sycamorehaven-Key": key,
        "Sycamorehaven-Deadline-Ms": "3000",
        **more,
    }
    async with (
        aiohttp.ClientSession() as client,
        client.request(
            method, f"http://{harness.callers_address}{path}", headers=headers
        ) as got,
    ):
        return got.status, await got.read(), got.headers


def list_runs(harness: GatewayHarness) -> list[str]:
    return [run for server in harness.servers for run in server.run_attempt_ids]


async def read_again(harness: GatewayHarness, revision: int) -> None:
    """Wait until the router has a revision of the store."""
    await wait_until(lambda: harness.board.routing.revision >= revision)


async def test_answer_is_the_servers_own(harness: GatewayHarness) -> None:
    status, body, headers = await ask(harness, "/look/1?q=%2F")
    assert (status, body[:3]) == (200, b"by ")
    assert headers["Sycamorehaven-Response-Signature"].startswith("by-s")
    sent = next(
        server.received_headers[0]
        for server in harness.servers
        if server.received_headers
    )
    assert sent["Sycamorehaven-Tenant"] == "oakcourt"
    assert "Sycamorehaven-Key" not in sent
    assert sent["Host"] == ROUTE_HOST
    assert 0 < int(sent["Sycamorehaven-Deadline-Ms"]) <= 3000
    assert sent["Sycamorehaven-Expect-Instance"] in ("s1", "s2")


async def test_headers_of_the_router_are_not_taken_from_clients(
    harness: GatewayHarness,
) -> None:
    await ask(
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
    sent = next(
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
    } & set(sent)


async def test_unknown_key_and_path_are_refused(harness: GatewayHarness) -> None:
    assert (await ask(harness, "/look/1", key="wrong"))[0] == 401
    assert (await ask(harness, "/nowhere/1"))[0] == 404
    assert (await ask(harness, "/open/1", key="wrong"))[0] == 200
    assert len(list_runs(harness)) == 1


async def test_lost_answer_of_a_booking_is_not_repeated(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "lose"
    status, _, headers = await ask(harness, "/book/1", "POST")
    assert status == 502
    assert "Retry-After" not in headers
    assert list_runs(harness) == ["a1"]


async def test_lost_answer_of_a_look_up_is_repeated_elsewhere(
    harness: GatewayHarness,
) -> None:
    harness.servers[0].behaviour = "lose"
    for number in range(6):
        assert (await ask(harness, "/look/1", attempt=f"a{number}"))[0] == 200


async def test_refusal_of_what_did_not_run_says_when_to_come_back(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "shed"
    status, _, headers = await ask(harness, "/book/1", "POST")
    assert status == 503
    assert 0.0 < float(headers["Retry-After"]) <= 1.0
    assert not list_runs(harness)


async def test_resumable_stream_goes_on_elsewhere(harness: GatewayHarness) -> None:
    harness.servers[0].behaviour = "break"
    whole = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))
    for number in range(4):
        status, body, _ = await ask(harness, "/stream/1", "POST", attempt=f"a{number}")
        assert (status, body) == (200, whole)
    assert harness.servers[0].run_attempt_ids, (
        "no request reached the server that breaks streams"
    )


async def test_other_stream_breaks_visibly(harness: GatewayHarness) -> None:
    for server in harness.servers:
        server.behaviour = "break"
    try:
        await ask(harness, "/once-stream/1", "POST")
    except aiohttp.ClientPayloadError:
        assert list_runs(harness) == ["a1"]
    else:
        raise AssertionError("a broken stream looked whole")


async def test_work_ends_when_the_client_leaves(harness: GatewayHarness) -> None:
    for server in harness.servers:
        server.behaviour = "hang"
    asking = asyncio.create_task(ask(harness, "/book/1", "POST"))
    await wait_until(lambda: list_runs(harness))
    asking.cancel()
    await wait_until(lambda: sum(server.cancelled_count for server in harness.servers))


async def test_draining_server_gets_nothing(harness: GatewayHarness) -> None:
    harness.register(harness.servers[0], "draining")
    await read_again(harness, harness.store.revision)
    for number in range(6):
        await ask(harness, "/look/1", attempt=f"a{number}")
    assert not harness.servers[0].run_attempt_ids


async def test_foreign_and_broken_entries_name_no_server(
    harness: GatewayHarness,
) -> None:
    harness.store.put("servers/torn", b"{\xff")
    harness.store.put("servers/odd", {"service": 7, "address": "x", "state": "ready"})
    harness.store.put(
        "servers/new", {**harness.servers[0].build_entry(), "state": "odd"}
    )
    await read_again(harness, harness.store.revision)
    assert harness.board.routing.list_ids() == {"s1", "s2"}
    assert (await ask(harness, "/look/1"))[0] == 200


async def test_malformed_configuration_leaves_the_last_one(
    harness: GatewayHarness,
) -> None:
    harness.store.put("op/config", {"version": 2, "routes": "none"})
    await read_again(harness, harness.store.revision)
    assert (await ask(harness, "/look/1"))[0] == 200


async def test_revoked_key_is_refused_and_stays_so_while_the_store_is_down(
    harness: GatewayHarness,
) -> None:
    harness.store.put("op/config", build_configuration(2, tenants=[]))
    await read_again(harness, harness.store.revision)
    harness.store.status = 503
    assert (await ask(harness, "/look/1"))[0] == 401
    assert (await ask(harness, "/open/1"))[0] == 200


async def test_a_workspace_that_left_the_window_twice_breaks_nothing(
    harness: GatewayHarness,
) -> None:
    usage = harness.board.fleet.usage
    for now in (0.0, 1.0, 2.0):
        usage.add("oakcourt", 1.0, 1.0, now)
    for now in (5.0, 6.5, 20.0):
        assert usage.get_received("oakcourt", now) >= 0.0
        usage.get_fair_share(now)


async def test_idle_connections_close_before_the_services_stop(
    harness: GatewayHarness,
) -> None:
    async with aiohttp.ClientSession() as client:
        headers = {"Host": ROUTE_HOST, "Sycamorehaven-Attempt-Id": "a1"}
        url = f"http://{harness.callers_address}/open/1"
        async with client.get(url, headers=headers) as got:
            assert got.status == 200
        assert harness.gateway is not None
        await harness.gateway.hand_over()
        try:
            async with client.get(url, headers=headers):
                raise AssertionError("a draining router took another request")
        except aiohttp.ClientConnectionError:
            assert list_runs(harness) == ["a1"]


async def test_readiness_follows_the_draining(harness: GatewayHarness) -> None:
    async with aiohttp.ClientSession() as client:
        url = f"http://{harness.readiness_address}/readyz"
        async with client.get(url) as got:
            assert got.status == 200
        harness.board.lifecycle.begin_draining()
        async with client.get(url) as got:
            assert got.status == 503


async def test_long_request_does_not_keep_a_draining_router_open(
    harness: GatewayHarness,
) -> None:
    for server in harness.servers:
        server.behaviour = "hang"
    asking = asyncio.create_task(ask(harness, "/book/1", "POST"))
    await wait_until(lambda: list_runs(harness))
    assert harness.gateway is not None
    forced = asyncio.Event()
    draining = asyncio.create_task(drain_gateway(harness.gateway, 8.0, 0.1, forced))
    await asyncio.sleep(0.5)
    try:
        await ask(harness, "/open/1", attempt="a2")
        raise AssertionError("a draining router took another request")
    except aiohttp.ClientConnectionError:
        assert not asking.done()
    forced.set()
    assert not await draining
    asking.cancel()


async def test_stream_that_cannot_go_on_in_time_is_logged_as_late(
    harness: GatewayHarness,
) -> None:
    harness.store.remove("servers/s2")
    await read_again(harness, harness.store.revision)
    harness.servers[0].behaviour, harness.servers[0].behaviour_after_break = (
        "break",
        "hang",
    )
    lines: list[tuple[str, dict[str, Any]]] = []
    assert harness.gateway is not None
    harness.gateway.decisions.record = (  # type: ignore[method-assign]
        lambda event, **fields: lines.append((event, fields))
    )
    broken = False
    try:
        await ask(harness, "/stream/1", "POST", **{"Sycamorehaven-Deadline-Ms": "900"})
    except aiohttp.ClientError:
        broken = True
    assert broken
    ends = [fields for event, fields in lines if event == "request_ended"]
    assert [end["outcome"] for end in ends] == ["backend_timeout"]
