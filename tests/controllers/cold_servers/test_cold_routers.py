"""What a router knows of cold servers, and what it sends to them."""

from __future__ import annotations

import math
from unittest import mock

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.candidates import CandidateFinder
from sycamorehaven.controllers.cold_servers.admission_pacing import AdmissionPacing
from sycamorehaven.controllers.cold_servers.recorder import ColdServerRecorder
from sycamorehaven.controllers.gone_servers import GoneServerExchange
from sycamorehaven.controllers.reservations import ServerReservation
from sycamorehaven.decisions.cold_servers.paces import ColdAllowance
from sycamorehaven.decisions.engine_queue import EngineQueue
from sycamorehaven.decisions.outlier_detection import REFUSED_EJECTION_SECONDS
from sycamorehaven.exceptions.backends import ConnectRefused, ServerReplaced
from sycamorehaven.platform.header_codec import COLD_HEADER, PlatformHeaderCodec
from sycamorehaven.routing.model import (
    EngineCapacity,
    Evacuation,
    RequestLimits,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
)
from sycamorehaven.routing.requests import ServerStatement
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
    create_recorder,
)

COLD_SECONDS = 3.0
OLD = ServerRecord("s1", 1, "model", "s1:80", "a", 16, draining=False)
NEW = OLD._replace(started_at_ms=2)


class Router:
    """A router that knows one engine."""

    def __init__(
        self, members: int = 1, cold_rate: float = 8.8, host: str = "a0"
    ) -> None:
        self.clock, self.metrics = ManualClock(), GatewayMetrics()
        self.board = create_board(host, cold_allowance=ColdAllowance(1.5, 5.0))
        hosts = [f"a{n}" for n in range(members)]
        self.board.members.replace(
            {host: Member(host, 1, f"{host}:1", "a", "alive") for host in hosts}
        )
        self.log = mock.Mock(spec=DecisionLog)
        ColdServerRecorder(self.board, self.log, self.metrics, self.clock)
        engine = EngineCapacity(16, 0, 0.0)
        service = RoutedService("model", 64, engine, cold_rate, COLD_SECONDS)
        limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
        self._configuration = RoutingConfiguration(
            1, 1, (), {"model": service}, limits, None
        )
        self.read(1, OLD)

    def read(self, revision: int, server: ServerRecord) -> None:
        """Read a snapshot."""
        snapshot = Snapshot(revision, self._configuration, (server,))
        self.board.routing.apply_snapshot(snapshot, self.clock())

    def get_cold_seconds(self, server: ServerRecord) -> float:
        """Return for how long a server counts as cold from now on."""
        period = self.board.cold_servers.find(server.incarnation_id, self.clock())
        return period.until - self.clock() if period else 0.0


def test_server_that_restarts_counts_as_warm_until_its_entry_says_otherwise() -> None:
    router = Router()
    assert router.get_cold_seconds(OLD) == 0.0
    router.read(2, NEW)
    assert router.get_cold_seconds(NEW) == COLD_SECONDS
    router.log.record.assert_called_once_with(
        "server_cold", server="s1", seconds=COLD_SECONDS, source="joined"
    )
    assert b"sycamorehaven_cold_servers 1.0" in router.metrics.render()


def test_services_without_a_cold_rate_have_cold_servers() -> None:
    router = Router(cold_rate=0.0)
    router.read(2, NEW)
    router.board.cold_servers.mark_cold(NEW.incarnation_id, 2e3, "evacuation", 1e3)
    assert router.board.cold_servers.is_empty


def test_server_that_was_found_gone_is_flooded_when_it_is_back() -> None:
    router = Router()
    link = MemoryLink(router.board, MemoryNetwork())
    exchange = GoneServerExchange(router.board, link, router.log, router.clock)
    model = router.board.fleet_load.find_model("s1")
    model.health.record_refused_connection(router.clock())
    exchange.record_failure(OLD, ConnectRefused("refused", was_sent=False))
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


def test_router_sends_to_a_cold_engine_while_its_scheduler_is_silent() -> None:
    router = Router(members=30)
    schedulers = mock.Mock()
    schedulers.find_scheduler.return_value = "a3"
    finder = CandidateFinder(router.board, schedulers)
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
    schedulers.find_scheduler.return_value = None
    assert finder.find_opening(NEW, now + 0.4).closed_by == "cold"
    assert finder.find_opening(NEW, now + COLD_SECONDS).is_open


def test_small_fleet_pays_for_what_a_server_answers_with_421() -> None:
    router = Router()
    router.read(2, NEW)
    router.clock.advance(1.0)
    finder, now = CandidateFinder(router.board), router.clock()
    assert finder.find_opening(NEW, now).is_open
    router.board.cold_servers.take(NEW.incarnation_id)
    assert finder.find_opening(NEW, now).closed_by == "cold"
    model = router.board.fleet_load.find_model("s1")
    reservation = ServerReservation(
        router.board, NEW, model, model.start_request(0, now)
    )
    reservation.record_failure(ServerReplaced("another", was_sent=False), now)
    assert finder.find_opening(NEW, now).is_open


# Routers that know earlier that an evacuation has ended ask the scheduler.
def test_scheduler_paces_engines_of_a_domain_that_it_takes_for_evacuated() -> None:
    router, queue = Router(), EngineQueue(OLD.slots, 4.0)
    board, now = router.board, router.clock()
    pacing = AdmissionPacing(board, None, router.clock)
    snapshot = board.routing.snapshot
    assert snapshot is not None
    evacuated = snapshot._replace(revision=2, evacuations=(Evacuation("a", 2),))
    for newest, is_paced in ((evacuated, True), (snapshot._replace(revision=3), False)):
        board.routing.apply_snapshot(newest, now)
        pacing.update(OLD.incarnation_id, queue, now)
        assert queue.is_paced is is_paced


# All requests but the first one would be rejected, as if they waited for ever.
def test_router_that_is_no_sender_expects_a_cold_server_to_serve_nothing_later() -> (
    None
):
    openings = []
    for number in range(12):
        router = Router(members=12, host=f"a{number}")
        router.read(2, NEW)
        finder = CandidateFinder(router.board)
        openings.append(finder.find_opening(NEW, router.clock()))
    waits = [opening for opening in openings if opening.closed_by]
    assert len(waits) > 2
    assert all(opening.rate > 0.0 for opening in waits)


def test_cold_server_that_rests_is_a_source_of_copies() -> None:
    router, now = Router(), 1_000.0
    router.read(2, NEW)
    gate = router.board.server_conditions.get(NEW.incarnation_id)
    gate.conditions.apply_response(ServerStatement(rest=0.05), now, now)
    opening = CandidateFinder(router.board).find_opening(NEW, now)
    assert not opening.is_open
    assert not opening.allows_copies


def test_servers_stay_cold_when_their_limit_is_withdrawn() -> None:
    router = Router()
    router.read(2, NEW)
    assert not router.board.cold_servers.is_empty
    router.board.cold_servers.replace_limits({}, router.clock())
    assert router.board.cold_servers.is_empty
