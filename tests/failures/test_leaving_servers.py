"""Test that a backend server that is leaving receives no new requests."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.decisions.roles import choose_scheduler
from tests.support.configuration_texts import build_configuration_text
from tests.support.fleet import run_fleet, wait_for

if TYPE_CHECKING:
    from tests.support.fleet import Fleet


async def publish_server_state(fleet: Fleet, name: str, state: str) -> None:
    """Publish a host list that holds one server with a state."""
    address = fleet.find_server(name).address
    hosts = [[name, address, "a", state, "server"]]
    async with fleet.client.put(
        f"http://{fleet.platform_address}/control/hosts", json=hosts
    ) as response:
        assert response.status == 204


async def wait_for_log(fleet: Fleet, text: str, routers: list[int]) -> None:
    """Wait until the logs of routers contain a text."""

    async def is_known() -> bool:
        return all(text in fleet.read_log(fleet.routers[n].host) for n in routers)

    await wait_for(is_known)


async def count_starts(fleet: Fleet, server: str) -> int:
    """Return the number of requests that an engine has started."""
    runs = await fleet.fetch_server_runs(server)
    return sum(runs["started"].values())


async def ask_every_router(fleet: Fleet, name: str, count: int) -> None:
    """Spread requests over the routers; assert that all of them succeed."""
    answers = await asyncio.gather(
        *(
            fleet.request_completion(n % len(fleet.routers), f"{name} {n}", 3)
            for n in range(count)
        )
    )
    assert {status for status, _ in answers} == {200}


async def test_server_listed_as_leaving_gets_no_work_until_it_is_live_again() -> None:
    async with run_fleet(("a", "a", "b")) as fleet:
        await publish_server_state(fleet, "engine-1", "live")
        await publish_server_state(fleet, "engine-1", "leaving")
        await wait_for_log(
            fleet, "engine-1 is leaving according to source list", [0, 1, 2]
        )
        before = await count_starts(fleet, "engine-1")
        await ask_every_router(fleet, "while leaving", 24)
        assert await count_starts(fleet, "engine-1") == before
        await publish_server_state(fleet, "engine-1", "live")
        await wait_for_log(
            fleet, "engine-1 is serving according to source list", [0, 1, 2]
        )
        await ask_every_router(fleet, "back", 24)
        assert await count_starts(fleet, "engine-1") > before


async def test_resumed_router_sends_nothing_to_a_leaving_server() -> None:
    async with run_fleet(("a", "a", "a")) as fleet:
        await ask_every_router(fleet, "before", 6)
        text = build_configuration_text(fleet.servers)
        server = accept_text(text.encode(), 1).servers["engine-1"]
        host = choose_scheduler(
            server, {r.host: r.failure_domain for r in fleet.routers}
        )
        paused = next(n for n, r in enumerate(fleet.routers) if r.host == host)
        others = [n for n in range(3) if n != paused]
        fleet.send_signal(fleet.routers[paused].host, signal.SIGSTOP)
        await publish_server_state(fleet, "engine-1", "leaving")
        await wait_for_log(fleet, "engine-1 is leaving", others)
        pending = [
            asyncio.create_task(fleet.request_completion(paused, f"paused {n}", 3))
            for n in range(12)
        ]
        await asyncio.sleep(3.0)
        before = await count_starts(fleet, "engine-1")
        fleet.send_signal(fleet.routers[paused].host, signal.SIGCONT)
        answers = await asyncio.gather(*pending)
        assert {status for status, _ in answers} <= {200, 503}
        assert await count_starts(fleet, "engine-1") == before
