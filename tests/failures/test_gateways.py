"""Test router processes that serve the routes published in the store."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import aiohttp

from sycamorehaven.decisions.crash_blame import MIN_CRASHES
from tests.soak.backend import (
    CRASH_PATH,
    EVENT_INTERVAL_SECONDS,
    STREAM_EVENT_COUNT,
    build_body,
    build_event,
)
from tests.soak.fleet import ROUTER_HOSTS, SERVICE_BY_SERVER, SHUTDOWN_GRACE_SECONDS
from tests.soak.invariants import CONFIGURATION_SECONDS
from tests.support.fleet import wait_for
from tests.support.gateway_harness import ROUTE_HOST

if TYPE_CHECKING:
    from tests.soak.fleet import SoakFleet

RESTART_DETECTION_SECONDS = 1.5
"""Seconds within which routers learn that a server has restarted."""
TAKEN_UP_STREAMS = 12
"""Number of streams that clients take up after their router was killed."""
PLAIN_SERVERS = [
    name for name, service in SERVICE_BY_SERVER.items() if service == "plain"
]


async def send_request(
    fleet: SoakFleet,
    router: str,
    path: str,
    attempt: str,
    method: str = "GET",
    extra_headers: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send a request; return status and body, or 0 and b"" if it failed."""
    headers = {
        "Host": ROUTE_HOST,
        "Sycamorehaven-Attempt-Id": attempt,
        "Sycamorehaven-Key": fleet.get_newest_key(),
        "Sycamorehaven-Deadline-Ms": "3000",
        **(extra_headers or {}),
    }
    url = f"http://{fleet.caller_proxies[router].address}{path}"
    try:
        async with (
            aiohttp.ClientSession() as client,
            client.request(method, url, headers=headers) as response,
        ):
            return response.status, await response.read()
    except aiohttp.ClientError:
        return 0, b""


async def test_reload_takes_changed_settings(soak_fleet: SoakFleet) -> None:
    host = ROUTER_HOSTS[0]
    soak_fleet.write_settings(host, ratio=0.1)
    soak_fleet.send_signal(host, signal.SIGHUP)

    async def is_reloaded() -> bool:
        lines = soak_fleet.list_log_events(host, "reloaded")
        return any("gateway" in line["changed"] for line in lines)

    await wait_for(is_reloaded)
    assert await send_request(soak_fleet, host, "/look/r1", "r1") == (
        200,
        build_body("r1"),
    )


async def test_invalid_settings_change_nothing(soak_fleet: SoakFleet) -> None:
    host = ROUTER_HOSTS[0]
    soak_fleet.write_settings(host).write_text("[router\n")
    soak_fleet.send_signal(host, signal.SIGHUP)
    await asyncio.sleep(0.5)
    assert (await send_request(soak_fleet, host, "/look/r1", "r1"))[0] == 200
    assert not soak_fleet.list_log_events(host, "reloaded")
    soak_fleet.write_settings(host)
    soak_fleet.send_signal(host, signal.SIGHUP)

    async def is_reloaded() -> bool:
        return bool(soak_fleet.list_log_events(host, "reloaded"))

    await wait_for(is_reloaded)


async def test_stream_ends_whole_while_its_router_drains(soak_fleet: SoakFleet) -> None:
    host = ROUTER_HOSTS[0]
    stream = asyncio.create_task(
        send_request(soak_fleet, host, "/stream/s", "s", "POST")
    )

    async def has_begun() -> bool:
        return any(run.attempt == "s" for run in soak_fleet.collect_record().runs)

    await wait_for(has_begun)
    took = await soak_fleet.terminate(host, signal.SIGTERM)
    assert took < SHUTDOWN_GRACE_SECONDS
    whole = b"".join(build_event("s", number) for number in range(STREAM_EVENT_COUNT))
    assert await stream == (200, whole)
    assert soak_fleet.processes[host].returncode == 0
    assert soak_fleet.list_log_events(host, "stopped")[0]["cut"] == 0


async def test_streams_of_a_killed_router_go_on_at_their_software_version(
    soak_fleet: SoakFleet,
) -> None:
    soak_fleet.versions["e2"] = "v2"
    soak_fleet.register("e2")
    killed, *others = ROUTER_HOSTS
    # All routers have read the entry by then, and know each other.
    await asyncio.sleep(2.0)
    streams = [
        asyncio.create_task(
            send_request(soak_fleet, killed, "/stream/s", f"s{number}", "POST")
        )
        for number in range(TAKEN_UP_STREAMS)
    ]

    def map_servers() -> dict[str, str]:
        return {run.attempt: run.server for run in soak_fleet.collect_record().runs}

    async def have_begun() -> bool:
        return len(map_servers()) == TAKEN_UP_STREAMS

    await wait_for(have_begun)
    await asyncio.sleep(3 * EVENT_INTERVAL_SECONDS)
    await soak_fleet.terminate(killed, signal.SIGKILL)
    assert await asyncio.gather(*streams) == [(0, b"")] * TAKEN_UP_STREAMS
    answers = await asyncio.gather(
        *(
            send_request(
                soak_fleet,
                others[number % 2],
                "/stream/s",
                f"t{number}",
                "POST",
                {"Last-Event-Id": "0", "Resumes": f"s{number}"},
            )
            for number in range(TAKEN_UP_STREAMS)
        )
    )
    assert [status for status, _ in answers] == [200] * TAKEN_UP_STREAMS
    servers = map_servers()
    assert {servers[f"s{number}"] for number in range(TAKEN_UP_STREAMS)} == {
        "e1",
        "e2",
    }
    for number in range(TAKEN_UP_STREAMS):
        assert servers[f"t{number}"] == servers[f"s{number}"], number


async def test_router_without_the_store_follows_its_peers(
    soak_fleet: SoakFleet,
) -> None:
    host = ROUTER_HOSTS[0]
    soak_fleet.store_proxies[host].resets_new_connections = True
    soak_fleet.store_proxies[host].reset_connections()
    soak_fleet.publish()
    began = time.monotonic()

    async def is_known() -> bool:
        return (await send_request(soak_fleet, host, "/look/p", "p"))[0] == 200

    async def is_loss_logged() -> bool:
        return bool(soak_fleet.list_log_events(host, "dependency_lost"))

    await wait_for(is_known)
    assert time.monotonic() - began < CONFIGURATION_SECONDS
    lines = soak_fleet.list_log_events(host, "configuration_in_force")
    assert lines[-1]["origin"] in ROUTER_HOSTS[1:]
    # Peers may tell the configuration before the next read of the store fails.
    await wait_for(is_loss_logged)
    assert time.monotonic() - began < CONFIGURATION_SECONDS


async def test_request_that_crashes_servers_is_quarantined(
    soak_fleet: SoakFleet,
) -> None:
    path = f"/look/{CRASH_PATH}"

    def count_crashes() -> int:
        return sum(run.path == path for run in soak_fleet.collect_record().runs)

    for number in range(MIN_CRASHES):
        await send_request(soak_fleet, ROUTER_HOSTS[number % 2], path, f"x{number}")
        await asyncio.sleep(0.2)
        for name in PLAIN_SERVERS:
            if soak_fleet.processes[name].returncode is not None:
                await soak_fleet.start_server(name)
        await asyncio.sleep(RESTART_DETECTION_SECONDS)
        if count_crashes() >= MIN_CRASHES:
            break
    crashes = count_crashes()
    assert crashes >= MIN_CRASHES
    for router in ROUTER_HOSTS:
        assert (await send_request(soak_fleet, router, path, f"y-{router}"))[0] == 503
    assert count_crashes() == crashes
