"""Failure domains cut off from each other and from the platform."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.decisions.roles import choose_scheduler
from tests.support.fleet import find_address, plan_servers, run_fleet, wait_for
from tests.support.ledger import REFUSED, WHOLE, Ledger
from tests.support.texts import WORKSPACES, ServerPlan, write_configuration

if TYPE_CHECKING:
    from tests.support.fleet import Fleet

NEW_WORKSPACE = "maplerow"
PAUSE = 10.0
"""Seconds: beyond each lease and lifetime of soft state."""


def plan_both_sides() -> list[ServerPlan]:
    """Return an engine and a booking service in each of two domains."""
    return [
        ServerPlan(f"{kind}-{domain}", service, find_address(), domain=domain)
        for domain in ("a", "b")
        for kind, service in (("engine", "assistant"), ("booking", "bookings"))
    ]


async def test_sides_of_a_cut_lose_and_find_each_other(fleet: Fleet) -> None:
    await fleet.wait_for_members({0: 3, 2: 3})
    fleet.cut(fleet.list_domain("a"), fleet.list_domain("b"))
    await fleet.wait_for_members({0: 2, 1: 2, 2: 1})
    fleet.heal()
    await fleet.wait_for_members({0: 3, 1: 3, 2: 3})


async def ask_everywhere(ledger: Ledger, count: int) -> None:
    """Send questions and bookings through each of four routers."""
    await asyncio.gather(
        *(ledger.ask(n % 4, WORKSPACES[n % 2]) for n in range(count)),
        *(
            ledger.book_again([n % 4], f"book-{len(ledger.entries)}-{n}")
            for n in (0, 2)
        ),
    )


async def is_known(ledger: Ledger, router: int) -> bool:
    """Return whether a router knows the new workspace."""
    return (await ledger.ask(router, NEW_WORKSPACE)).outcome == WHOLE


async def test_both_sides_of_a_cut_serve_and_follow_when_it_heals() -> None:
    servers = plan_both_sides()
    async with run_fleet(("a", "a", "b", "b"), servers) as fleet:
        ledger, probe = Ledger(fleet, seed=6), Ledger(fleet)
        await fleet.wait_for_members({0: 4, 2: 4})
        fleet.cut_domain("b")
        await ask_everywhere(ledger, 16)
        text = write_configuration(servers, (*WORKSPACES, NEW_WORKSPACE))
        await fleet.publish(text)
        await wait_for(lambda: is_known(probe, 1))
        assert not await is_known(probe, 2)
        await ask_everywhere(ledger, 16)
        assert ledger.count(WHOLE) == len(ledger.entries) == 36, ledger.list_codes()
        fleet.heal()
        await wait_for(lambda: is_known(probe, 2))
        await wait_for(lambda: is_known(probe, 3))
        await ask_everywhere(ledger, 8)
        assert ledger.count(WHOLE) == 46, ledger.list_codes()
        ledger.check()


async def test_booking_sent_on_both_sides_of_a_cut_runs_once() -> None:
    async with run_fleet(("a", "a", "b", "b"), plan_both_sides()) as fleet:
        ledger = Ledger(fleet, seed=7)
        await fleet.wait_for_members({0: 4, 2: 4})
        tokens = {f"book-{n}": await ledger.mint(n) for n in range(4)}
        assert all(tokens.values()), tokens
        fleet.cut_domain("b")
        for _ in range(2):
            for what, token in tokens.items():
                await asyncio.gather(*(ledger.book(r, token, what) for r in range(4)))
        far = [entry for entry in ledger.entries if entry.outcome == REFUSED]
        assert {entry.was_run for entry in far} == {"unknown"}, far
        fleet.heal()
        await fleet.wait_for_members({0: 4, 1: 4, 2: 4, 3: 4})
        for what, token in tokens.items():
            for router in range(4):
                again = await ledger.book(router, token, what)
                assert again.outcome == WHOLE, again
        assert {fleet.count_runs()[what] for what in tokens} == {1}
        ledger.check()


def find_other_router(fleet: Fleet, text: str, server: str) -> int:
    """Return a router that does not schedule a server."""
    plan = accept_text(text.encode(), 1).servers[server]
    domains = {router.host: router.domain for router in fleet.routers}
    scheduler = choose_scheduler(plan, domains)
    hosts = [router.host for router in fleet.routers]
    return next(n for n, host in enumerate(hosts) if host != scheduler)


async def test_paused_router_wakes_and_sends_nothing_to_a_retired_server() -> None:
    servers = [plan._replace(slots=2, pace=0.02) for plan in plan_servers()[:2]]
    text = write_configuration(servers)
    async with run_fleet(("a", "a"), servers, text) as fleet:
        paused = find_other_router(fleet, text, "engine-1")
        ledger = Ledger(fleet, seed=8)
        await fleet.wait_for_members({0: 2, 1: 2})
        other = asyncio.gather(*(ledger.ask(1 - paused, tokens=60) for _ in range(4)))
        await asyncio.sleep(0.3)
        asking = asyncio.gather(*(ledger.ask(paused, tokens=20) for _ in range(24)))
        await asyncio.sleep(0.3)
        fleet.signal(fleet.routers[paused].host, signal.SIGSTOP)
        await fleet.publish(write_configuration(servers[1:]))
        await asyncio.sleep(PAUSE)
        before = (await fleet.list_runs("engine-1"))["started"]
        fleet.signal(fleet.routers[paused].host, signal.SIGCONT)
        await asyncio.gather(asking, other)
        assert (await fleet.list_runs("engine-1"))["started"] == before
        assert ledger.count(WHOLE) == 28, ledger.list_codes()
        ledger.check()
