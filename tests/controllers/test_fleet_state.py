"""Exchange of load and usage between routers of published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.fleet_load import Contention
from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.fleet_state import (
    DEMAND_REFRESH_PER_MEMBER_SECONDS,
    MIN_CONTENTION_LIFETIME_SECONDS,
    MIN_LOAD_LIFETIME_SECONDS,
    REFRESH_PERIOD_SECONDS,
    SAID_REFRESH_SECONDS,
    FleetStateController,
)
from sycamorehaven.decisions.news_routes import (
    choose_broadcast_period_seconds,
    choose_report_lifetime_seconds,
)
from sycamorehaven.decisions.server_conditions import NamedLimit
from sycamorehaven.identity import RouterId
from sycamorehaven.routing.model import ServerRecord, Snapshot
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.fleet import FleetNews
from tests.support.doubles import MemoryLink, create_board, create_recorder

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from tests.support.doubles import ManualClock, MemoryNetwork

HOSTS = ("a1", "a2", "a3")
SERVER = ServerRecord("s1", 1, "model", "10.0.0.1:80", "a", 4, draining=False)


class RouterFleet:
    """Routers of published routes on a network in memory."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network = network
        self._clock = clock
        self.boards: dict[str, Blackboard] = {}
        self.controllers: dict[str, FleetStateController] = {}
        for host in HOSTS:
            self.start_router(host, 1)
        self.broadcast_changes()

    def start_router(self, host: str, incarnation: int) -> None:
        """Start the process of a router."""
        board = create_board(host, incarnation=incarnation)
        self.boards[host] = board
        members = {
            name: Member(name, other.identity.incarnation, f"{name}:1", "a", "alive")
            for name, other in self.boards.items()
        }
        for other in self.boards.values():
            other.members.replace(dict(members))
        board.routing.apply_snapshot(Snapshot(1, None, (SERVER,)), self._clock())
        self.controllers[host] = FleetStateController(
            board,
            MemoryLink(board, self.network),
            create_recorder(board, self._clock),
            self._clock,
        )

    def start_request(self, host: str, tokens: int) -> None:
        """Place a request of some prompt tokens at the server."""
        fleet_load, now = self.boards[host].fleet_load, self._clock()
        fleet_load.find_model("s1").start_request(tokens, now)
        fleet_load.mark_load_changed("s1")

    def broadcast_changes(self) -> None:
        """Let every router broadcast what has changed."""
        for controller in self.controllers.values():
            controller.broadcast_changes()
        self.network.deliver()

    def count_running(self, host: str) -> int:
        """Return how many running requests a router counts at the server."""
        model = self.boards[host].fleet_load.find_model("s1")
        return model.count_requests(self._clock())


def test_every_router_knows_the_requests_that_others_placed(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    fleet.start_request("a1", 3_000)
    fleet.start_request("a1", 2_000)
    fleet.start_request("a2", 1_000)
    fleet.broadcast_changes()
    assert [fleet.count_running(host) for host in HOSTS] == [3, 3, 3]
    model = fleet.boards["a3"].fleet_load.find_model("s1")
    assert model.count_pending_tokens(clock()) == 6_000


def test_lost_messages_are_made_up_for_by_the_refresh(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    network.disconnected_pairs = {frozenset({"a1:1", "a2:1"})}
    fleet.start_request("a1", 3_000)
    fleet.broadcast_changes()
    assert fleet.count_running("a2") == 0
    network.disconnected_pairs = set()
    clock.advance(REFRESH_PERIOD_SECONDS)
    fleet.broadcast_changes()
    assert fleet.count_running("a2") == 1


def test_load_of_a_silent_router_expires(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    fleet.start_request("a1", 3_000)
    fleet.broadcast_changes()
    clock.advance(MIN_LOAD_LIFETIME_SECONDS)
    assert fleet.count_running("a2") == 0


def test_usage_is_counted_once_across_the_fleet(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    fleet.boards["a1"].fleet_load.add_usage("oakcourt", 500.0, 0.0, clock())
    clock.advance(REFRESH_PERIOD_SECONDS)
    fleet.broadcast_changes()
    fleet.boards["a1"].fleet_load.add_usage("oakcourt", 200.0, 300.0, clock())
    fleet.broadcast_changes()
    clock.advance(REFRESH_PERIOD_SECONDS)
    fleet.broadcast_changes()
    fleet.broadcast_changes()
    usage = fleet.boards["a2"].fleet_load.usage_window
    assert usage.get_received("oakcourt", clock()) == 300.0


def test_usage_totals_of_a_restarted_router_are_counted_anew(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    fleet.boards["a1"].fleet_load.add_usage("oakcourt", 500.0, 500.0, clock())
    clock.advance(REFRESH_PERIOD_SECONDS)
    fleet.broadcast_changes()
    fleet.start_router("a1", 2)
    for _ in range(2):
        fleet.boards["a1"].fleet_load.add_usage("oakcourt", 100.0, 100.0, clock())
        clock.advance(REFRESH_PERIOD_SECONDS)
        fleet.broadcast_changes()
    given = fleet.boards["a2"].fleet_load.usage_window.get_received("oakcourt", clock())
    assert given <= 700.0


def test_routers_agree_on_what_an_engine_may_run(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    models = [
        board.fleet_load.update_capacity("s1", 0, 20) for board in fleet.boards.values()
    ]
    for _ in range(10):
        fleet.start_request("a1", 1_000)
    fleet.start_request("a2", 1_000)
    for _ in range(600):
        models[0].concurrency.observe_gap(0.01, 0.5, clock())
    for _ in range(40):
        clock.advance(0.03)
        for host in HOSTS:
            fleet.boards[host].fleet_load.mark_load_changed("s1")
        fleet.broadcast_changes()
    limits = [model.concurrency.limit for model in models]
    assert max(limits) - min(limits) < 0.1 * max(limits)
    assert min(limits) > 10


def add_members(routers: RouterFleet, count: int) -> None:
    """Let the routers know members that never send anything."""
    for board in routers.boards.values():
        members = {member.host: member for member in board.members.list()}
        for number in range(count):
            host = f"b{number}"
            members[host] = Member(host, 1, f"{host}:1", "b", "alive")
        board.members.replace(members)


def report_waiting_requests(routers: RouterFleet, clock: ManualClock) -> None:
    """Let the first router report waiting requests to the others."""
    contention = Contention(0.2, 7, clock() + 1.0)
    routers.boards["a1"].fleet_load.update_contentions("model", [contention])
    routers.broadcast_changes()


def test_reported_requests_count_until_the_next_report_in_a_large_fleet(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = RouterFleet(network, clock)
    add_members(routers, 417)
    members = len(routers.boards["a2"].members.list())
    fleet_load = routers.boards["a2"].fleet_load
    report_waiting_requests(routers, clock)
    clock.advance(choose_broadcast_period_seconds(members))
    assert fleet_load.count_requests_ahead("model", 0.9, clock()) == 7
    assert fleet_load.count_requests_ahead("model", 0.3, clock()) == 0
    clock.advance(
        choose_report_lifetime_seconds(members, MIN_CONTENTION_LIFETIME_SECONDS)
    )
    assert fleet_load.count_requests_ahead("model", 0.9, clock()) == 0


def test_report_without_waiting_requests_ends_the_contention(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = RouterFleet(network, clock)
    report_waiting_requests(routers, clock)
    routers.boards["a1"].fleet_load.update_contentions(
        "model", [Contention(0.2, 7, clock())]
    )
    routers.start_request("a1", 100)
    routers.broadcast_changes()
    fleet_load = routers.boards["a2"].fleet_load
    assert fleet_load.count_requests_ahead("model", 0.9, clock()) == 0


def test_load_of_others_counts_until_the_next_report_in_a_large_fleet(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    routers = RouterFleet(network, clock)
    add_members(routers, 417)
    members = len(routers.boards["a2"].members.list())
    routers.start_request("a1", 100)
    routers.broadcast_changes()
    clock.advance(choose_broadcast_period_seconds(members))
    assert routers.count_running("a2") == 1


def test_charge_that_is_taken_back_late_leaves_the_news_readable(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    board = fleet.boards["a1"]
    usage = board.fleet_load.usage_window
    board.fleet_load.add_usage("oakcourt", 300.0, 300.0, clock())
    clock.advance(usage.length + 1.0)
    board.fleet_load.add_usage("lindenhof", 500.0, 500.0, clock())
    board.fleet_load.add_usage("oakcourt", 900.0, -300.0, clock())
    share = usage.get_fair_share(clock())
    fill_level = usage.get_fill_level("oakcourt", share, clock())
    board.fleet_load.update_contentions(
        "model", [Contention(fill_level, 3, clock() + 1.0)]
    )
    fleet.controllers["a1"].broadcast_changes()
    sent = fleet.network.pending_deliveries[-1][1].message
    codec = Codec(RouterId("a1", 1), "a1:1")
    assert codec.decode(codec.encode(sent)).message == sent


def test_usage_counts_on_when_members_change_and_a_router_renewed_its_incarnation(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    receiver = fleet.boards["a2"]
    for round_number in range(3):
        fleet.boards["a1"].fleet_load.add_usage("oakcourt", 100.0, 100.0, clock())
        clock.advance(REFRESH_PERIOD_SECONDS)
        fleet.broadcast_changes()
        members = {member.host: member for member in receiver.members.list()}
        renewed = members["a1"]._replace(incarnation=100 + round_number)
        receiver.members.replace({**members, "a1": renewed})
    given = receiver.fleet_load.usage_window.get_received("oakcourt", clock())
    assert given == 200.0


def test_limit_that_one_router_hears_of_holds_at_all(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    heard = fleet.boards["a1"].server_conditions
    heard.get("s1/1").conditions.apply_limit(NamedLimit(4.0, clock()))
    heard.mark_changed("s1/1")
    fleet.broadcast_changes()
    for host in HOSTS:
        gate = fleet.boards[host].server_conditions.find("s1/1")
        assert gate is not None
        assert gate.conditions.limit == NamedLimit(4.0, clock())


def test_parts_of_a_limit_follow_the_demand_that_routers_tell(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    heard = fleet.boards["a1"].server_conditions
    heard.get("s1/1").conditions.apply_limit(NamedLimit(4.0, clock()))
    heard.mark_changed("s1/1")
    for step in range(400):
        clock.advance(0.05)
        for host, every in (("a1", 2), ("a2", 6)):
            if step % every == 0:
                shares = fleet.boards[host].server_conditions.get_shares("model")
                shares.record_arrival(clock())
        fleet.broadcast_changes()
    rates = [
        fleet.boards[host]
        .server_conditions.get_shares("model")
        .get_allowance("s1/1", 4.0, 0.5, clock())
        .rate
        for host in HOSTS
    ]
    assert sum(rates) <= 4.0
    assert sum(rates) >= 0.9 * 4.0
    assert 2.0 * rates[1] < rates[0] < 4.0 * rates[1]
    assert rates[2] < 0.2


def test_lost_message_delays_a_limit_only(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    network.disconnected_pairs = {frozenset({"a1:1", "a2:1"})}
    heard = fleet.boards["a1"].server_conditions
    heard.get("s1/1").conditions.apply_leaving(clock())
    heard.mark_changed("s1/1")
    fleet.broadcast_changes()
    assert fleet.boards["a2"].server_conditions.find("s1/1") is None
    network.disconnected_pairs = set()
    clock.advance(SAID_REFRESH_SECONDS)
    fleet.broadcast_changes()
    assert fleet.boards["a2"].server_conditions.find("s1/1") is not None


def test_unchanged_demand_is_not_told_with_each_report_of_a_large_fleet(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = RouterFleet(network, clock)
    add_members(fleet, 417)
    fleet.boards["a1"].server_conditions.get("s1/1").conditions.apply_limit(
        NamedLimit(4.0, clock())
    )
    period = choose_broadcast_period_seconds(420)
    for _ in range(20):
        clock.advance(period)
        fleet.controllers["a1"].broadcast_changes()
    reports = [
        message
        for address, message in network.links["a1:1"].sent_messages
        if isinstance(message, FleetNews) and address == "a2:1"
    ]
    told = [demand for news in reports for demand in news.demands]
    assert len(reports) >= 19
    assert {demand.service for demand in told} == {"model"}
    refreshes = 20 * period / (420 * DEMAND_REFRESH_PER_MEMBER_SECONDS)
    assert len(told) <= refreshes + 2
