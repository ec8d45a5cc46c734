"""Two failures at once, and the same one twice."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING

from tests.failures.test_cuts import plan_both_sides
from tests.support.fleet import run_fleet
from tests.support.ledger import BROKEN, WHOLE, Ledger
from tests.support.texts import WORKSPACES

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from tests.support.fleet import Fleet

DOMAINS = ("a", "a", "b", "b")
KILLED = 1
"""The router whose callers may see their connections break."""
STEP = 0.8
"""Seconds between two failures of a storm."""


class Load:
    """
    Sends questions and repeated bookings until told to stop.

    :param fleet: where to send them.
    :param seed: of the routers chosen.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.ledger = Ledger(fleet, seed)
        self._random = random.Random(seed)
        self._stopped = False
        self._tasks = [
            *(asyncio.create_task(self._ask_on(n % 4)) for n in range(12)),
            *(asyncio.create_task(self._book_on(n)) for n in range(4)),
        ]

    async def stop(self) -> None:
        """Let what was sent end."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _ask_on(self, router: int) -> None:
        while not self._stopped:
            entry = await self.ledger.ask(router, self._random.choice(WORKSPACES))
            await asyncio.sleep(0.02 if entry.outcome == WHOLE else 0.2)

    async def _book_on(self, number: int) -> None:
        count = 0
        while not self._stopped:
            count += 1
            routers = self._random.sample(range(4), 3)
            await self.ledger.book_again(routers, f"book-{number}-{count}")
            await asyncio.sleep(0.1)


async def test_router_restarts_twice_while_the_platform_is_down() -> None:
    async with run_fleet(DOMAINS, plan_both_sides()) as fleet:
        await fleet.wait_for_members({0: 4})
        await fleet.set_platform("down")
        load = Load(fleet, seed=21)
        victim = fleet.routers[3]
        for _ in range(2):
            await asyncio.sleep(STEP)
            await fleet.kill(victim.host)
            await fleet.start_router(victim)
            await fleet.wait_until_ready(victim)
        await fleet.wait_for_members({0: 4, 3: 4})
        assert (await load.ledger.ask(3)).outcome == WHOLE
        await load.stop()
        others = [e for e in load.ledger.entries if e.router != 3]
        questions = [e for e in others if not e.what.startswith("book")]
        assert {e.outcome for e in questions} == {WHOLE}, load.ledger.list_codes()
        load.ledger.check()


async def test_router_restarts_behind_a_cut_and_never_runs_old_tokens() -> None:
    async with run_fleet(DOMAINS, plan_both_sides()) as fleet:
        await fleet.wait_for_members({0: 4})
        ledger = Ledger(fleet, seed=22)
        tokens = {f"book-{n}": await ledger.mint(3) for n in range(4)}
        assert all(tokens.values()), tokens
        await ledger.book(3, tokens["book-0"], "book-0")
        fleet.cut_domain("b")
        await fleet.kill(fleet.routers[3].host)
        await fleet.start_router(fleet.routers[3])
        await fleet.wait_until_ready(fleet.routers[3])
        for what, token in tokens.items():
            await asyncio.gather(*(ledger.book(r, token, what) for r in range(4)))
        fleet.heal()
        await fleet.wait_for_members({0: 4, 1: 4, 2: 4, 3: 4})
        last = [await ledger.book(0, token, what) for what, token in tokens.items()]
        assert {entry.code for entry in last} == {"outcome_unknown"}, last
        assert {fleet.count_runs()[what] for what in tokens} == {0, 1}
        ledger.check()


def list_failures(fleet: Fleet) -> list[Callable[[], Coroutine[None, None, None]]]:
    """Return failures that a storm chooses from; each ends by itself."""

    async def restart_router() -> None:
        await fleet.kill(fleet.routers[KILLED].host)
        await fleet.start_router(fleet.routers[KILLED])

    async def restart_server() -> None:
        await fleet.kill("engine-b")
        await fleet.start_server(fleet.find_server("engine-b"))

    async def cut_domain() -> None:
        fleet.cut_domain("b")
        await asyncio.sleep(2 * STEP)
        fleet.heal()

    async def pause_router() -> None:
        fleet.signal(fleet.routers[2].host, signal.SIGSTOP)
        await asyncio.sleep(2 * STEP)
        fleet.signal(fleet.routers[2].host, signal.SIGCONT)

    async def stop_platform() -> None:
        await fleet.set_platform("down")
        await asyncio.sleep(2 * STEP)
        await fleet.set_platform("up")

    return [restart_router, restart_server, cut_domain, pause_router, stop_platform]


async def run_storm(seed: int) -> None:
    """Let failures overlap under load; hold the fleet to its promises."""
    async with run_fleet(DOMAINS, plan_both_sides()) as fleet:
        await fleet.wait_for_members({0: 4})
        fleet.disturb(loss=0.1, latest=0.1, seed=seed)
        load = Load(fleet, seed)
        chosen = random.Random(seed).choices(list_failures(fleet), k=6)
        failing: list[asyncio.Task[None]] = []
        for failure in chosen:
            failing.append(asyncio.create_task(failure()))
            await asyncio.sleep(STEP)
        await asyncio.gather(*failing)
        await load.stop()
        ledger = load.ledger
        print(f"seed {seed}: {len(ledger.entries)} sent, {ledger.list_codes()}")
        broken = {e.router for e in ledger.entries if e.outcome == BROKEN}
        assert broken <= {KILLED}, ledger.list_codes()
        assert ledger.count(WHOLE) > 60
        ledger.check()


async def test_promises_hold_while_failures_overlap() -> None:
    await run_storm(seed=23)


async def test_promises_hold_while_other_failures_overlap() -> None:
    await run_storm(seed=24)
