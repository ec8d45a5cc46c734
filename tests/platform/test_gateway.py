"""A router of published routes between stand-ins of the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from sycamorehaven.daemon import drain_gateway
from tests.support.platform import HOST, KEY, build_configuration, wait_until

if TYPE_CHECKING:
    from tests.support.platform import GatewayScene


async def send_request(
    scene: GatewayScene,
    path: str,
    method: str = "GET",
    key: str = KEY,
    attempt: str = "a1",
    **more: str,
) -> tuple[int, bytes, Any]:
    """Return status, body and headers of an answer."""
    headers = {
        "Host": HOST,
        "Sycamorehaven-Attempt-Id": attempt,
        "Sycamorehaven-Key": key,
        "Sycamorehaven-Deadline-Ms": "3000",
        **more,
    }
    async with (
        aiohttp.ClientSession() as client,
        client.request(method, f"http://{scene.front}{path}", headers=headers) as got,
    ):
        return got.status, await got.read(), got.headers


def list_executed_attempts(scene: GatewayScene) -> list[str]:
    return [run for server in scene.servers for run in server.ran]


async def wait_for_revision(scene: GatewayScene, revision: int) -> None:
    """Wait until the router has a revision of the store."""
    await wait_until(lambda: scene.board.routing.revision >= revision)


async def test_server_response_is_relayed_unchanged(scene: GatewayScene) -> None:
    status, body, headers = await send_request(scene, "/look/1?q=%2F")
    assert (status, body[:3]) == (200, b"by ")
    assert headers["Sycamorehaven-Response-Signature"].startswith("by-s")
    sent = next(server.headers[0] for server in scene.servers if server.headers)
    assert sent["Sycamorehaven-Tenant"] == "oakcourt"
    assert "Sycamorehaven-Key" not in sent
    assert sent["Host"] == HOST
    assert 0 < int(sent["Sycamorehaven-Deadline-Ms"]) <= 3000
    assert sent["Sycamorehaven-Expect-Instance"] in ("s1", "s2")


async def test_client_values_of_router_controlled_headers_are_dropped(
    scene: GatewayScene,
) -> None:
    await send_request(
        scene,
        "/open/1",
        **{
            "Kv-From": "10.0.0.1:1/x",
            "Kv-Fetch": "10.0.0.1:1",
            "Sycamorehaven-Pin-Ms": "900",
            "Sycamorehaven-Cache-Retain": "r",
            "Sycamorehaven-Tenant": "elmgrove",
        },
    )
    sent = next(server.headers[0] for server in scene.servers if server.headers)
    assert not {
        "Kv-From",
        "Kv-Fetch",
        "Sycamorehaven-Pin-Ms",
        "Sycamorehaven-Cache-Retain",
        "Sycamorehaven-Tenant",
    } & set(sent)


async def test_unknown_key_and_path_are_refused_except_on_public_route(
    scene: GatewayScene,
) -> None:
    assert (await send_request(scene, "/look/1", key="wrong"))[0] == 401
    assert (await send_request(scene, "/nowhere/1"))[0] == 404
    assert (await send_request(scene, "/open/1", key="wrong"))[0] == 200
    assert len(list_executed_attempts(scene)) == 1


async def test_lost_response_to_non_idempotent_request_is_not_retried(
    scene: GatewayScene,
) -> None:
    for server in scene.servers:
        server.behaviour = "lose"
    status, _, headers = await send_request(scene, "/book/1", "POST")
    assert status == 502
    assert "Retry-After" not in headers
    assert list_executed_attempts(scene) == ["a1"]


async def test_lost_response_to_idempotent_request_is_retried_elsewhere(
    scene: GatewayScene,
) -> None:
    scene.servers[0].behaviour = "lose"
    for number in range(6):
        assert (await send_request(scene, "/look/1", attempt=f"a{number}"))[0] == 200


async def test_refusal_of_unexecuted_request_has_retry_after(
    scene: GatewayScene,
) -> None:
    for server in scene.servers:
        server.behaviour = "shed"
    status, _, headers = await send_request(scene, "/book/1", "POST")
    assert status == 503
    assert 0.0 < float(headers["Retry-After"]) <= 1.0
    assert not list_executed_attempts(scene)


async def test_resumable_stream_continues_on_another_server(
    scene: GatewayScene,
) -> None:
    scene.servers[0].behaviour = "break"
    whole = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))
    for number in range(4):
        status, body, _ = await send_request(
            scene, "/stream/1", "POST", attempt=f"a{number}"
        )
        assert (status, body) == (200, whole)
    assert scene.servers[0].ran, "no request reached the server that breaks streams"


async def test_broken_non_resumable_stream_is_visible_to_client(
    scene: GatewayScene,
) -> None:
    for server in scene.servers:
        server.behaviour = "break"
    try:
        await send_request(scene, "/once-stream/1", "POST")
    except aiohttp.ClientPayloadError:
        assert list_executed_attempts(scene) == ["a1"]
    else:
        raise AssertionError("a broken stream looked whole")


async def test_client_disconnect_cancels_request_at_server(scene: GatewayScene) -> None:
    for server in scene.servers:
        server.behaviour = "hang"
    asking = asyncio.create_task(send_request(scene, "/book/1", "POST"))
    await wait_until(lambda: list_executed_attempts(scene))
    asking.cancel()
    await wait_until(lambda: sum(server.cancelled for server in scene.servers))


async def test_draining_server_receives_no_requests(scene: GatewayScene) -> None:
    scene.register(scene.servers[0], "draining")
    await wait_for_revision(scene, scene.store.revision)
    for number in range(6):
        await send_request(scene, "/look/1", attempt=f"a{number}")
    assert not scene.servers[0].ran


async def test_malformed_server_entries_are_ignored(scene: GatewayScene) -> None:
    scene.store.put("servers/torn", b"{\xff")
    scene.store.put("servers/odd", {"service": 7, "address": "x", "state": "ready"})
    scene.store.put("servers/new", {**scene.servers[0].describe(), "state": "odd"})
    await wait_for_revision(scene, scene.store.revision)
    assert scene.board.routing.list_server_ids() == {"s1", "s2"}
    assert (await send_request(scene, "/look/1"))[0] == 200


async def test_malformed_configuration_keeps_previous_one(
    scene: GatewayScene,
) -> None:
    scene.store.put("op/config", {"version": 2, "routes": "none"})
    await wait_for_revision(scene, scene.store.revision)
    assert (await send_request(scene, "/look/1"))[0] == 200


async def test_revoked_key_stays_refused_while_store_is_down(
    scene: GatewayScene,
) -> None:
    scene.store.put("op/config", build_configuration(2, tenants=[]))
    await wait_for_revision(scene, scene.store.revision)
    scene.store.status = 503
    assert (await send_request(scene, "/look/1"))[0] == 401
    assert (await send_request(scene, "/open/1"))[0] == 200


async def test_usage_window_accepts_workspace_that_expired_twice(
    scene: GatewayScene,
) -> None:
    usage = scene.board.fleet_load.usage_window
    for now in (0.0, 1.0, 2.0):
        usage.add("oakcourt", 1.0, 1.0, now)
    for now in (5.0, 6.5, 20.0):
        assert usage.get_received("oakcourt", now) >= 0.0
        usage.get_fair_share(now)


async def test_handover_closes_idle_connections(
    scene: GatewayScene,
) -> None:
    async with aiohttp.ClientSession() as client:
        headers = {"Host": HOST, "Sycamorehaven-Attempt-Id": "a1"}
        url = f"http://{scene.front}/open/1"
        async with client.get(url, headers=headers) as got:
            assert got.status == 200
        assert scene.gateway is not None
        await scene.gateway.hand_over()
        try:
            async with client.get(url, headers=headers):
                raise AssertionError("a draining router took another request")
        except aiohttp.ClientConnectionError:
            assert list_executed_attempts(scene) == ["a1"]


async def test_readiness_fails_while_draining(scene: GatewayScene) -> None:
    async with aiohttp.ClientSession() as client:
        url = f"http://{scene.readiness}/readyz"
        async with client.get(url) as got:
            assert got.status == 200
        scene.board.lifecycle.begin_draining()
        async with client.get(url) as got:
            assert got.status == 503


async def test_forced_drain_does_not_wait_for_long_request(
    scene: GatewayScene,
) -> None:
    for server in scene.servers:
        server.behaviour = "hang"
    asking = asyncio.create_task(send_request(scene, "/book/1", "POST"))
    await wait_until(lambda: list_executed_attempts(scene))
    assert scene.gateway is not None
    forced = asyncio.Event()
    draining = asyncio.create_task(drain_gateway(scene.gateway, 8.0, 0.1, forced))
    await asyncio.sleep(0.5)
    try:
        await send_request(scene, "/open/1", attempt="a2")
        raise AssertionError("a draining router took another request")
    except aiohttp.ClientConnectionError:
        assert not asking.done()
    forced.set()
    assert not await draining
    asking.cancel()


async def test_stream_not_resumed_before_deadline_is_logged_as_timeout(
    scene: GatewayScene,
) -> None:
    scene.store.remove("servers/s2")
    await wait_for_revision(scene, scene.store.revision)
    scene.servers[0].behaviour, scene.servers[0].later = "break", "hang"
    lines: list[tuple[str, dict[str, Any]]] = []
    assert scene.gateway is not None
    scene.gateway.decisions.record = (  # type: ignore[method-assign]
        lambda event, **fields: lines.append((event, fields))
    )
    broken = False
    try:
        await send_request(
            scene, "/stream/1", "POST", **{"Sycamorehaven-Deadline-Ms": "900"}
        )
    except aiohttp.ClientError:
        broken = True
    assert broken
    ends = [fields for event, fields in lines if event == "request_ended"]
    assert [end["outcome"] for end in ends] == ["backend_timeout"]
