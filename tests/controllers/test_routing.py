"""Snapshots of the platform that routers tell each other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.fleet_news import REFRESH_PERIOD, FleetNewsController
from sycamorehaven.controllers.routing import (
    READ_PERIOD,
    SILENCE,
    SMALL_FLEET,
    RoutingController,
)
from sycamorehaven.decisions.directory import LAPSE_GRACE, OUTAGE
from sycamorehaven.decisions.roles import is_reader
from sycamorehaven.routing.model import ServerRecord, Snapshot
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.platform_client import PlatformUnavailable
from tests.support.doubles import MemoryLink, create_board

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock, MemoryNetwork

SIZE = SMALL_FLEET + 4
"""Routers; some of them do not read the platform."""
SERVERS = tuple(
    ServerRecord(name, 1, "model", f"10.0.0.{number}:80", "a", 4, draining=False)
    for number, name in enumerate(("s1", "s2"), start=1)
)


class MemorySource:
    """A platform in memory."""

    def __init__(self) -> None:
        self.snapshot = Snapshot(1, None, SERVERS)
        self.reads = 0
        self.available = True

    async def read(self) -> Snapshot:
        """Return what is published."""
        self.reads += 1
        if not self.available:
            raise PlatformUnavailable("no route")
        return self.snapshot


class RoutingFleet:
    """Routers of published routes on a network in memory."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self._network = network
        self._clock = clock
        hosts = [f"a{number}" for number in range(SIZE)]
        self.boards = {host: create_board(host) for host in hosts}
        members = {host: Member(host, 1, f"{host}:1", "a", "alive") for host in hosts}
        self.sources = {host: MemorySource() for host in hosts}
        self.routing: dict[str, RoutingController] = {}
        self.news: dict[str, FleetNewsController] = {}
        for host, board in self.boards.items():
            board.members.replace(dict(members))
            link = MemoryLink(board, network)
            self.routing[host] = RoutingController(
                board,
                link,
                self.sources[host],
                DecisionLog(host, None),
                GatewayMetrics(),
                clock,
            )
            self.news[host] = FleetNewsController(board, link, clock)
        domains = self.boards["a0"].members.map_domains()
        self.readers = [
            host
            for host, board in self.boards.items()
            if is_reader(board.members.own, domains)
        ]
        self.others = [host for host in hosts if host not in self.readers]

    def publish(self, snapshot: Snapshot) -> None:
        """Change what every router can read."""
        for source in self.sources.values():
            source.snapshot = snapshot

    def run(self, seconds: float) -> None:
        """Let time pass; every router reads when it is due, and tells."""
        for _ in range(round(seconds / READ_PERIOD)):
            self._clock.advance(READ_PERIOD)
            for routing in self.routing.values():
                if routing.is_due():
                    asyncio.run(routing.read())
            for news in self.news.values():
                news.tell()
            self._network.deliver()

    def count_reads(self, hosts: list[str]) -> int:
        """Return how often some routers have read the platform."""
        return sum(self.sources[host].reads for host in hosts)

    def list_servers(self, host: str) -> set[str]:
        """Return the servers that a router believes in."""
        return self.boards[host].routing.list_ids()


def start_fleet(network: MemoryNetwork, clock: ManualClock) -> RoutingFleet:
    fleet = RoutingFleet(network, clock)
    fleet.run(3.0)
    assert fleet.readers
    assert all(fleet.list_servers(host) == {"s1", "s2"} for host in fleet.boards)
    return fleet


def test_unchanged_snapshot_is_not_read_by_all_routers(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    before = fleet.count_reads(fleet.others)
    fleet.run(10.0)
    assert fleet.count_reads(fleet.others) == before
    ages = [clock() - board.routing.read_at for board in fleet.boards.values()]
    assert max(ages) < SILENCE


def test_routers_read_by_themselves_when_the_readers_cannot(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    for host in fleet.readers:
        fleet.sources[host].available = False
    before = fleet.count_reads(fleet.others)
    fleet.run(SILENCE + 2 * READ_PERIOD + REFRESH_PERIOD)
    assert fleet.count_reads(fleet.others) > before
    ages = [clock() - board.routing.read_at for board in fleet.boards.values()]
    assert max(ages) < SILENCE + 2 * READ_PERIOD


def test_removed_server_goes_at_once_after_a_long_time_without_changes(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    fleet.run(OUTAGE + 3.0)
    fleet.publish(Snapshot(2, None, SERVERS[:1]))
    fleet.run(2 * READ_PERIOD)
    assert all(fleet.list_servers(host) == {"s1"} for host in fleet.boards)


def test_lapsed_server_goes_at_all_routers_once_the_store_is_back(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    for source in fleet.sources.values():
        source.available = False
    fleet.run(OUTAGE + 3.0)
    fleet.publish(Snapshot(2, None, SERVERS[:1]))
    for source in fleet.sources.values():
        source.available = True
    fleet.run(2 * READ_PERIOD)
    assert all(fleet.list_servers(host) == {"s1", "s2"} for host in fleet.boards)
    fleet.run(LAPSE_GRACE + 3 * READ_PERIOD)
    assert all(fleet.list_servers(host) == {"s1"} for host in fleet.boards)


def test_router_that_cannot_read_follows_its_peers(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    cut = fleet.readers[0]
    fleet.sources[cut].available = False
    fleet.publish(Snapshot(2, None, SERVERS[:1]))
    fleet.run(3 * READ_PERIOD)
    assert fleet.list_servers(cut) == {"s1"}


def test_old_reply_brings_nothing_back(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    routing = fleet.boards["a0"].routing
    fleet.publish(Snapshot(3, None, SERVERS[:1]))
    fleet.run(2 * READ_PERIOD)
    assert routing.take(Snapshot(2, None, SERVERS), clock()) is None
    assert routing.revision == 3
    read_at = routing.read_at
    assert routing.take(Snapshot(3, None, SERVERS[:1]), read_at - 1.0) is None
    assert routing.read_at == read_at
