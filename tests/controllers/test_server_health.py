"""
Health checks of backend servers.

One router polls each server. A server that fails is avoided for a bounded
time, and other routers check it, because the fault may be on the path alone.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.server_health import (
    HttpLoadSource,
    LoadReport,
    ServerHealthController,
)
from sycamorehaven.controllers.server_notices import ServerNoticeController
from sycamorehaven.decisions.reachability import MAX_AVOIDANCE_SECONDS
from sycamorehaven.standins.engine import EngineStandin
from sycamorehaven.standins.serving import start_application
from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board
from tests.support.fleet import allocate_address

if TYPE_CHECKING:
    from sycamorehaven.configuration.model import BackendServer

SERVERS = [
    ServerPlan(f"engine-{n}", "assistant", f"127.0.0.1:{n}") for n in range(1, 9)
]


class FakeLoadSource:
    """A load source of one router that returns the reports set by a test."""

    def __init__(self) -> None:
        self.reports: dict[str, LoadReport | None] = {}
        self.reads: list[str] = []

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return the report that was set, or a default."""
        self.reads.append(server.name)
        return self.reports.get(server.name, LoadReport(3, 4, False))


class RouterFleet:
    """Health controllers of three routers with the same configuration."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network = network
        self.boards = [create_board(f"r{n}", "a", n + 1) for n in range(3)]
        members = {b.identity.host: b.members.own for b in self.boards}
        configuration = accept_text(build_configuration_text(SERVERS).encode(), 1)
        self.sources = [FakeLoadSource() for _ in self.boards]
        self.controllers = []
        for board, source in zip(self.boards, self.sources, strict=True):
            board.members.replace(members)
            board.configuration.replace(configuration)
            link = MemoryLink(board, network)
            notices = ServerNoticeController(board, link, clock, clock)
            self.controllers.append(
                ServerHealthController(board, source, link, notices, clock)
            )

    async def poll(self, rounds: int = 1) -> None:
        """Let every router poll, and deliver the messages that this causes."""
        for _ in range(rounds):
            for controller in self.controllers:
                await controller.poll()
            while self.network.deliver():
                await asyncio.sleep(0)
                await asyncio.sleep(0)

    def find_poller(self, server: str) -> int:
        """Return the index of the router that polls a server."""
        return next(
            n for n, source in enumerate(self.sources) if server in source.reads
        )


async def test_a_load_is_read_over_http() -> None:
    address = allocate_address()
    engine = EngineStandin(slots=6)
    runner = await start_application(engine.build_application(), address)
    source = HttpLoadSource()
    server = accept_text(
        build_configuration_text([ServerPlan("e", "assistant", address)]).encode(), 1
    ).servers["e"]
    try:
        assert await source.read_load(server) == LoadReport(0, 6, False)
        engine.faults.leaving = True
        assert await source.read_load(server) == LoadReport(0, 6, True)
        await runner.cleanup()
        assert await source.read_load(server) is None
    finally:
        await source.close()
        await runner.cleanup()


async def test_one_router_polls_each_server(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    await fleet.poll()
    reads = [name for source in fleet.sources for name in source.reads]
    assert sorted(reads) == [plan.name for plan in SERVERS]
    poller = fleet.find_poller("engine-1")
    assert fleet.boards[poller].server_statuses.get("engine-1").running_requests == 3


async def test_a_dead_server_is_avoided_for_a_bounded_time(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    await fleet.poll()
    poller = fleet.find_poller("engine-1")
    servers = fleet.boards[poller].server_statuses
    for source in fleet.sources:
        source.reports["engine-1"] = None
    await fleet.poll(2)
    assert servers.takes_work("engine-1", clock())
    await fleet.poll(10)
    assert not servers.takes_work("engine-1", clock())
    rounds_on_trial = 0
    for _ in range(120):
        clock.advance(0.5)
        await fleet.poll()
        rounds_on_trial += servers.takes_work("engine-1", clock())
    assert servers.takes_work("engine-1", clock() + MAX_AVOIDANCE_SECONDS)
    assert 120 / 20 < rounds_on_trial < 120 / 4
    for source in fleet.sources:
        del source.reports["engine-1"]
    await fleet.poll()
    assert servers.takes_work("engine-1", clock())


async def test_helpers_report_the_load_for_a_poller_that_is_cut_off(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    await fleet.poll()
    poller = fleet.find_poller("engine-1")
    fleet.sources[poller].reports["engine-1"] = None
    for number, source in enumerate(fleet.sources):
        if number != poller:
            source.reports["engine-1"] = LoadReport(1, 4, False)
    await fleet.poll(10)
    status = fleet.boards[poller].server_statuses.get("engine-1")
    assert status.running_requests == 1
    assert fleet.boards[poller].server_statuses.takes_work("engine-1", clock())


async def test_lost_connections_are_counted_once_per_avoidance(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    edge, servers = fleet.controllers[0], fleet.boards[0].server_statuses
    for _ in range(50):
        edge.report_lost("engine-1")
    assert not servers.takes_work("engine-1", clock())
    assert servers.takes_work("engine-1", clock() + 0.5)
    for _ in range(20):
        clock.advance(MAX_AVOIDANCE_SECONDS)
        edge.report_lost("engine-1")
    assert servers.takes_work("engine-1", clock() + MAX_AVOIDANCE_SECONDS)


async def test_a_leaving_server_is_avoided_until_its_reports_clear_it(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    edge, board = fleet.controllers[0], fleet.boards[0]
    edge.report_leaving("engine-1")
    await fleet.poll()
    assert not board.server_statuses.takes_work("engine-1", clock())
    assert board.server_statuses.get("engine-1").leaving
    clock.advance(6.0)
    await fleet.poll()
    for other in fleet.boards:
        assert other.server_statuses.takes_work("engine-1", clock())


async def test_server_without_load_reports_is_not_considered_dead() -> None:
    address = allocate_address()
    runner = await start_application(web.Application(), address)
    plan = SERVERS[0]._replace(address=address)
    text = build_configuration_text([plan]).encode()
    source = HttpLoadSource()
    server = accept_text(text, 1).servers[plan.name]
    try:
        assert await source.read_load(server) == LoadReport(0, 0, leaving=False)
    finally:
        await runner.cleanup()
    assert await source.read_load(server) is None
    await source.close()
