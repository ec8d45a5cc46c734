"""Inject random faults, which may overlap, into the fleet of a soak."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from tests.soak.fleet import (
    EVACUATION_SECONDS,
    ROUTER_HOSTS,
    SERVICE_BY_SERVER,
    SHUTDOWN_GRACE_SECONDS,
)
from tests.soak.records import Disturbance

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from tests.soak.fleet import SoakFleet
    from tests.soak.proxy import FaultyProxy

MAX_FAULT_SECONDS = 3.0
"""Longest duration of a fault in seconds."""
OVERLAPPING_RATIO = 0.5
"""Ratio of the faults that follow the previous one almost at once."""
OPERATOR_TARGET = "operator"
STORE_TARGET = "store"
EVACUATION_KIND = "evacuate"
"""Kind of the disturbance while a failure domain is evacuated."""


class FaultInjector:
    """
    Injects faults into a fleet.

    The names of the fault methods, without the leading underscore, are the
    kinds of the recorded disturbances. A target of a connection begins with
    ``door`` (from callers to a router), ``store-link`` (from a router to the
    store) or ``server-link`` (from the routers to a backend server).

    :param fleet: the fleet.
    :param rng: chooses the kind, the time and the duration of each fault.
    """

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._random = rng
        self._busy_targets: set[str] = set()
        self._slow_shutdowns: list[str] = []
        self._fault_kinds: list[tuple[str, Callable[[str, float], Awaitable[None]]]] = [
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
            (STORE_TARGET, self._fail_store),
            (STORE_TARGET, self._lapse),
            (OPERATOR_TARGET, self._publish),
        ]

    @property
    def slow_shutdowns(self) -> list[str]:
        """Descriptions of router shutdowns that exceeded the grace period."""
        return self._slow_shutdowns

    async def inject_faults(self, seconds: float, pause: float) -> None:
        """
        Start faults for a period and wait until all of them have ended.

        :param seconds: length of the period.
        :param pause: mean time in seconds between two faults.
        """
        deadline = time.monotonic() + seconds
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < deadline:
            if self._random.random() > OVERLAPPING_RATIO:
                await asyncio.sleep(self._random.expovariate(1 / pause))
            else:
                await asyncio.sleep(self._random.uniform(0.0, 0.3))
            tasks.append(asyncio.create_task(self._inject_fault()))
        await asyncio.gather(*tasks)

    async def evacuate(self, seconds: float, rng: random.Random) -> None:
        """
        Evacuate a failure domain once, beside the faults.

        :param seconds: period in whose first third the evacuation begins.
        :param rng: a generator of its own, so that the faults of a seed stay.
        """
        await asyncio.sleep(rng.uniform(0.0, seconds / 3))
        self._fleet.store.put("op/evacuate/south", {})
        began_at, number = time.monotonic(), len(self._fleet.disturbances)
        begun = Disturbance(EVACUATION_KIND, "south", began_at, float("inf"))
        self._fleet.disturbances.append(begun)
        await asyncio.sleep(EVACUATION_SECONDS + rng.uniform(2.0, 5.0))
        ended = begun._replace(ended_at=time.monotonic())
        self._fleet.disturbances[number] = ended
        self._fleet.store.remove("op/evacuate/south")

    async def _inject_fault(self) -> None:
        scope, inject = self._random.choice(self._fault_kinds)
        target = self._choose_target(scope)
        length = self._random.uniform(0.1, MAX_FAULT_SECONDS)
        if target in self._busy_targets:
            return
        self._busy_targets.add(target)
        number = len(self._fleet.disturbances)
        began_at = time.monotonic()
        label = inject.__name__.strip("_")
        self._fleet.disturbances.append(
            Disturbance(label, target, began_at, float("inf"))
        )
        try:
            await inject(target, length)
        finally:
            ended = Disturbance(label, target, began_at, time.monotonic())
            self._fleet.disturbances[number] = ended
            self._busy_targets.discard(target)

    def _choose_target(self, scope: str) -> str:
        if scope == "router":
            return self._random.choice(ROUTER_HOSTS)
        if scope == "server":
            return self._random.choice(tuple(SERVICE_BY_SERVER))
        if scope == "server-link":
            return f"{scope}/{self._random.choice(tuple(SERVICE_BY_SERVER))}"
        if scope in ("door", "store-link"):
            return f"{scope}/{self._random.choice(ROUTER_HOSTS)}"
        return scope

    async def _kill_router(self, host: str, length: float) -> None:
        await self._fleet.terminate(host, signal.SIGKILL)
        await asyncio.sleep(length / 3)
        await self._restart_router(host)

    async def _stop_router(self, host: str, _length: float) -> None:
        took = await self._fleet.terminate(host, signal.SIGTERM)
        if took > SHUTDOWN_GRACE_SECONDS:
            self._slow_shutdowns.append(f"{host} took {took:.2f} s to end")
        await self._restart_router(host)

    async def _restart_router(self, host: str) -> None:
        await self._fleet.start_router(host)
        await self._fleet.wait_until_ready(host)

    async def _hang_up(self, host: str, _length: float) -> None:
        """Send SIGHUP, on which the router reloads its settings."""
        self._fleet.send_signal(host, signal.SIGHUP)

    async def _pause(self, name: str, length: float) -> None:
        self._fleet.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(length)
        self._fleet.send_signal(name, signal.SIGCONT)

    async def _kill_server(self, name: str, length: float) -> None:
        await self._fleet.terminate(name, signal.SIGKILL)
        await asyncio.sleep(length / 3)
        await self._fleet.start_server(name)

    async def _drain_server(self, name: str, length: float) -> None:
        """Mark a server as draining, remove its entry, then restart it."""
        self._fleet.register(name, "draining")
        await asyncio.sleep(MAX_FAULT_SECONDS + length)
        if f"servers/{name}" in self._fleet.store.items:
            self._fleet.store.remove(f"servers/{name}")
        await self._kill_server(name, length)

    def _find_proxy(self, target: str) -> FaultyProxy:
        kind, _, name = target.partition("/")
        proxies = {
            "door": self._fleet.caller_proxies,
            "store-link": self._fleet.store_proxies,
            "server-link": self._fleet.server_proxies,
        }
        return proxies[kind][name]

    async def _harm_link(self, target: str, length: float) -> None:
        """Delay, block or reset the connections through a proxy."""
        proxy = self._find_proxy(target)
        fault = self._random.choice(("delay", "requests", "answers", "both", "reset"))
        if fault == "delay":
            proxy.delay = self._random.uniform(0.02, 0.3)
        proxy.blocks_requests = fault in ("requests", "both")
        proxy.blocks_answers = fault in ("answers", "both")
        if fault == "reset":
            proxy.resets_new_connections = self._random.random() < 0.5  # noqa: PLR2004
            proxy.reset_connections()
        await asyncio.sleep(length)
        proxy.clear_faults()

    async def _fail_store(self, _name: str, length: float) -> None:
        self._fleet.store.status = self._random.choice((429, 500, 503))
        await asyncio.sleep(length)
        self._fleet.store.status = 200

    async def _lapse(self, _name: str, length: float) -> None:
        """Let the entries of two servers expire while the store is down."""
        store = self._fleet.store
        store.status = 503
        lapsed = self._random.sample(sorted(SERVICE_BY_SERVER), 2)
        gone = [
            name
            for name in lapsed
            if f"servers/{name}" in store.items and name not in self._busy_targets
        ]
        for name in gone:
            store.remove(f"servers/{name}")
        await asyncio.sleep(length)
        store.status = 200
        await asyncio.sleep(self._random.uniform(0.1, 1.5))
        for name in gone:
            if name not in self._busy_targets:
                self._fleet.register(name)

    async def _publish(self, _name: str, _length: float) -> None:
        self._fleet.publish()
