"""Notices of leaving servers reach every router despite message loss."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.host_list import HostListController
from sycamorehaven.controllers.server_notices import ServerNoticeController
from sycamorehaven.transport.messages.servers import ServerNotice, ServerStateRow
from sycamorehaven.transport.platform_client import ListedHost
from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard

SERVERS = [
    ServerPlan("engine-1", "assistant", "127.0.0.1:9001"),
    ServerPlan("engine-2", "assistant", "127.0.0.1:9002"),
]
MAX_LEAVE_SECONDS = 3.0
"""Longest time in which a leaving server may still get new work."""


class RouterFleet:
    """Notice controllers of a fleet on a network in memory."""

    def __init__(self, count: int, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network, self.clock = network, clock
        self.boards: list[Blackboard] = []
        self.controllers: list[ServerNoticeController] = []
        self.links: list[MemoryLink] = []
        for number in range(count):
            board = create_board(f"r{number}", f"d{number % 6}", number + 1)
            self.boards.append(board)
            self.links.append(MemoryLink(board, network))
        members = {b.identity.host: b.members.own for b in self.boards}
        configuration = accept_text(build_configuration_text(SERVERS).encode(), 1)
        for board, link in zip(self.boards, self.links, strict=True):
            board.members.replace(members)
            self.controllers.append(ServerNoticeController(board, link, clock, clock))
            board.configuration.replace(configuration)
        self.run_for(1.0)

    def run_for(self, seconds: float, step: float = 0.25) -> None:
        """Advance the clock; messages of one step arrive in the next."""
        for _ in range(round(seconds / step)):
            pending, self.network.pending_deliveries = (
                self.network.pending_deliveries,
                [],
            )
            batch, self.network.pending_deliveries = (
                self.network.pending_deliveries,
                pending,
            )
            self.network.deliver(len(pending))
            self.network.pending_deliveries += batch
            self.clock.advance(step)
            for controller in self.controllers:
                controller.tick()

    def count_serving(self, server: str) -> int:
        """Return how many routers would send new work to a server."""
        now = self.clock()
        return sum(
            board.server_statuses.takes_work(server, now) for board in self.boards
        )


def test_each_source_stops_new_work_everywhere_in_time(clock: ManualClock) -> None:
    for source in ("refusal", "report", "list"):
        network = MemoryNetwork(seed=2, loss=0.2)
        fleet = RouterFleet(420, network, clock)
        assert fleet.count_serving("engine-1") == 420
        first = fleet.controllers[7]
        if source == "refusal":
            first.record_refusal("engine-1")
        elif source == "report":
            first.record_load_report("engine-1", leaving=True)
        else:
            first.record_listing({"engine-1": True, "engine-2": False})
        fleet.run_for(MAX_LEAVE_SECONDS)
        assert fleet.count_serving("engine-1") == 0, source
        assert fleet.count_serving("engine-2") == 420
        assert max(len(link.sent_messages) for link in fleet.links) < 60


def test_a_server_that_comes_back_serves_again(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(12, network, clock)
    poller, list_reader, lagging = fleet.controllers[:3]
    list_reader.record_listing({"engine-1": False})
    lagging.record_listing({"engine-1": False})
    poller.record_load_report("engine-1", leaving=True)
    list_reader.record_listing({"engine-1": True})
    fleet.run_for(1.0)
    lagging.record_listing({"engine-1": False})
    poller.record_load_report("engine-1", leaving=False)
    fleet.run_for(1.0)
    assert fleet.count_serving("engine-1") == 0
    fleet.run_for(6.0)
    poller.record_load_report("engine-1", leaving=False)
    fleet.run_for(1.0)
    assert fleet.count_serving("engine-1") == 0
    list_reader.record_listing({"engine-1": False})
    fleet.run_for(1.0)
    assert fleet.count_serving("engine-1") == 12


def test_lost_notices_are_repeated(clock: ManualClock) -> None:
    network = MemoryNetwork(seed=5, loss=0.6)
    fleet = RouterFleet(60, network, clock)
    network.disconnected_pairs = {frozenset({"r0:1", f"r{n}:1"}) for n in range(1, 60)}
    fleet.controllers[1].record_refusal("engine-1")
    fleet.run_for(8.0)
    assert fleet.count_serving("engine-1") == 1
    network.disconnected_pairs, network.loss = set(), 0.0
    fleet.run_for(3.0)
    assert fleet.count_serving("engine-1") == 0


def test_a_new_router_requests_notices_before_it_sends_work(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(4, network, clock)
    fleet.controllers[1].record_refusal("engine-1")
    fleet.run_for(1.0)
    board = create_board("new", "a", 99)
    link = MemoryLink(board, network)
    board.members.replace({b.identity.host: b.members.own for b in fleet.boards})
    controller = ServerNoticeController(board, link, clock, clock)
    assert board.server_statuses.takes_work("engine-2", clock())
    board.configuration.replace(
        accept_text(build_configuration_text(SERVERS).encode(), 1)
    )
    assert not board.server_statuses.takes_work("engine-2", clock())
    network.deliver()
    controller.tick()
    assert board.server_statuses.takes_work("engine-2", clock())
    assert not board.server_statuses.takes_work("engine-1", clock())


def test_a_paused_router_requests_notices_before_it_sends_work(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(4, network, clock)
    paused = fleet.controllers.pop(0)
    board = fleet.boards[0]
    network.disconnected_pairs = {frozenset({"r0:1", f"r{n}:1"}) for n in range(1, 4)}
    fleet.controllers[1].record_refusal("engine-1")
    fleet.run_for(5.0)
    assert not board.server_statuses.takes_work("engine-1", clock())
    assert not board.server_statuses.takes_work("engine-2", clock())
    network.disconnected_pairs = set()
    paused.tick()
    assert not board.server_statuses.takes_work("engine-2", clock())
    network.deliver()
    paused.tick()
    assert board.server_statuses.takes_work("engine-2", clock())
    assert not board.server_statuses.takes_work("engine-1", clock())


def test_a_router_without_a_reply_resumes_after_the_timeout(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(3, network, clock)
    network.loss = 1.0
    clock.advance(10.0)
    controller, board = fleet.controllers[0], fleet.boards[0]
    for _ in range(4):
        controller.tick()
        clock.advance(0.25)
    assert board.server_statuses.takes_work("engine-1", clock())


def test_notices_of_unknown_servers_are_dropped(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(2, network, clock)
    row = ServerStateRow("nobody", "list", "leaving", 1)
    fleet.links[1].send("r0", ServerNotice(9, [row]))
    fleet.run_for(1.0)
    assert fleet.boards[0].departures.list_registers() == []


class FixedHostList:
    """A platform client that returns a given host list."""

    def __init__(self, hosts: list[ListedHost]) -> None:
        self.hosts = hosts

    async def list_hosts(self) -> list[ListedHost]:
        """Return the given hosts."""
        return self.hosts


async def test_the_host_list_gives_seeds_and_leaving_servers(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(2, network, clock)
    board = fleet.boards[0]
    hosts = [
        ListedHost("r1", "10.0.0.1:1", "a", "live", "router"),
        ListedHost("r2", "10.0.0.2:1", "a", "leaving", "router"),
        ListedHost("r0", "r0:1", "a", "live", "router"),
        ListedHost("rack-4", SERVERS[0].address, "a", "leaving", "server"),
        ListedHost("engine-2", "10.9.9.9:1", "a", "live", "server"),
    ]
    controller = HostListController(
        board, FixedHostList(hosts), fleet.controllers[0], clock
    )
    await controller.read_list()
    assert board.seeds.addresses == ("10.0.0.1:1",)
    fleet.run_for(1.0)
    assert fleet.count_serving("engine-1") == 0
    assert fleet.count_serving("engine-2") == 2
