"""A router of published routes between stand-ins of the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from sycamorehaven.daemon import drain_gateway
from tests.support.platform import HOST, KEY, build_configuration, wait_until

if TYPE_CHECKING:
    from tests.support.platform import GatewayScene


async def ask(
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


def list_runs(scene: GatewayScene) -> list[str]:
    return [run for server in scene.servers for run in server.ran]


async def read_again(scene: GatewayScene, revision: int) -> None:
    """Wait until the router has a revision of the store."""
    await wait_until(lambda: scene.board.routing.revision >= revision)


async def test_answer_is_the_servers_own(scene: GatewayScene) -> None:
    status, body, headers = await ask(scene, "/look/1?q=%2F")
    assert (status, body[:3]) == (200, b"by ")
    assert headers["Sycamorehaven-Response-Signature"].startswith("by-s")
    sent = next(server.headers[0] for server in scene.servers if server.headers)
    assert sent["Sycamorehaven-Tenant"] == "oakcourt"
    assert "Sycamorehaven-Key" not in sent
    assert sent["Host"] == HOST
    assert 0 < int(sent["Sycamorehaven-Deadline-Ms"]) <= 3000
    assert sent["Sycamorehaven-Expect-Instance"] in ("s1", "s2")


async def test_headers_of_the_router_are_not_taken_from_clients(
    scene: GatewayScene,
) -> None:
    await ask(
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


async def test_unknown_key_and_path_are_refused(scene: GatewayScene) -> None:
    assert (await ask(scene, "/look/1", key="wrong"))[0] == 401
    assert (await ask(scene, "/nowhere/1"))[0] == 404
    assert (await ask(scene, "/open/1", key="wrong"))[0] == 200
    assert len(list_runs(scene)) == 1


async def test_lost_answer_of_a_booking_is_not_repeated(scene: GatewayScene) -> None:
    for server in scene.servers:
        server.behaviour = "lose"
    status, _, headers = await ask(scene, "/book/1", "POST")
    assert status == 502
    assert "Retry-After" not in headers
    assert list_runs(scene) == ["a1"]


async def test_lost_answer_of_a_look_up_is_repeated_elsewhere(
    scene: GatewayScene,
) -> None:
    scene.servers[0].behaviour = "lose"
    for number in range(6):
        assert (await ask(scene, "/look/1", attempt=f"a{number}"))[0] == 200


async def test_refusal_of_what_did_not_run_says_when_to_come_back(
    scene: GatewayScene,
) -> None:
    for server in scene.servers:
        server.behaviour = "shed"
    status, _, headers = await ask(scene, "/book/1", "POST")
    assert status == 503
    assert 0.0 < float(headers["Retry-After"]) <= 1.0
    assert not list_runs(scene)


async def test_resumable_stream_goes_on_elsewhere(scene: GatewayScene) -> None:
    scene.servers[0].behaviour = "break"
    whole = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))
    for number in range(4):
        status, body, _ = await ask(scene, "/stream/1", "POST", attempt=f"a{number}")
        assert (status, body) == (200, whole)
    assert scene.servers[0].ran, "no request reached the server that breaks streams"


async def test_other_stream_breaks_visibly(scene: GatewayScene) -> None:
    for server in scene.servers:
        server.behaviour = "break"
    try:
        await ask(scene, "/once-stream/1", "POST")
    except aiohttp.ClientPayloadError:
        assert list_runs(scene) == ["a1"]
    else:
        raise AssertionError("a broken stream looked whole")


async def test_work_ends_when_the_client_leaves(scene: GatewayScene) -> None:
    for server in scene.servers:
        server.behaviour = "hang"
    asking = asyncio.create_task(ask(scene, "/book/1", "POST"))
    await wait_until(lambda: list_runs(scene))
    asking.cancel()
    await wait_until(lambda: sum(server.cancelled for server in scene.servers))


async def test_draining_server_gets_nothing(scene: GatewayScene) -> None:
    scene.register(scene.servers[0], "draining")
    await read_again(scene, scene.store.revision)
    for number in range(6):
        await ask(scene, "/look/1", attempt=f"a{number}")
    assert not scene.servers[0].ran


async def test_foreign_and_broken_entries_name_no_server(scene: GatewayScene) -> None:
    scene.store.put("servers/torn", b"{\xff")
    scene.store.put("servers/odd", {"service": 7, "address": "x", "state": "ready"})
    scene.store.put("servers/new", {**scene.servers[0].describe(), "state": "odd"})
    await read_again(scene, scene.store.revision)
    assert scene.board.routing.list_ids() == {"s1", "s2"}
    assert (await ask(scene, "/look/1"))[0] == 200


async def test_malformed_configuration_leaves_the_last_one(
    scene: GatewayScene,
) -> None:
    scene.store.put("op/config", {"version": 2, "routes": "none"})
    await read_again(scene, scene.store.revision)
    assert (await ask(scene, "/look/1"))[0] == 200


async def test_revoked_key_is_refused_and_stays_so_while_the_store_is_down(
    scene: GatewayScene,
) -> None:
    scene.store.put("op/config", build_configuration(2, tenants=[]))
    await read_again(scene, scene.store.revision)
    scene.store.status = 503
    assert (await ask(scene, "/look/1"))[0] == 401
    assert (await ask(scene, "/open/1"))[0] == 200


async def test_a_workspace_that_left_the_window_twice_breaks_nothing(
    scene: GatewayScene,
) -> None:
    usage = scene.board.fleet.usage
    for now in (0.0, 1.0, 2.0):
        usage.add("oakcourt", 1.0, 1.0, now)
    for now in (5.0, 6.5, 20.0):
        assert usage.get_received("oakcourt", now) >= 0.0
        usage.get_fair_share(now)


async def test_idle_connections_close_before_the_services_stop(
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
            assert list_runs(scene) == ["a1"]


async def test_readiness_follows_the_draining(scene: GatewayScene) -> None:
    async with aiohttp.ClientSession() as client:
        url = f"http://{scene.readiness}/readyz"
        async with client.get(url) as got:
            assert got.status == 200
        scene.board.lifecycle.begin_draining()
        async with client.get(url) as got:
            assert got.status == 503


async def test_long_request_does_not_keep_a_draining_router_open(
    scene: GatewayScene,
) -> None:
    for server in scene.servers:
        server.behaviour = "hang"
    asking = asyncio.create_task(ask(scene, "/book/1", "POST"))
    await wait_until(lambda: list_runs(scene))
    assert scene.gateway is not None
    forced = asyncio.Event()
    draining = asyncio.create_task(drain_gateway(scene.gateway, 8.0, 0.1, forced))
    await asyncio.sleep(0.5)
    try:
        await ask(scene, "/open/1", attempt="a2")
        raise AssertionError("a draining router took another request")
    except aiohttp.ClientConnectionError:
        assert not asking.done()
    forced.set()
    assert not await draining
    asking.cancel()


async def test_stream_that_cannot_go_on_in_time_is_logged_as_late(
    scene: GatewayScene,
) -> None:
    scene.store.remove("servers/s2")
    await read_again(scene, scene.store.revision)
    scene.servers[0].behaviour, scene.servers[0].later = "break", "hang"
    lines: list[tuple[str, dict[str, Any]]] = []
    assert scene.gateway is not None
    scene.gateway.decisions.record = (  # type: ignore[method-assign]
        lambda event, **fields: lines.append((event, fields))
    )
    broken = False
    try:
        await ask(scene, "/stream/1", "POST", **{"Sycamorehaven-Deadline-Ms": "900"})
    except aiohttp.ClientError:
        broken = True
    assert broken
    ends = [fields for event, fields in lines if event == "request_ended"]
    assert [end["outcome"] for end in ends] == ["backend_timeout"]
