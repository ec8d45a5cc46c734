"""Faults that a seed chooses; they come in series and overlap."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from tests.soak.fleet import GRACE, ROUTERS, SERVICES
from tests.soak.records import Trouble

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from tests.soak.fleet import SoakFleet
    from tests.soak.proxy import FaultyProxy

LONGEST = 3.0
"""Seconds that a fault takes at most."""
CHAINED_SHARE = 0.5
"""Part of the faults that begin while the one before lasts."""
OPERATOR = "operator"
STORE = "store"


class FaultPlayer:
    """
    Plays faults on a fleet until its time is over.

    :param fleet: the fleet.
    :param chance: decides which, when and how long.
    """

    def __init__(self, fleet: SoakFleet, chance: random.Random) -> None:
        self._fleet = fleet
        self._random = chance
        self._busy: set[str] = set()
        self._slow_ends: list[str] = []
        self._kinds: list[tuple[str, Callable[[str, float], Awaitable[None]]]] = [
            ("router", self._kill_router),
            ("router", self._pause),
            ("router", self._stop_router),
            ("router", self._hang_up),
            ("server", self._kill_server),
            ("server", self._pause),
            ("server", self._drain_server),
            ("door", self._harm_link),
            ("store-link", self._harm_link),
            ("server-link", self._harm_link),
            (STORE, self._fail_store),
            (STORE, self._lapse),
            (OPERATOR, self._publish),
        ]

    @property
    def slow_ends(self) -> list[str]:
        """Routers that took longer than their grace to end."""
        return self._slow_ends

    async def play(self, seconds: float, pause: float) -> None:
        """
        Play faults for some seconds and wait until all have ended.

        :param pause: seconds between two faults, on average.
        """
        ends = time.monotonic() + seconds
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < ends:
            if self._random.random() > CHAINED_SHARE:
                await asyncio.sleep(self._random.expovariate(1 / pause))
            else:
                await asyncio.sleep(self._random.uniform(0.0, 0.3))
            tasks.append(asyncio.create_task(self._play_one()))
        await asyncio.gather(*tasks)

    async def _play_one(self) -> None:
        scope, play = self._random.choice(self._kinds)
        target = self._choose_target(scope)
        length = self._random.uniform(0.1, LONGEST)
        if target in self._busy:
            return
        self._busy.add(target)
        number = len(self._fleet.troubles)
        begins = time.monotonic()
        label = play.__name__.strip("_")
        self._fleet.troubles.append(Trouble(label, target, begins, float("inf")))
        try:
            await play(target, length)
        finally:
            done = Trouble(label, target, begins, time.monotonic())
            self._fleet.troubles[number] = done
            self._busy.discard(target)

    def _choose_target(self, scope: str) -> str:
        if scope == "router":
            return self._random.choice(ROUTERS)
        if scope == "server":
            return self._random.choice(tuple(SERVICES))
        if scope == "server-link":
            return f"{scope}/{self._random.choice(tuple(SERVICES))}"
        if scope in ("door", "store-link"):
            return f"{scope}/{self._random.choice(ROUTERS)}"
        return scope

    async def _kill_router(self, host: str, length: float) -> None:
        await self._fleet.end(host, signal.SIGKILL)
        await asyncio.sleep(length / 3)
        await self._restart_router(host)

    async def _stop_router(self, host: str, _length: float) -> None:
        took = await self._fleet.end(host, signal.SIGTERM)
        if took > GRACE:
            self._slow_ends.append(f"{host} took {took:.2f} s to end")
        await self._restart_router(host)

    async def _restart_router(self, host: str) -> None:
        await self._fleet.start_router(host)
        await self._fleet.wait_until_ready(host)

    async def _hang_up(self, host: str, _length: float) -> None:
        self._fleet.send_signal(host, signal.SIGHUP)

    async def _pause(self, name: str, length: float) -> None:
        self._fleet.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(length)
        self._fleet.send_signal(name, signal.SIGCONT)

    async def _kill_server(self, name: str, length: float) -> None:
        await self._fleet.end(name, signal.SIGKILL)
        await asyncio.sleep(length / 3)
        await self._fleet.start_server(name)

    async def _drain_server(self, name: str, length: float) -> None:
        self._fleet.register(name, "draining")
        await asyncio.sleep(LONGEST + length)
        if f"servers/{name}" in self._fleet.store.items:
            self._fleet.store.remove(f"servers/{name}")
        await self._kill_server(name, length)

    def _find_link(self, target: str) -> FaultyProxy:
        kind, _, name = target.partition("/")
        links = {
            "door": self._fleet.doors,
            "store-link": self._fleet.store_links,
            "server-link": self._fleet.server_links,
        }
        return links[kind][name]

    async def _harm_link(self, target: str, length: float) -> None:
        link = self._find_link(target)
        harm = self._random.choice(("delay", "requests", "answers", "both", "reset"))
        if harm == "delay":
            link.delay = self._random.uniform(0.02, 0.3)
        link.holds_requests = harm in ("requests", "both")
        link.holds_answers = harm in ("answers", "both")
        if harm == "reset":
            link.refuses = self._random.random() < 0.5  # noqa: PLR2004
            link.reset()
        await asyncio.sleep(length)
        link.heal()

    async def _fail_store(self, _name: str, length: float) -> None:
        self._fleet.store.status = self._random.choice((429, 500, 503))
        await asyncio.sleep(length)
        self._fleet.store.status = 200

    async def _lapse(self, _name: str, length: float) -> None:
        store = self._fleet.store
        store.status = 503
        lapsed = self._random.sample(sorted(SERVICES), 2)
        gone = [
            name
            for name in lapsed
            if f"servers/{name}" in store.items and name not in self._busy
        ]
        for name in gone:
            store.remove(f"servers/{name}")
        await asyncio.sleep(length)
        store.status = 200
        await asyncio.sleep(self._random.uniform(0.1, 1.5))
        for name in gone:
            if name not in self._busy:
                self._fleet.register(name)

    async def _publish(self, _name: str, _length: float) -> None:
        self._fleet.publish()
