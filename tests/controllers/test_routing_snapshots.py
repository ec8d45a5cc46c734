"""
Distribution of platform snapshots between routers.

Only some routers read the platform. The others must follow them without
reading it, and read it themselves when the readers cannot.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.fleet_state import (
    REFRESH_PERIOD_SECONDS,
    FleetStateController,
)
from sycamorehaven.controllers.routing_snapshots import (
    CHECK_PERIOD_SECONDS,
    READ_PERIOD_SECONDS,
    START_WAIT_SECONDS,
    RoutingSnapshotController,
)
from sycamorehaven.decisions.roles import is_configuration_reader
from sycamorehaven.decisions.server_directory import (
    RECOVERY_GRACE_SECONDS,
    STORE_OUTAGE_SECONDS,
)
from sycamorehaven.decisions.snapshot_reads import (
    MAX_ALL_READERS_FLEET_SIZE,
    MAX_SNAPSHOT_AGE_SECONDS,
)
from sycamorehaven.routing.model import ServerRecord, Snapshot
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.platform_client import PlatformUnavailable
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
    create_recorder,
)
from tests.support.fixtures import async_fixture
from tests.support.gateway_harness import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

FLEET_SIZE = MAX_ALL_READERS_FLEET_SIZE + 4
"""Number of routers: enough that some do not read the platform."""
AGE_LIMIT_SECONDS = 1.5
"""Age that no snapshot may reach while the readers can read."""
SERVERS = tuple(
    ServerRecord(name, 1, "model", f"10.0.0.{number}:80", "a", 4, draining=False)
    for number, name in enumerate(("s1", "s2"), start=1)
)


class InMemorySource:
    """A platform store in memory that can be made unavailable."""

    def __init__(self) -> None:
        self.snapshot = Snapshot(1, None, SERVERS)
        self.reads = 0
        self.available = True

    async def read(self) -> Snapshot:
        """Return the published snapshot."""
        self.reads += 1
        if not self.available:
            raise PlatformUnavailable("no route")
        return self.snapshot


class RoutingFleet:
    """Routers of published routes on a network in memory."""

    def __init__(self, network: MemoryNetwork, clock: Callable[[], float]) -> None:
        self._network = network
        self._clock = clock
        hosts = [f"a{number}" for number in range(FLEET_SIZE)]
        self.boards = {host: create_board(host) for host in hosts}
        members = {host: Member(host, 1, f"{host}:1", "a", "alive") for host in hosts}
        self.sources = {host: InMemorySource() for host in hosts}
        self.snapshot_controllers: dict[str, RoutingSnapshotController] = {}
        self.state_controllers: dict[str, FleetStateController] = {}
        for host, board in self.boards.items():
            board.members.replace(dict(members))
            link = MemoryLink(board, network)
            self.snapshot_controllers[host] = RoutingSnapshotController(
                board,
                link,
                self.sources[host],
                DecisionLog(host, None),
                GatewayMetrics(),
                clock,
            )
            self.state_controllers[host] = FleetStateController(
                board, link, create_recorder(board, clock), clock
            )
        domains = self.boards["a0"].members.map_failure_domains()
        self.readers = [
            host
            for host, board in self.boards.items()
            if is_configuration_reader(board.members.own, domains)
        ]
        self.non_readers = [host for host in hosts if host not in self.readers]

    def publish(self, snapshot: Snapshot) -> None:
        """Replace the snapshot that every router can read."""
        for source in self.sources.values():
            source.snapshot = snapshot

    def run_for(self, seconds: float) -> None:
        """Let time pass; routers read when due and broadcast changes."""
        assert isinstance(self._clock, ManualClock)
        for _ in range(round(seconds / READ_PERIOD_SECONDS)):
            self._clock.advance(READ_PERIOD_SECONDS)
            for snapshots in self.snapshot_controllers.values():
                if snapshots.is_read_due():
                    asyncio.run(snapshots.read())
            for states in self.state_controllers.values():
                states.broadcast_changes()
            self._network.deliver()

    def count_reads(self, hosts: list[str]) -> int:
        """Return how often the given routers have read the platform."""
        return sum(self.sources[host].reads for host in hosts)

    def list_servers(self, host: str) -> set[str]:
        """Return the ids of the servers that a router knows."""
        return self.boards[host].routing.list_server_ids()


def start_fleet(network: MemoryNetwork, clock: ManualClock) -> RoutingFleet:
    fleet = RoutingFleet(network, clock)
    fleet.run_for(3.0)
    assert fleet.readers
    assert all(fleet.list_servers(host) == {"s1", "s2"} for host in fleet.boards)
    return fleet


def test_routers_that_do_not_read_follow_a_restored_store(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    fleet.publish(Snapshot(20, None, SERVERS))
    fleet.run_for(3.0)
    added = SERVERS[0]._replace(id="s3", address="10.0.0.3:80")
    fleet.publish(Snapshot(4, None, (*SERVERS, added), era=1))
    reads = fleet.count_reads(fleet.non_readers)
    fleet.run_for(3.0)
    for host in fleet.boards:
        assert fleet.list_servers(host) == {"s1", "s2", "s3"}
    assert fleet.count_reads(fleet.non_readers) == reads


def test_unchanged_snapshot_is_read_only_by_the_readers(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    before = fleet.count_reads(fleet.non_readers)
    fleet.run_for(10.0)
    assert fleet.count_reads(fleet.non_readers) == before
    ages = [clock() - board.routing.read_at for board in fleet.boards.values()]
    assert max(ages) < AGE_LIMIT_SECONDS


def test_routers_read_the_platform_themselves_when_the_readers_cannot(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    for host in fleet.readers:
        fleet.sources[host].available = False
    before = fleet.count_reads(fleet.non_readers)
    fleet.run_for(
        MAX_SNAPSHOT_AGE_SECONDS + 2 * READ_PERIOD_SECONDS + REFRESH_PERIOD_SECONDS
    )
    assert fleet.count_reads(fleet.non_readers) > before
    ages = [clock() - board.routing.read_at for board in fleet.boards.values()]
    assert max(ages) < AGE_LIMIT_SECONDS + 2 * READ_PERIOD_SECONDS


def test_removed_server_is_dropped_at_once_after_a_long_time_without_changes(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    fleet.run_for(STORE_OUTAGE_SECONDS + 3.0)
    fleet.publish(Snapshot(2, None, SERVERS[:1]))
    fleet.run_for(2 * READ_PERIOD_SECONDS)
    assert all(fleet.list_servers(host) == {"s1"} for host in fleet.boards)


def test_lapsed_server_is_dropped_everywhere_after_the_store_returns(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    for source in fleet.sources.values():
        source.available = False
    fleet.run_for(STORE_OUTAGE_SECONDS + 3.0)
    fleet.publish(Snapshot(2, None, SERVERS[:1]))
    for source in fleet.sources.values():
        source.available = True
    fleet.run_for(2 * READ_PERIOD_SECONDS)
    assert all(fleet.list_servers(host) == {"s1", "s2"} for host in fleet.boards)
    fleet.run_for(RECOVERY_GRACE_SECONDS + 3 * READ_PERIOD_SECONDS)
    assert all(fleet.list_servers(host) == {"s1"} for host in fleet.boards)


def test_router_that_cannot_read_follows_its_peers(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    cut = fleet.readers[0]
    fleet.sources[cut].available = False
    fleet.publish(Snapshot(2, None, SERVERS[:1]))
    fleet.run_for(3 * READ_PERIOD_SECONDS)
    assert fleet.list_servers(cut) == {"s1"}


def test_outdated_snapshot_is_ignored(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    routing = fleet.boards["a0"].routing
    fleet.publish(Snapshot(3, None, SERVERS[:1]))
    fleet.run_for(2 * READ_PERIOD_SECONDS)
    assert routing.apply_snapshot(Snapshot(2, None, SERVERS), clock()) is None
    assert routing.revision == 3
    read_at = routing.read_at
    assert routing.apply_snapshot(Snapshot(3, None, SERVERS[:1]), read_at - 1.0) is None
    assert routing.read_at == read_at


def start_one(
    fleet: RoutingFleet, host: str, seeds: tuple[str, ...]
) -> RoutingSnapshotController:
    """Return the controller of a router that starts with some seeds."""
    fleet.boards[host].seeds.replace(seeds)
    return fleet.snapshot_controllers[host]


@async_fixture
async def running_network() -> AsyncIterator[MemoryNetwork]:
    """Yield a network that delivers as time passes."""
    network = MemoryNetwork()

    async def deliver() -> None:
        while True:
            network.deliver()
            await asyncio.sleep(0.01)

    task = asyncio.create_task(deliver())
    yield network
    task.cancel()


async def test_starting_router_takes_the_snapshot_of_a_seed_and_does_not_read(
    running_network: MemoryNetwork,
) -> None:
    fleet = RoutingFleet(running_network, time.monotonic)
    seed, starting = fleet.snapshot_controllers["a0"], "a1"
    await seed.read()
    controller = start_one(fleet, starting, ("a0:1",))
    await controller.maybe_start()
    await wait_until(lambda: fleet.list_servers(starting) == {"s1", "s2"})
    await asyncio.sleep(2 * CHECK_PERIOD_SECONDS)
    await controller.stop()
    assert fleet.count_reads([starting]) == 0


async def test_starting_router_reads_the_platform_when_its_seeds_are_down(
    running_network: MemoryNetwork,
) -> None:
    fleet = RoutingFleet(running_network, time.monotonic)
    controller = start_one(fleet, "a1", ("z1:1", "z2:1", "z3:1"))
    started_at = time.monotonic()
    await controller.maybe_start()
    await wait_until(lambda: fleet.list_servers("a1") == {"s1", "s2"})
    await controller.stop()
    assert time.monotonic() - started_at >= START_WAIT_SECONDS[0]
    assert fleet.count_reads(["a1"]) == 1
