"""
Routers that follow a store whose pages take random times, in virtual time.

The store is written to between any two pages. The routers, their reads and
their news are the real ones; messages and pages are passed on in memory.
"""

from __future__ import annotations

import asyncio
import base64
import random
from typing import NamedTuple

import msgspec

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.fleet_state import FleetStateController
from sycamorehaven.controllers.news_link import NewsLink
from sycamorehaven.controllers.routing_snapshots import RoutingSnapshotController
from sycamorehaven.platform.documents import WireItem, WirePage
from sycamorehaven.platform.store_client import PlatformStoreClient, StorePage
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.platform_client import PlatformUnavailable
from tests.support.doubles import (
    MemoryLink,
    MemoryNetwork,
    create_board,
    create_recorder,
)
from tests.support.gateway_harness import build_configuration

PAGE_ITEMS = 4
"""Items of a page, so that a list has several pages."""
DELIVERY_SECONDS = 0.02
"""Interval at which messages are delivered."""


class Write(NamedTuple):
    """
    A change of the store.

    :ivar revision: revision of the change.
    :ivar written_at: when it was acknowledged, in virtual seconds.
    """

    revision: int
    written_at: float


class PagedStore:
    """
    A store in memory that lists a few items a page.

    :ivar configurations: each version that was published.
    :ivar removals: the removal of each server, by id.
    :ivar evacuations: the last change of each evacuation, by failure domain,
        and whether it is in force.
    :ivar page_seconds: shortest and longest time of a page.
    :ivar read_pages: number of pages that were read.
    """

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.configurations: dict[int, Write] = {}
        self.removals: dict[str, Write] = {}
        self.evacuations: dict[str, tuple[Write, bool]] = {}
        self.page_seconds = 0.002, 0.01
        self.read_pages = 0
        self._revision = 0
        self._items: dict[str, WireItem] = {}

    def put(self, key: str, value: object) -> Write:
        """Write a value, encoded as JSON unless it is ``bytes``."""
        self._revision += 1
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        text = base64.b64encode(raw).decode()
        self._items[key] = msgspec.convert(
            {"key": key, "value": text, "revision": self._revision}, WireItem
        )
        return Write(self._revision, asyncio.get_running_loop().time())

    def publish(self, version: int) -> None:
        """Publish a version of the configuration."""
        write = self.put("op/config", build_configuration(version))
        self.configurations[version] = write

    def register(self, number: int) -> None:
        """Register a backend server."""
        self.put(
            f"servers/s{number:03}",
            {
                "service": "plain",
                "address": f"10.0.0.{number % 250}:{8000 + number}",
                "zone": "a",
                "slots": 4,
                "state": "ready",
                "version": "v1",
                "born": number + 1,
            },
        )

    def remove(self, number: int) -> None:
        """Remove a backend server."""
        name = f"s{number:03}"
        del self._items[f"servers/{name}"]
        self._revision += 1
        now = asyncio.get_running_loop().time()
        self.removals[name] = Write(self._revision, now)

    def evacuate(self, domain: str) -> None:
        """Write the item that evacuates a failure domain."""
        self.evacuations[domain] = self.put(f"op/evacuate/{domain}", {}), True

    def end_evacuation(self, domain: str) -> None:
        """Delete the item that evacuates a failure domain."""
        del self._items[f"op/evacuate/{domain}"]
        self._revision += 1
        now = asyncio.get_running_loop().time()
        self.evacuations[domain] = Write(self._revision, now), False

    async def read_page(self, prefix: str, after: str) -> StorePage:
        """Return a page as it is at some moment of the call."""
        self.read_pages += 1
        await asyncio.sleep(self.chance.uniform(*self.page_seconds))
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        entries = [self._items[key] for key in keys[:PAGE_ITEMS]]
        page = WirePage(entries, self._revision, len(keys) > PAGE_ITEMS)
        await asyncio.sleep(self.chance.uniform(*self.page_seconds))
        return StorePage(0, page)


class PagedStoreClient(PlatformStoreClient):
    """The client of the store, without a network."""

    def __init__(self, store: PagedStore) -> None:
        super().__init__("")
        self._store = store
        self.is_cut_off = False

    async def _read_page(self, prefix: str, after: str) -> StorePage:
        page = await self._store.read_page(prefix, after)
        if self.is_cut_off:
            raise PlatformUnavailable("no route")
        return page


class SimulatedRouter:
    """The part of a router that follows the store."""

    def __init__(self, host: str, domain: str, fleet: SnapshotFleet) -> None:
        clock = asyncio.get_running_loop().time
        # Timestamps of a router are above 0.
        self.board = create_board(host, domain)
        self.client = PagedStoreClient(fleet.store)
        link = MemoryLink(self.board, fleet.network)
        self.news = NewsLink(self.board, link, clock)
        self.snapshots = RoutingSnapshotController(
            self.board,
            self.news,
            self.client,
            DecisionLog(host, None),
            GatewayMetrics(),
            clock,
        )
        recorder = create_recorder(self.board, clock)
        self.state = FleetStateController(self.board, self.news, recorder, clock)

    async def start(self) -> None:
        """Start to read and to tell others."""
        for service in (self.news, self.snapshots, self.state):
            await service.maybe_start()

    async def stop(self) -> None:
        """Stop at once."""
        for service in (self.state, self.snapshots, self.news):
            await service.stop()


class SnapshotFleet:
    """
    A fleet that follows a store.

    :param size: number of routers.
    :param seed: seeds the times of the pages.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.network = MemoryNetwork(seed)
        self.store = PagedStore(seed)
        domains = {f"r{number:03}": f"d{number % 5}" for number in range(size)}
        self.routers = {
            host: SimulatedRouter(host, domain, self)
            for host, domain in domains.items()
        }
        members = {
            host: Member(host, 1, f"{host}:1", domain, "alive")
            for host, domain in domains.items()
        }
        for router in self.routers.values():
            router.board.members.replace(dict(members))
            router.board.seeds.replace(("r000:1", "r001:1"))
        self._delivery: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start all routers."""
        self._delivery = asyncio.create_task(self._deliver())
        for router in self.routers.values():
            await router.start()

    async def stop(self) -> None:
        """Stop all routers."""
        for router in self.routers.values():
            await router.stop()
        if self._delivery is not None:
            self._delivery.cancel()

    async def kill(self, host: str) -> None:
        """End a router; the others notice by the silence of their platform."""
        router = self.routers.pop(host)
        del self.network.links[f"{host}:1"]
        await router.stop()

    def list_faults(self, deadline: float) -> list[str]:
        """
        Return what any router has in force though it may not.

        :param deadline: seconds after which a version must be in force.
        """
        now = asyncio.get_running_loop().time()
        faults = []
        for host, router in self.routers.items():
            routing = router.board.routing
            configuration = routing.configuration
            in_force = configuration.version if configuration else 0
            for version, write in self.store.configurations.items():
                if in_force >= version:
                    continue
                if routing.revision >= write.revision:
                    faults.append(f"{host}: position includes version {version}")
                if now - write.written_at > deadline:
                    faults.append(f"{host}: version {version} is not in force")
            faults += self._list_evacuation_faults(router, deadline)
            servers = {server.id for server in (routing.snapshot or ((),) * 3)[2]}
            for name in servers & self.store.removals.keys():
                if routing.revision >= self.store.removals[name].revision:
                    faults.append(f"{host}: position includes the end of {name}")
                if now - self.store.removals[name].written_at > deadline:
                    faults.append(f"{host}: {name} is still listed")
        return faults

    def _list_evacuation_faults(
        self, router: SimulatedRouter, deadline: float
    ) -> list[str]:
        """Return the evacuations that a router has missed."""
        routing, host = router.board.routing, router.board.identity.host
        now = asyncio.get_running_loop().time()
        return [
            f"{host}: the evacuation of {domain} is not {is_in_force}"
            for domain, (write, is_in_force) in self.store.evacuations.items()
            if (domain in routing.evacuated_domains) != is_in_force
            and (
                routing.revision >= write.revision or now - write.written_at > deadline
            )
        ]

    async def _deliver(self) -> None:
        while True:
            self.network.deliver(max_deliveries=1_000_000)
            await asyncio.sleep(DELIVERY_SECONDS)
