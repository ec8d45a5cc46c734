"""Capacity that workspaces are charged for while engines crash."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.fleet_state import FleetStateController
from sycamorehaven.controllers.reservations import ServerReservation
from sycamorehaven.exceptions.backends import ConnectFailed, ServerSilent
from sycamorehaven.routing.model import (
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
from tests.support.doubles import MemoryLink, create_board, create_recorder
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from tests.support.doubles import ManualClock, MemoryNetwork

ENGINES = 12
CRASHED = {f"s{number}" for number in range(0, ENGINES, 2)}
REQUESTS = 20


class CrashedEngines:
    """
    Two routers, of which the first places requests while engines are down.

    An engine that is down refuses the connection, and the request goes to
    another one.
    """

    def __init__(self, network: MemoryNetwork, clock: ManualClock) -> None:
        self._network, self._clock = network, clock
        self.boards = {host: create_board(host) for host in ("a1", "a2")}
        members = {
            host: Member(host, 1, board.members.own.address, "a", "alive")
            for host, board in self.boards.items()
        }
        self._states = {}
        for host, board in self.boards.items():
            board.members.replace(dict(members))
            self._publish(board)
            link = MemoryLink(board, network)
            self._states[host] = FleetStateController(
                board, link, create_recorder(board, clock), clock
            )
        self._dispatcher = Dispatcher(
            self.boards["a1"], DecisionLog("a1", None), GatewayMetrics(), clock
        )

    def _publish(self, board: Blackboard) -> None:
        servers = tuple(
            ServerRecord(f"s{n}", 1, "model", f"10.0.0.{n}:80", "a", 16, False)  # noqa: FBT003
            for n in range(ENGINES)
        )
        services = {"model": RoutedService("model", 64, EngineCapacity(16, 0, 0.0))}
        limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
        configuration = RoutingConfiguration(
            1, 1, (STREAMING_ROUTE,), services, limits, None
        )
        board.routing.apply_snapshot(Snapshot(1, configuration, servers), self._clock())

    def tell_news(self) -> None:
        """Let the first router tell the second one about usage."""
        self._states["a1"].broadcast_changes()
        self._network.deliver()

    async def run(self, number: int) -> float:
        """Place a request until an engine takes it; return its cost."""
        parts = (PromptPart(f"s{number}", 6_000), PromptPart(f"o{number}", 3_000))
        head = RequestHead(f"x{number}", 12.0, "", "m", parts, 9_000, 100, None)
        now = self._clock()
        request = RoutedRequest(
            head, "POST", "/", (), b"", STREAMING_ROUTE, "model", "w", now, now + 12.0
        )
        excluded: set[str] = set()
        while True:
            reservation = await self._dispatcher.acquire(request, excluded)
            if reservation.server.id not in CRASHED:
                reservation.record_first_token(self._clock())
                return request.token_cost
            error = ConnectFailed("refused", was_sent=False)
            reservation.record_failure(error, self._clock())
            reservation.release()
            excluded.add(reservation.server.id)


async def test_workspace_is_not_charged_for_engines_that_did_not_take_its_requests(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    engines = CrashedEngines(network, clock)
    engines.tell_news()
    received = sum([await engines.run(number) for number in range(REQUESTS)])
    usage = engines.boards["a1"].fleet_load.usage_window
    assert usage.get_received("w", clock()) == received


async def test_other_routers_learn_that_a_workspace_is_not_charged(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    engines = CrashedEngines(network, clock)
    # Totals count from the first ones that a router hears.
    before = await engines.run(-1)
    engines.tell_news()
    received = 0.0
    for number in range(REQUESTS):
        received += await engines.run(number)
        engines.tell_news()
    assert engines.boards["a1"].fleet_load.received_tokens["w"] == before + received
    heard = engines.boards["a2"].fleet_load.usage_window.get_received("w", clock())
    assert heard == received


async def test_workspace_is_not_charged_for_an_answer_that_never_began(
    clock: ManualClock,
) -> None:
    board = create_board()
    usage = board.fleet_load.usage_window
    server = ServerRecord("s1", 1, "model", "s1:80", "a", 16, draining=False)
    for has_begun in (False, True):
        model = board.fleet_load.find_model("s1")
        prefill = model.start_request(9_000, clock())
        board.fleet_load.add_usage("w", 0.0, 9_000.0, clock())
        reservation = ServerReservation(board, server, model, prefill, "", "w", 9_000.0)
        if has_begun:
            reservation.record_first_token(clock())
        reservation.record_failure(ServerSilent("silent", was_sent=True), clock())
        reservation.release()
        assert usage.get_received("w", clock()) == (9_000.0 if has_begun else 0.0)
