"""
Processor time of the decisions on requests of published routes.

``python -m benchmarks.routed_cost`` prints microseconds per call for three
sizes of the fleet: that of today's users, that of a grown fleet, and the
target size.
"""

from __future__ import annotations

import asyncio
import math
import os
import time
from typing import TYPE_CHECKING, NamedTuple

from rich.console import Console
from rich.table import Table

from benchmarks.measurement import measure_time
from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.candidates import CandidateFinder, PendingRequest
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.fleet_state import FleetStateController
from sycamorehaven.controllers.server_conditions import ServerConditionRecorder
from sycamorehaven.decisions.placement import Candidate, choose_engine
from sycamorehaven.decisions.prefix_cache import hash_prefixes
from sycamorehaven.decisions.usage_window import UsageWindow
from sycamorehaven.identity import RouterId
from sycamorehaven.routing.model import (
    EngineCapacity,
    RequestLimits,
    Route,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
    WeightedService,
)
from sycamorehaven.routing.requests import PromptPart, RequestHead, RoutedRequest
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.messages.fleet import (
    FleetNews,
    PlacedPart,
    ServerLoad,
    WorkspaceUsage,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.transport.peer_link import MessageHandler

WAITING_REQUESTS = 20
"""Requests that wait at the same time."""
SLOTS_PER_ENGINE = 16
ROUTE = Route(
    "chat",
    "fleet.example",
    "/",
    "streaming",
    3_600.0,
    3_600.0,
    0.5,
    (WeightedService("model", 1.0),),
    2,
    0,
    public=False,
    resumable=True,
)


class FleetSize(NamedTuple):
    """
    Size of a fleet.

    :ivar routers: number of routers.
    :ivar servers: number of backend servers.
    :ivar workspaces: number of workspaces that send requests.
    """

    routers: int
    servers: int
    workspaces: int


class DecisionCosts(NamedTuple):
    """
    Processor time of each decision, in microseconds per call.

    :ivar look: trying to dispatch one waiting request while all servers are
        full.
    :ivar candidates: listing the servers for a request that all have cached.
    :ivar choice: choosing one of all servers for a request.
    :ivar share: computing the fair share of a workspace.
    :ivar news: decoding and processing the fleet news of one router.
    """

    look: float
    candidates: float
    choice: float
    share: float
    news: float


SIZES = (FleetSize(6, 8, 12), FleetSize(70, 140, 30), FleetSize(420, 800, 1_400))


class SilentLink:
    """A ``PeerLink`` that drops every message and keeps the handlers."""

    def __init__(self) -> None:
        self.handlers: dict[type, MessageHandler] = {}

    def send(self, host: str, message: object) -> bool:  # noqa: ARG002
        """Drop a message."""
        return True

    def send_to(self, address: str, message: object) -> None:
        """Drop a message."""

    def send_to_all(self, addresses: Iterable[str], message: object) -> None:
        """Drop a message."""

    def broadcast(self, message: object) -> None:
        """Drop a message."""

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Store the handler of a kind of message."""
        self.handlers[kind] = handler


def build_board(size: FleetSize) -> Blackboard:
    """Return a router's blackboard in a fleet whose servers are full."""
    board = Blackboard(RouterId("r0", 1), "10.0.0.1:1", "a")
    board.members.replace(
        {
            f"r{n}": Member(f"r{n}", 1, f"10.0.{n // 250}.{n % 250}:1", "a", "alive")
            for n in range(size.routers)
        }
    )
    services = {
        "model": RoutedService(
            "model", 64, EngineCapacity(SLOTS_PER_ENGINE, 500_000, 1e6)
        )
    }
    limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
    configuration = RoutingConfiguration(1, 1, (ROUTE,), services, limits, None)
    servers = tuple(build_server(number) for number in range(size.servers))
    board.routing.apply_snapshot(Snapshot(1, configuration, servers), time.monotonic())
    for server in servers:
        model = board.fleet_load.update_capacity(server.id, 500_000, SLOTS_PER_ENGINE)
        for _ in range(SLOTS_PER_ENGINE):
            model.start_request(1_000, time.monotonic())
    return board


def build_server(number: int) -> ServerRecord:
    """Return the record of a backend server."""
    address = f"10.1.{number // 250}.{number % 250}:80"
    return ServerRecord(
        f"i-{number:010x}", 1, "model", address, "a", SLOTS_PER_ENGINE, draining=False
    )


def build_request(number: int) -> RoutedRequest:
    """Return a request with a timeout of one hour."""
    parts = PromptPart(f"s{number % 8}", 13_300), PromptPart(f"o{number}", 3_720)
    head = RequestHead(f"x{number}", None, "", "m", parts, 17_020, 120, None)
    now = time.monotonic()
    workspace = f"w{number % 12}"
    return RoutedRequest(
        head, "POST", "/", (), b"", ROUTE, "model", workspace, now, now + 3_600.0
    )


async def measure_dispatch(size: FleetSize) -> float:
    """Return the seconds to try to dispatch one waiting request."""
    dispatcher = Dispatcher(
        build_board(size), DecisionLog("r0", None), GatewayMetrics()
    )
    tasks = [
        asyncio.create_task(dispatcher.acquire(build_request(number)))
        for number in range(WAITING_REQUESTS)
    ]
    await asyncio.sleep(0)
    seconds = measure_time(dispatcher.dispatch_pending, 20) / WAITING_REQUESTS
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return seconds


def measure_candidates(size: FleetSize) -> float:
    """Return the seconds to list the candidates while slots are free."""
    board = build_board(size)
    for number in range(size.servers):
        model = board.fleet_load.find_model(f"i-{number:010x}")
        for _ in range(SLOTS_PER_ENGINE):
            model.finish_request()
        for subject in range(8):
            parts = (PromptPart(f"s{subject}", 13_300),)
            model.prefix_cache.record_prompt(hash_prefixes("m", parts))
    finder = CandidateFinder(board)
    load = finder.observe_service("model", time.monotonic())
    request = build_request(1)
    pending = PendingRequest(
        request,
        hash_prefixes("m", request.head.prompt_parts),
        frozenset(),
        is_resume=False,
        queued_at=request.received_at,
        reservation=asyncio.Future(loop=asyncio.new_event_loop()),
    )
    return measure_time(lambda: finder.list_candidates(pending, load), 200)


def measure_engine_choice(size: FleetSize) -> float:
    """Return the seconds to choose one of all servers."""
    candidates = [
        Candidate(
            server=build_server(number),
            running_requests=number % SLOTS_PER_ENGINE,
            concurrency_limit=float(SLOTS_PER_ENGINE),
            pending_tokens=1_000.0 * number,
            uncached_tokens=4_000,
            copied_tokens=0,
            copy_source="",
            prefill_rate=50_000.0,
            error_ratio=0.0,
            is_local=True,
            rank=number,
        )
        for number in range(size.servers)
    ]
    return measure_time(lambda: choose_engine(candidates), 50)


def measure_fair_share(size: FleetSize) -> float:
    """Return the seconds to compute the fair share of a workspace."""
    usage = UsageWindow(math.inf)
    for number in range(size.workspaces):
        usage.add(f"w{number}", 100.0 * number, 50.0 * number, 1.0)
    return measure_time(lambda: usage.get_fair_share(1.0), 50)


def measure_news(size: FleetSize) -> float:
    """Return the seconds to decode and process one router's fleet news."""
    link = SilentLink()
    board = build_board(size)
    recorder = ServerConditionRecorder(board, DecisionLog("r0", None), GatewayMetrics())
    FleetStateController(board, link, recorder)
    handle_news = link.handlers[FleetNews]
    news = FleetNews(
        1,
        0.2,
        [ServerLoad(f"i-{number:010x}", 2, 5_000, 8.0) for number in range(6)],
        [PlacedPart(number * 7_919, 3_000, f"i-{number:010x}") for number in range(8)],
        [WorkspaceUsage(f"w{number}", 1_000, 900) for number in range(3)],
        [],
    )
    data = Codec(RouterId("r1", 1), "10.0.0.2:1").encode(news)
    codec = Codec(RouterId("r0", 1), "10.0.0.1:1")
    return measure_time(lambda: handle_news(codec.decode(data)), 500)


def measure_log_line() -> tuple[float, float]:
    """Return the seconds of one log call, with the log on and off."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    try:
        line_seconds = []
        for log in (DecisionLog("r0", descriptor), DecisionLog("r0", None)):
            log.record("placed", request="x")
            line_seconds.append(
                measure_time(
                    lambda log=log: log.record(  # type: ignore[misc]
                        "placed",
                        request="9c41d07be2a35f68",
                        workspace="oakcourt",
                        server="i-7f3a91c2",
                        waited=0.012,
                        expected=0.31,
                        uncached=2_240,
                        running=7,
                        within_share=True,
                        satisfaction=0.93,
                    ),
                    150,
                )
            )
    finally:
        os.close(descriptor)
    return line_seconds[0], line_seconds[1]


def measure_costs(size: FleetSize) -> DecisionCosts:
    """Return the cost of each decision for a fleet of the given size."""
    return DecisionCosts(
        asyncio.run(measure_dispatch(size)) * 1e6,
        measure_candidates(size) * 1e6,
        measure_engine_choice(size) * 1e6,
        measure_fair_share(size) * 1e6,
        measure_news(size) * 1e6,
    )


def main() -> None:
    """Print the table."""
    table = Table("routers", "servers", "workspaces", *DecisionCosts._fields)
    for size in SIZES:
        costs = measure_costs(size)
        table.add_row(*map(str, size), *(f"{cost:.0f}" for cost in costs))
    Console(width=88).print(table)
    on, off = measure_log_line()
    print(f"a line of the log: {on * 1e6:.1f} us, off {off * 1e6:.2f} us")


if __name__ == "__main__":
    main()
