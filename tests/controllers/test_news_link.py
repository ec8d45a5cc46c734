"""News of a large fleet that go through collectors."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.fleet_load import Contention
from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.fleet_state import (
    FleetStateController,
)
from sycamorehaven.controllers.news_link import (
    BATCH_PERIOD_SECONDS,
    COLLECTOR_SILENCE_SECONDS,
    REMOTE_COLLECTORS_TRIED,
    NewsLink,
)
from sycamorehaven.decisions.news_routes import (
    choose_broadcast_period_seconds,
    map_collectors,
)
from sycamorehaven.routing.model import ServerRecord, Snapshot
from tests.support.doubles import MemoryLink, create_board, create_recorder

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from tests.support.doubles import ManualClock, MemoryNetwork

DOMAINS = ("a", "b", "c")
ROUTERS_PER_DOMAIN = 30
SERVER = ServerRecord("s1", 1, "model", "10.0.0.1:80", "a", 4, draining=False)
TICK_SECONDS = 0.05
AGREED_SECONDS = 1.0
"""Time within which news are known everywhere."""


class LargeFleet:
    """Routers whose news go through collectors, on a network in memory."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network = network
        self.clock = clock
        self.boards: dict[str, Blackboard] = {}
        self.links: dict[str, NewsLink] = {}
        self.plain_links: dict[str, MemoryLink] = {}
        self.states: dict[str, FleetStateController] = {}
        self.stopped: set[str] = set()
        self._reported_at: dict[str, float] = {}
        self.message_count = 0
        members = {
            f"{domain}{number}": Member(
                f"{domain}{number}", 1, f"{domain}{number}:1", domain, "alive"
            )
            for domain in DOMAINS
            for number in range(ROUTERS_PER_DOMAIN)
        }
        for host, member in members.items():
            board = self.boards[host] = create_board(host, member.failure_domain)
            plain = self.plain_links[host] = MemoryLink(board, network)
            self.links[host] = NewsLink(board, plain, clock)
            board.members.replace(dict(members))
            board.routing.apply_snapshot(Snapshot(1, None, (SERVER,)), clock())
            self.states[host] = FleetStateController(
                board, self.links[host], create_recorder(board, clock), clock
            )
        self.collectors = map_collectors(
            {host: member.failure_domain for host, member in members.items()}
        )

    def run_for(self, seconds: float) -> None:
        """Let time pass; routers report and collectors pass reports on."""
        period = choose_broadcast_period_seconds(len(self.boards))
        for tick in range(round(seconds / TICK_SECONDS)):
            self.clock.advance(TICK_SECONDS)
            for host, state in self.states.items():
                if host in self.stopped:
                    continue
                if self.clock() - self._reported_at.get(host, 0.0) >= period:
                    self._reported_at[host] = self.clock()
                    state.broadcast_changes()
                if tick % round(BATCH_PERIOD_SECONDS / TICK_SECONDS) == 0:
                    self.links[host].send_batches()
            self.message_count += self.network.deliver(100_000)

    def stop(self, host: str) -> None:
        """Let a router stop without a word; its messages are lost."""
        self.stopped.add(host)
        del self.network.links[f"{host}:1"]

    def cut(self, domain: str) -> None:
        """Lose all messages between a failure domain and the others."""
        inside = [host for host in self.boards if host.startswith(domain)]
        self.network.disconnected_pairs = {
            frozenset({f"{host}:1", f"{other}:1"})
            for host in inside
            for other in self.boards
            if not other.startswith(domain)
        }

    def start_request(self, host: str) -> None:
        """Place a request at the server."""
        fleet_load = self.boards[host].fleet_load
        fleet_load.find_model("s1").start_request(100, self.clock())
        fleet_load.mark_load_changed("s1")

    def count_running(self, hosts: list[str]) -> set[int]:
        """Return the numbers of running requests that routers know of."""
        return {
            self.boards[host].fleet_load.find_model("s1").count_requests(self.clock())
            for host in hosts
            if host not in self.stopped
        }

    def choose_reporter(self, domain: str) -> str:
        """Return a router of a domain that is no collector."""
        return next(
            host
            for host in self.boards
            if host.startswith(domain) and host not in self.collectors[domain]
        )


def test_every_router_of_a_large_fleet_learns_of_a_placement_within_a_second(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = LargeFleet(network, clock)
    fleet.run_for(2.0)
    for host in ("a3", "b7", "c11"):
        fleet.start_request(host)
    fleet.run_for(AGREED_SECONDS)
    assert fleet.count_running(list(fleet.boards)) == {3}


def test_messages_of_a_large_fleet_do_not_grow_with_the_square_of_its_size(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = LargeFleet(network, clock)
    fleet.run_for(2.0)
    fleet.message_count = 0
    fleet.run_for(5.0)
    per_router = fleet.message_count / 5.0 / len(fleet.boards)
    assert per_router < 20.0


def test_news_of_routers_continue_when_their_collector_dies_unnoticed(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = LargeFleet(network, clock)
    fleet.run_for(2.0)
    fleet.stop(fleet.collectors["a"][0])
    fleet.run_for(COLLECTOR_SILENCE_SECONDS + AGREED_SECONDS)
    for host in fleet.boards:
        if host.startswith("a") and host not in fleet.stopped:
            fleet.start_request(host)
    fleet.run_for(AGREED_SECONDS)
    assert fleet.count_running(list(fleet.boards)) == {ROUTERS_PER_DOMAIN - 1}


def test_routers_without_a_live_collector_report_to_another_failure_domain(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = LargeFleet(network, clock)
    fleet.run_for(2.0)
    for host in fleet.collectors["a"]:
        fleet.stop(host)
    fleet.run_for(2 * COLLECTOR_SILENCE_SECONDS + AGREED_SECONDS)
    fleet.start_request(fleet.choose_reporter("a"))
    fleet.start_request(fleet.choose_reporter("b"))
    fleet.run_for(AGREED_SECONDS)
    assert fleet.count_running(list(fleet.boards)) == {2}


def test_routers_tell_each_other_directly_if_every_collector_is_silent(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = LargeFleet(network, clock)
    fleet.run_for(2.0)
    fleet.cut("a")
    for host in fleet.collectors["a"]:
        fleet.stop(host)
    tried = len(fleet.collectors["a"]) + REMOTE_COLLECTORS_TRIED
    fleet.run_for(tried * (COLLECTOR_SILENCE_SECONDS + AGREED_SECONDS))
    fleet.start_request(fleet.choose_reporter("a"))
    fleet.run_for(AGREED_SECONDS)
    assert fleet.count_running([h for h in fleet.boards if h[0] == "a"]) == {1}


def test_failure_domain_that_is_cut_off_goes_on_alone_and_comes_back(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = LargeFleet(network, clock)
    fleet.run_for(2.0)
    fleet.cut("b")
    fleet.start_request("b5")
    fleet.start_request("c5")
    fleet.run_for(AGREED_SECONDS)
    inside = [host for host in fleet.boards if host.startswith("b")]
    outside = [host for host in fleet.boards if not host.startswith("b")]
    assert fleet.count_running(inside) == {1}
    assert fleet.count_running(outside) == {1}
    fleet.network.disconnected_pairs = set()
    fleet.run_for(2.0)
    assert fleet.count_running(list(fleet.boards)) == {2}


def test_age_of_a_snapshot_includes_the_time_that_collectors_held_the_news(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = LargeFleet(network, clock)
    read_at = fleet.boards["a0"].routing.read_at
    fleet.run_for(3.0)
    assert {board.routing.read_at for board in fleet.boards.values()} == {read_at}
    heard = [
        report.news.age
        for link in fleet.plain_links.values()
        for _, message in link.sent_messages
        for report in getattr(message, "reports", ())
    ]
    assert max(heard) > BATCH_PERIOD_SECONDS


def test_waiting_requests_that_were_placed_hold_back_no_other_router(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = LargeFleet(network, clock)
    fleet.run_for(2.0)
    own = fleet.boards["a3"].fleet_load
    own.update_contentions("model", [Contention(0.1, 7, clock() + 0.3)])
    fleet.run_for(AGREED_SECONDS / 2)
    other = fleet.boards["c5"].fleet_load
    assert other.count_requests_ahead("model", 0.9, clock()) == 7
    fleet.run_for(AGREED_SECONDS / 2)
    assert other.count_requests_ahead("model", 0.9, clock()) == 0
