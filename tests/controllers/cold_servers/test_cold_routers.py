"""What a router knows of cold servers, and what it sends to them."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.candidates import CandidateFinder
from sycamorehaven.controllers.cold_servers.recorder import ColdServerRecorder
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.gone_servers import GoneServerExchange
from sycamorehaven.decisions.cold_servers.paces import ColdAllowance
from sycamorehaven.decisions.outlier_detection import REFUSED_EJECTION_SECONDS
from sycamorehaven.exceptions.backends import ConnectRefused, ServerReplaced
from sycamorehaven.exceptions.refusals import ServersLimited
from sycamorehaven.platform.header_codec import COLD_HEADER, PlatformHeaderCodec
from sycamorehaven.routing.model import (
    ColdServer,
    EngineCapacity,
    RequestLimits,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
)
from sycamorehaven.routing.requests import PromptPart, RequestHead, RoutedRequest
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
    create_recorder,
)
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from sycamorehaven.controllers.reservations import ServerReservation

COLD_SECONDS = 3.0
OLD = ServerRecord("s1", 1, "model", "s1:80", "a", 16, draining=False)
NEW = OLD._replace(started_at_ms=2)


class EventLog(DecisionLog):
    """Keeps the events."""

    def __init__(self) -> None:
        super().__init__("a0", None)
        self.events: list[tuple[str, dict[str, object]]] = []

    def record(self, event: str, **fields: object) -> None:
        """Keep an event."""
        self.events.append((event, fields))


class Router:
    """A router that knows one server, whose service may have a cold rate."""

    def __init__(self, members: int = 1, cold_rate: float = 8.8) -> None:
        self.clock = ManualClock()
        self.board = create_board("a0", cold_allowance=ColdAllowance(1.5, 5.0))
        hosts = [f"a{n}" for n in range(members)]
        self.board.members.replace(
            {host: Member(host, 1, f"{host}:1", "a", "alive") for host in hosts}
        )
        self.log, self.metrics = EventLog(), GatewayMetrics()
        self.recorder = ColdServerRecorder(
            self.board, self.log, self.metrics, self.clock
        )
        engine = EngineCapacity(16, 0, 0.0)
        service = RoutedService("model", 64, engine, cold_rate, COLD_SECONDS)
        limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
        self.configuration = RoutingConfiguration(
            1, 1, (STREAMING_ROUTE,), {"model": service}, limits, None
        )
        self.read(1, OLD)

    def read(
        self, revision: int, server: ServerRecord, *cold: ColdServer, age: float = 0.0
    ) -> None:
        """Read a snapshot."""
        snapshot = Snapshot(
            revision, self.configuration, (server,), cold_servers=tuple(cold)
        )
        self.board.routing.apply_snapshot(snapshot, self.clock() - age)

    def get_cold_seconds(self, server: ServerRecord) -> float:
        """Return for how long a server counts as cold from now on."""
        period = self.board.cold_servers.find(server.incarnation_id, self.clock())
        return period.until - self.clock() if period else 0.0

    async def place(self, dispatcher: Dispatcher) -> ServerReservation:
        """Let the dispatcher place a request."""
        parts = (PromptPart("p", 100),)
        head = RequestHead("x1", 12.0, "", "m", parts, 100, 100, None)
        now = self.clock()
        request = RoutedRequest(
            head, "POST", "/", (), b"", STREAMING_ROUTE, "model", "w", now, now + 12.0
        )
        return await dispatcher.acquire(request)


def test_server_that_restarts_counts_as_warm_until_its_entry_says_otherwise() -> None:
    router = Router()
    assert router.get_cold_seconds(OLD) == 0.0
    router.read(2, NEW)
    assert router.get_cold_seconds(NEW) == COLD_SECONDS
    assert router.log.events == [
        ("server_cold", {"server": "s1", "seconds": 3.0, "source": "joined"})
    ]
    text = router.metrics.render().decode()
    assert "sycamorehaven_cold_servers 1.0" in text


def test_server_that_becomes_cold_again_counts_as_warm() -> None:
    router = Router()
    router.clock.advance(1.0)
    router.read(2, OLD, ColdServer(OLD.incarnation_id, 2.5, 2), age=0.5)
    assert math.isclose(router.get_cold_seconds(OLD), 2.0)
    router.clock.advance(1.0)
    router.read(3, OLD, ColdServer(OLD.incarnation_id, 2.5, 2))
    assert math.isclose(router.get_cold_seconds(OLD), 1.0)


def test_malformed_entry_hides_that_a_server_is_cold() -> None:
    router = Router()
    for revision in (2, 3):
        router.read(revision, OLD, ColdServer(OLD.incarnation_id, math.inf, revision))
        assert router.get_cold_seconds(OLD) == COLD_SECONDS
    names = [name for name, _ in router.log.events]
    assert names == ["cold_entry_malformed", "server_cold"]


def test_server_that_was_found_gone_is_flooded_when_it_is_back() -> None:
    router = Router()
    link = MemoryLink(router.board, MemoryNetwork())
    forwarder = GoneServerExchange(router.board, link, router.log, router.clock)
    model = router.board.fleet_load.find_model("s1")
    model.health.record_refused_connection(router.clock())
    forwarder.record_failure(OLD, ConnectRefused("refused", was_sent=False))
    seconds = REFUSED_EJECTION_SECONDS + COLD_SECONDS
    assert math.isclose(router.get_cold_seconds(OLD), seconds)


def test_response_of_a_cold_server_is_not_heeded() -> None:
    router, codec = Router(), PlatformHeaderCodec()
    recorder = create_recorder(router.board, router.clock)
    for value, seconds in (("-1", 0.0), ("soon", 0.0), ("9e9", 0.0), ("1500", 1.5)):
        head = codec.parse_response_headers(200, [(COLD_HEADER, value)])
        assert head.statement is not None
        recorder.record_response(OLD, "x1", head.statement, router.clock())
        assert math.isclose(router.get_cold_seconds(OLD), seconds)


def test_services_without_a_cold_rate_have_cold_servers() -> None:
    router = Router(cold_rate=0.0)
    router.read(2, NEW, ColdServer(NEW.incarnation_id, 2.0, 2))
    assert router.board.cold_servers.is_empty
    assert not router.log.events


def test_router_sends_to_a_cold_engine_while_its_scheduler_is_silent() -> None:
    router = Router(members=30)
    schedulers: dict[str, str] = {"s1": "a3"}

    class Schedulers:
        def find_scheduler(self, server: ServerRecord, _now: float) -> str | None:
            return schedulers.get(server.id)

    finder = CandidateFinder(router.board, Schedulers())
    router.read(2, NEW)
    now = router.clock()
    view = next(iter(finder.observe_service("model", now).views))
    assert view.has_capacity(has_prompt=True)
    # Requests without a prompt have no scheduler that could pace them.
    assert not view.has_capacity(has_prompt=False)
    router.board.cold_servers.defer(NEW.incarnation_id, now + 0.3)
    assert finder.find_opening(NEW, now).closed_by == "cold"
    assert finder.find_opening(NEW, now, is_admitted=True).is_open
    assert finder.find_opening(NEW, now + 0.3).is_open
    schedulers.clear()
    assert finder.find_opening(NEW, now + 0.4).closed_by == "cold"
    assert finder.find_opening(NEW, now + COLD_SECONDS).is_open


async def test_small_fleet_sends_all_requests_to_a_cold_server() -> None:
    router = Router()
    router.read(2, NEW)
    dispatcher = Dispatcher(router.board, router.log, router.metrics, router.clock)
    tasks = []
    for _ in range(28):
        router.clock.advance(0.1)
        tasks.append(asyncio.create_task(router.place(dispatcher)))
        await asyncio.sleep(0)
        dispatcher.dispatch_pending()
        await asyncio.sleep(0)
    placed = [task.result() for task in tasks if task.done() and not task.exception()]
    refusals = [task.exception() for task in tasks if task.done() and task.exception()]
    # A lone router has an eighth of the rate, since it can't know of others.
    assert len(placed) == 2
    assert len(refusals) >= 20
    assert all(isinstance(refusal, ServersLimited) for refusal in refusals)
    finder = CandidateFinder(router.board)
    assert finder.find_opening(NEW, router.clock()).closed_by == "cold"
    # What the server answers with 421 does not count.
    replaced = ServerReplaced("another process", was_sent=False)
    placed[-1].record_failure(replaced, router.clock())
    assert finder.find_opening(NEW, router.clock()).is_open
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
