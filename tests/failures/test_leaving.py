"""A backend server that is leaving gets no new work."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.decisions.roles import choose_scheduler
from tests.support.fleet import run_fleet, wait_for
from tests.support.texts import write_configuration

if TYPE_CHECKING:
    from tests.support.fleet import Fleet


async def list_server(fleet: Fleet, name: str, state: str) -> None:
    """Let the host list name a server with a state."""
    address = fleet.find_server(name).address
    hosts = [[name, address, "a", state, "server"]]
    async with fleet.client.put(
        f"http://{fleet.platform}/control/hosts", json=hosts
    ) as response:
        assert response.status == 204


async def wait_for_news(fleet: Fleet, news: str, routers: list[int]) -> None:
    """Wait until routers have logged some news of a server."""

    async def is_known() -> bool:
        return all(news in fleet.read_log(fleet.routers[n].host) for n in routers)

    await wait_for(is_known)


async def count_starts(fleet: Fleet, server: str) -> int:
    """Return how many requests an engine has started."""
    runs = await fleet.list_runs(server)
    return sum(runs["started"].values())


async def ask_all(fleet: Fleet, name: str, count: int) -> None:
    """Ask through every router; each answer must be whole."""
    answers = await asyncio.gather(
        *(fleet.ask(n % len(fleet.routers), f"{name} {n}", 3) for n in range(count))
    )
    assert {status for status, _ in answers} == {200}


async def test_listed_as_leaving_and_back() -> None:
    async with run_fleet(("a", "a", "b")) as fleet:
        await list_server(fleet, "engine-1", "live")
        await list_server(fleet, "engine-1", "leaving")
        await wait_for_news(fleet, "engine-1 is leaving by list", [0, 1, 2])
        before = await count_starts(fleet, "engine-1")
        await ask_all(fleet, "while leaving", 24)
        assert await count_starts(fleet, "engine-1") == before
        await list_server(fleet, "engine-1", "live")
        await wait_for_news(fleet, "engine-1 is serving by list", [0, 1, 2])
        await ask_all(fleet, "back", 24)
        assert await count_starts(fleet, "engine-1") > before


async def test_a_paused_router_wakes_and_sends_nothing_to_a_leaving_server() -> None:
    async with run_fleet(("a", "a", "a")) as fleet:
        await ask_all(fleet, "before", 6)
        text = write_configuration(fleet.servers)
        server = accept_text(text.encode(), 1).servers["engine-1"]
        host = choose_scheduler(server, {r.host: r.domain for r in fleet.routers})
        paused = next(n for n, r in enumerate(fleet.routers) if r.host == host)
        others = [n for n in range(3) if n != paused]
        fleet.signal(fleet.routers[paused].host, signal.SIGSTOP)
        await list_server(fleet, "engine-1", "leaving")
        await wait_for_news(fleet, "engine-1 is leaving", others)
        asking = [
            asyncio.create_task(fleet.ask(paused, f"paused {n}", 3)) for n in range(12)
        ]
        await asyncio.sleep(3.0)
        before = await count_starts(fleet, "engine-1")
        fleet.signal(fleet.routers[paused].host, signal.SIGCONT)
        answers = await asyncio.gather(*asking)
        assert {status for status, _ in answers} <= {200, 503}
        assert await count_starts(fleet, "engine-1") == before
