"""
Tests of two routers that share engines while one workspace overloads them.

Each router serves one workspace. Without exchanging usage, the router of the
overloading workspace takes every slot that its own requests free.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.fleet_state import FleetStateController
from sycamorehaven.decisions.concurrency import INITIAL_SLOT_RATIO
from sycamorehaven.exceptions.refusals import Refusal
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
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
    create_recorder,
)

if TYPE_CHECKING:
    from sycamorehaven.controllers.reservations import ServerReservation

STEP_SECONDS = 0.02
"""Length of one simulation step."""
RUN_SECONDS = 0.8
"""Time for which an engine runs a request."""
ENGINES = 3
"""Number of engines."""
SLOTS = 20
"""Requests that an engine can run at a time."""
ENGINE_LIMIT = SLOTS * INITIAL_SLOT_RATIO
"""Requests that an engine may run before any gap has been observed."""
WARMUP_SECONDS = 4.0
"""Time after which requests are counted."""
LENGTH_SECONDS = 12.0
"""Length of the simulation."""
LIMITS = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
ROUTE = Route(
    "chat",
    "fleet.example",
    "/",
    "streaming",
    12.0,
    0.8,
    0.5,
    (WeightedService("model", 1.0),),
    2,
    0,
    public=False,
    resumable=True,
)


class SimulatedRouter:
    """A router that serves one workspace."""

    def __init__(
        self, host: str, workspace: str, network: MemoryNetwork, clock: ManualClock
    ) -> None:
        self._clock = clock
        self._workspace = workspace
        self.board = create_board(host)
        members = {h: Member(h, 1, f"{h}:1", "a", "alive") for h in ("a1", "a2")}
        self.board.members.replace(members)
        servers = tuple(
            ServerRecord(f"s{n}", 1, "model", f"10.0.0.{n}:80", "a", SLOTS, False)  # noqa: FBT003
            for n in range(ENGINES)
        )
        engine = EngineCapacity(SLOTS, 400_000, 0.0)
        services = {"model": RoutedService("model", 64, engine)}
        configuration = RoutingConfiguration(1, 1, (ROUTE,), services, LIMITS, None)
        self.board.routing.apply_snapshot(Snapshot(1, configuration, servers), clock())
        link = MemoryLink(self.board, network)
        self.fleet_state = FleetStateController(
            self.board, link, create_recorder(self.board, clock), clock
        )
        log = DecisionLog(host, None)
        self.dispatcher = Dispatcher(self.board, log, GatewayMetrics(), clock)
        self._running: list[tuple[float, ServerReservation]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.requested = 0
        self.placed = 0

    def start_request(self, number: int) -> None:
        """Start a request."""
        task = asyncio.create_task(self._run_request(number))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_request(self, number: int) -> None:
        now = self._clock()
        name = f"{self._workspace}-{number}"
        parts = (PromptPart(name, 1_500),)
        head = RequestHead(name, 12.0, "", "m", parts, 1_500, 100, None)
        request = RoutedRequest(
            head, "POST", "/", (), b"", ROUTE, "model", self._workspace, now, now + 12.0
        )
        counted = now > 1_000.0 + WARMUP_SECONDS
        self.requested += counted
        try:
            reservation = await self.dispatcher.acquire(request)
        except Refusal:
            return
        self.placed += counted
        reservation.record_first_token(now)
        self._running.append((self._clock() + RUN_SECONDS, reservation))

    def step(self) -> None:
        """End due requests, place waiting ones and announce the changes."""
        now = self._clock()
        for ends_at, reservation in self._running:
            if ends_at <= now:
                reservation.release()
        self._running = [item for item in self._running if item[0] > now]
        self.dispatcher.dispatch_pending()
        self.fleet_state.broadcast_changes()

    def stop(self) -> None:
        """Cancel the requests that still wait."""
        for task in self._tasks:
            task.cancel()


async def simulate(
    overloading_rate: float, small_rate: float
) -> tuple[SimulatedRouter, SimulatedRouter]:
    """
    Run an overloading and a small workspace, each at its own router.

    :param overloading_rate: requests per second of the overloading workspace.
    :param small_rate: requests per second of the small workspace.
    """
    clock, network = ManualClock(), MemoryNetwork()
    routers = (
        SimulatedRouter("a1", "hot", network, clock),
        SimulatedRouter("a2", "small", network, clock),
    )
    rng = random.Random(3)
    rates = overloading_rate, small_rate
    due = [rng.expovariate(rate) for rate in rates]
    for number in range(round(LENGTH_SECONDS / STEP_SECONDS)):
        for index, rate in enumerate(rates):
            while due[index] < number * STEP_SECONDS:
                due[index] += rng.expovariate(rate)
                routers[index].start_request(number)
        await asyncio.sleep(0)
        for router in routers:
            router.step()
        network.deliver()
        for _ in range(3):
            await asyncio.sleep(0)
        clock.advance(STEP_SECONDS)
    for router in routers:
        router.stop()
    return routers


async def test_small_workspace_gets_its_share_through_another_router() -> None:
    overloading, small = await simulate(overloading_rate=40.0, small_rate=6.0)
    print(overloading.placed, overloading.requested, small.placed, small.requested)
    assert overloading.placed < overloading.requested / 2
    assert small.placed > 0.8 * small.requested


async def test_overloading_workspace_uses_the_capacity_that_others_leave() -> None:
    overloading, small = await simulate(overloading_rate=40.0, small_rate=2.0)
    print(overloading.placed, overloading.requested, small.placed, small.requested)
    capacity = ENGINES * ENGINE_LIMIT / RUN_SECONDS * (LENGTH_SECONDS - WARMUP_SECONDS)
    assert small.placed > 0.8 * small.requested
    assert overloading.placed > 0.6 * capacity
