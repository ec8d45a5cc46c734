"""Load and shares that routers of published routes tell each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.fleet_news import REFRESH_PERIOD, FleetNewsController
from sycamorehaven.decisions.server_model import REMOTE_LOAD_LIFETIME_SECONDS
from sycamorehaven.routing.model import ServerRecord, Snapshot
from tests.support.doubles import MemoryLink, create_board

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from tests.support.doubles import ManualClock, MemoryNetwork

HOSTS = ("a1", "a2", "a3")
SERVER = ServerRecord("s1", 1, "model", "10.0.0.1:80", "a", 4, draining=False)


class NewsFleet:
    """Routers that tell each other what they placed."""

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self.network = network
        self._clock = clock
        self.boards: dict[str, Blackboard] = {}
        self.news: dict[str, FleetNewsController] = {}
        for host in HOSTS:
            self.start(host, 1)
        self.tell()

    def start(self, host: str, incarnation: int) -> None:
        """Start a router's process."""
        board = create_board(host, incarnation=incarnation)
        self.boards[host] = board
        members = {
            name: Member(name, other.identity.incarnation, f"{name}:1", "a", "alive")
            for name, other in self.boards.items()
        }
        for other in self.boards.values():
            other.members.replace(dict(members))
        board.routing.take(Snapshot(1, None, (SERVER,)), self._clock())
        self.news[host] = FleetNewsController(
            board, MemoryLink(board, self.network), self._clock
        )

    def begin(self, host: str, tokens: int) -> None:
        """Place a request at the server through one router."""
        fleet, now = self.boards[host].fleet, self._clock()
        fleet.find_model("s1").start_request(tokens, now)
        fleet.touch("s1")

    def tell(self) -> None:
        """Let every router tell what has changed."""
        for news in self.news.values():
            news.tell()
        self.network.deliver()

    def count_running(self, host: str) -> int:
        """Return the requests that a router believes to run at the server."""
        model = self.boards[host].fleet.find_model("s1")
        return model.count_requests(self._clock())


def test_every_router_knows_what_the_others_placed(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = NewsFleet(network, clock)
    fleet.begin("a1", 3_000)
    fleet.begin("a1", 2_000)
    fleet.begin("a2", 1_000)
    fleet.tell()
    assert [fleet.count_running(host) for host in HOSTS] == [3, 3, 3]
    model = fleet.boards["a3"].fleet.find_model("s1")
    assert model.count_pending_tokens(clock()) == 6_000


def test_lost_news_are_told_again(network: MemoryNetwork, clock: ManualClock) -> None:
    fleet = NewsFleet(network, clock)
    network.cut = {frozenset({"a1:1", "a2:1"})}
    fleet.begin("a1", 3_000)
    fleet.tell()
    assert fleet.count_running("a2") == 0
    network.cut = set()
    clock.advance(REFRESH_PERIOD)
    fleet.tell()
    assert fleet.count_running("a2") == 1


def test_load_of_a_dead_router_is_forgotten(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = NewsFleet(network, clock)
    fleet.begin("a1", 3_000)
    fleet.tell()
    clock.advance(REMOTE_LOAD_LIFETIME_SECONDS)
    assert fleet.count_running("a2") == 0


def test_shares_are_counted_once_over_the_fleet(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = NewsFleet(network, clock)
    fleet.boards["a1"].fleet.add_usage("oakcourt", 500.0, 0.0, clock())
    clock.advance(REFRESH_PERIOD)
    fleet.tell()
    fleet.boards["a1"].fleet.add_usage("oakcourt", 200.0, 300.0, clock())
    fleet.tell()
    clock.advance(REFRESH_PERIOD)
    fleet.tell()
    fleet.tell()
    usage = fleet.boards["a2"].fleet.usage
    assert usage.get_received("oakcourt", clock()) == 300.0


def test_totals_of_a_new_process_are_no_use_of_the_old_one(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = NewsFleet(network, clock)
    fleet.boards["a1"].fleet.add_usage("oakcourt", 500.0, 500.0, clock())
    clock.advance(REFRESH_PERIOD)
    fleet.tell()
    fleet.start("a1", 2)
    for _ in range(2):
        fleet.boards["a1"].fleet.add_usage("oakcourt", 100.0, 100.0, clock())
        clock.advance(REFRESH_PERIOD)
        fleet.tell()
    given = fleet.boards["a2"].fleet.usage.get_received("oakcourt", clock())
    assert given <= 700.0


def test_routers_agree_on_what_an_engine_may_run(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    fleet = NewsFleet(network, clock)
    models = [board.fleet.describe("s1", 0, 20) for board in fleet.boards.values()]
    for _ in range(10):
        fleet.begin("a1", 1_000)
    fleet.begin("a2", 1_000)
    for _ in range(600):
        models[0].concurrency.observe_gap(0.01, 0.5, clock())
    for _ in range(40):
        clock.advance(0.03)
        for host in HOSTS:
            fleet.boards[host].fleet.touch("s1")
        fleet.tell()
    limits = [model.concurrency.limit for model in models]
    assert max(limits) - min(limits) < 0.1 * max(limits)
    assert min(limits) > 10
