"""How routers learn of evacuations from the store and from each other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.controllers.routing_snapshots import (
    READ_PERIOD_SECONDS,
    RoutingSnapshotController,
)
from sycamorehaven.routing.model import Evacuation, ServerRecord, Snapshot
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.controllers.test_routing_snapshots import (
    SERVERS,
    InMemorySource,
    RoutingFleet,
    start_fleet,
)
from tests.support.doubles import MemoryLink, create_board
from tests.support.snapshot_simulation import SnapshotFleet
from tests.support.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock, MemoryNetwork

EVACUATED = Snapshot(2, None, SERVERS, evacuations=(Evacuation("a", 2),))
BOUND_SECONDS = 5.0
"""Time after which no router may send to an evacuated failure domain."""


def list_sending(fleet: RoutingFleet) -> list[str]:
    """Return the routers that don't know that the servers are evacuated."""
    return [
        host
        for host, board in fleet.boards.items()
        if not all(map(board.routing.is_evacuated, SERVERS))
    ]


def test_routers_that_do_not_read_learn_of_a_change_of_only_the_evacuations(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    reads = fleet.count_reads(fleet.non_readers)
    fleet.publish(EVACUATED)
    fleet.run_for(2 * READ_PERIOD_SECONDS)
    assert not list_sending(fleet)
    fleet.publish(Snapshot(3, None, SERVERS))
    fleet.run_for(2 * READ_PERIOD_SECONDS)
    assert list_sending(fleet) == list(fleet.boards)
    assert fleet.count_reads(fleet.non_readers) == reads


def test_routers_that_the_store_refuses_learn_of_an_evacuation_from_peers(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    for host in fleet.readers[: len(fleet.boards) // 3]:
        fleet.sources[host].available = False
    fleet.publish(EVACUATED)
    fleet.run_for(BOUND_SECONDS - READ_PERIOD_SECONDS)
    assert not list_sending(fleet)


def test_evacuation_holds_while_the_store_is_down(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = start_fleet(network, clock)
    fleet.publish(EVACUATED)
    fleet.run_for(2 * READ_PERIOD_SECONDS)
    for source in fleet.sources.values():
        source.available = False
    fleet.publish(Snapshot(3, None, SERVERS))
    fleet.run_for(30.0)
    assert not list_sending(fleet)


class RecordingObserver:
    """Keeps the servers whose evacuation has ended."""

    def __init__(self) -> None:
        self.ended: list[tuple[str, float]] = []

    def record_evacuation_end(self, server: ServerRecord, now: float) -> None:
        """Keep a server."""
        self.ended.append((server.id, now))


async def test_observer_is_told_of_each_server_of_an_evacuation_that_ends(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    observer, source, board = RecordingObserver(), InMemorySource(), create_board("a0")
    other = SERVERS[0]._replace(id="s3", address="10.0.0.3:80", failure_domain="b")
    controller = RoutingSnapshotController(
        board,
        MemoryLink(board, network),
        source,
        DecisionLog("a0", None),
        GatewayMetrics(),
        clock,
        observer,
    )
    for snapshot in (EVACUATED, Snapshot(3, None, SERVERS)):
        assert not observer.ended
        source.snapshot = snapshot._replace(servers=(*SERVERS, other))
        await controller.read()
    assert observer.ended == [("s1", clock()), ("s2", clock())]


async def change_often(fleet: SnapshotFleet, seconds: float) -> None:
    """Begin and end evacuations, and change servers, at random moments."""
    store, loop = fleet.store, asyncio.get_running_loop()
    ends_at, number = loop.time() + seconds, 20
    while loop.time() < ends_at:
        await asyncio.sleep(store.chance.uniform(0.02, 1.0))
        # Five of the items fill the first page, so that there are two.
        domain = f"d{store.chance.randrange(8)}"
        if store.evacuations.get(domain, (None, False))[1]:
            store.end_evacuation(domain)
        else:
            store.evacuate(domain)
        store.register(number)
        number += 1


async def play_changes(size: int, seed: int, deadline: float) -> list[str]:
    """Return what any router had in force though it may not."""
    fleet, loop = SnapshotFleet(size, seed), asyncio.get_running_loop()
    fleet.store.publish(1)
    for number in range(10):
        fleet.store.register(number)
    await fleet.start()
    await asyncio.sleep(4.0)
    fleet.store.page_seconds = 0.005, 0.2
    changes = asyncio.create_task(change_often(fleet, 8.0))
    faults: set[str] = set()
    ends_at = loop.time() + 8.0 + deadline
    while loop.time() < ends_at:
        faults.update(fleet.list_faults(deadline))
        await asyncio.sleep(0.05)
    await changes
    assert len(fleet.store.evacuations) > 4
    await fleet.stop()
    return sorted(faults)


def test_evacuations_written_and_deleted_between_pages_are_followed() -> None:
    for size, seed in ((2, 1), (2, 2), (2, 3), (14, 1), (14, 2), (66, 1)):
        faults = run_in_virtual_time(play_changes(size, seed, BOUND_SECONDS))
        assert not faults, (size, seed, faults)
