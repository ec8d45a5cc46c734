"""Routers of published routes as processes."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import aiohttp

from sycamorehaven.decisions.strikes import MAX_STRIKES
from tests.soak.backend import CRASH, EVENTS, write_body, write_event
from tests.soak.fleet import GRACE, ROUTERS, SERVICES
from tests.soak.promises import CONFIGURATION_TIME
from tests.support.fleet import wait_for
from tests.support.platform import HOST

if TYPE_CHECKING:
    from tests.soak.fleet import SoakFleet

RESTART_KNOWN = 1.5
"""Seconds after which routers know that a server has started again."""
PLAIN = [name for name, service in SERVICES.items() if service == "plain"]


async def ask(
    fleet: SoakFleet, router: str, path: str, attempt: str, method: str = "GET"
) -> tuple[int, bytes]:
    """Return the status and the body of an answer, 0 if it broke."""
    headers = {
        "Host": HOST,
        "Sycamorehaven-Attempt-Id": attempt,
        "Sycamorehaven-Key": fleet.find_key(),
        "Sycamorehaven-Deadline-Ms": "3000",
    }
    url = f"http://{fleet.doors[router].address}{path}"
    try:
        async with (
            aiohttp.ClientSession() as client,
            client.request(method, url, headers=headers) as response,
        ):
            return response.status, await response.read()
    except aiohttp.ClientError:
        return 0, b""


async def test_reload_takes_changed_settings(gateways: SoakFleet) -> None:
    host = ROUTERS[0]
    gateways.write_settings(host, ratio=0.1)
    gateways.send_signal(host, signal.SIGHUP)

    async def is_reloaded() -> bool:
        lines = gateways.list_events(host, "reloaded")
        return any("gateway" in line["changed"] for line in lines)

    await wait_for(is_reloaded)
    assert await ask(gateways, host, "/look/r1", "r1") == (200, write_body("r1"))


async def test_broken_settings_change_nothing(gateways: SoakFleet) -> None:
    host = ROUTERS[0]
    gateways.write_settings(host).write_text("[router\n")
    gateways.send_signal(host, signal.SIGHUP)
    await asyncio.sleep(0.5)
    assert (await ask(gateways, host, "/look/r1", "r1"))[0] == 200
    assert not gateways.list_events(host, "reloaded")
    gateways.write_settings(host)
    gateways.send_signal(host, signal.SIGHUP)

    async def is_reloaded() -> bool:
        return bool(gateways.list_events(host, "reloaded"))

    await wait_for(is_reloaded)


async def test_stream_ends_whole_while_its_router_drains(gateways: SoakFleet) -> None:
    host = ROUTERS[0]
    stream = asyncio.create_task(ask(gateways, host, "/stream/s", "s", "POST"))

    async def has_begun() -> bool:
        return any(run.attempt == "s" for run in gateways.gather().runs)

    await wait_for(has_begun)
    took = await gateways.end(host, signal.SIGTERM)
    assert took < GRACE
    whole = b"".join(write_event("s", number) for number in range(EVENTS))
    assert await stream == (200, whole)
    assert gateways.processes[host].returncode == 0
    assert gateways.list_events(host, "stopped")[0]["cut"] == 0


async def test_router_without_the_store_follows_its_peers(
    gateways: SoakFleet,
) -> None:
    host = ROUTERS[0]
    gateways.store_links[host].refuses = True
    gateways.store_links[host].reset()
    gateways.publish()
    began = time.monotonic()

    async def is_known() -> bool:
        return (await ask(gateways, host, "/look/p", "p"))[0] == 200

    await wait_for(is_known)
    assert time.monotonic() - began < CONFIGURATION_TIME
    lines = gateways.list_events(host, "configuration_in_force")
    assert lines[-1]["origin"] in ROUTERS[1:]
    assert gateways.list_events(host, "dependency_lost")


async def test_request_that_crashes_servers_is_sent_nowhere(
    gateways: SoakFleet,
) -> None:
    path = f"/look/{CRASH}"

    def count_crashes() -> int:
        return sum(run.path == path for run in gateways.gather().runs)

    for number in range(MAX_STRIKES):
        await ask(gateways, ROUTERS[number % 2], path, f"x{number}")
        await asyncio.sleep(0.2)
        for name in PLAIN:
            if gateways.processes[name].returncode is not None:
                await gateways.start_server(name)
        await asyncio.sleep(RESTART_KNOWN)
        if count_crashes() >= MAX_STRIKES:
            break
    crashes = count_crashes()
    assert crashes >= MAX_STRIKES
    for router in ROUTERS:
        assert (await ask(gateways, router, path, f"y-{router}"))[0] == 503
    assert count_crashes() == crashes
