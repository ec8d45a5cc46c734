"""Two routers before the same engines while one workspace asks too much."""

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
    Engine,
    RequestLimits,
    Route,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
    Split,
)
from sycamorehaven.routing.requests import PromptPart, RequestHead, RoutedRequest
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board

if TYPE_CHECKING:
    from sycamorehaven.controllers.reservations import ServerReservation

STEP_SECONDS = 0.02
RUN_SECONDS = 0.8
"""Seconds that an engine runs a request."""
ENGINES = 3
SLOTS = 20
ENGINE_LIMIT = SLOTS * INITIAL_SLOT_RATIO
"""Requests that an engine may run while no pauses were seen."""
WARMUP_SECONDS = 4.0
"""Seconds after which shares are counted."""
LENGTH_SECONDS = 12.0
LIMITS = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
ROUTE = Route(
    "chat",
    "fleet.example",
    "/",
    "streaming",
    12.0,
    0.8,
    0.5,
    (Split("model", 1.0),),
    2,
    0,
    public=False,
    resumable=True,
)


class SimulatedRouter:
    """A router with one workspace before it."""

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
        engine = Engine(SLOTS, 400_000, 0.0)
        services = {"model": RoutedService("model", 64, engine)}
        configuration = RoutingConfiguration(1, 1, (ROUTE,), services, LIMITS, None)
        self.board.routing.take(Snapshot(1, configuration, servers), clock())
        link = MemoryLink(self.board, network)
        self.news = FleetStateController(self.board, link, clock)
        log = DecisionLog(host, None)
        self.dispatcher = Dispatcher(self.board, log, GatewayMetrics(), clock)
        self._running: list[tuple[float, ServerReservation]] = []
        self._asking: set[asyncio.Task[None]] = set()
        self.asked = 0
        self.placed = 0

    def ask(self, number: int) -> None:
        """Begin a request."""
        task = asyncio.create_task(self._ask(number))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _ask(self, number: int) -> None:
        now = self._clock()
        name = f"{self._workspace}-{number}"
        parts = (PromptPart(name, 1_500),)
        head = RequestHead(name, 12.0, "", "m", parts, 1_500, 100, None)
        request = RoutedRequest(
            head, "POST", "/", (), b"", ROUTE, "model", self._workspace, now, now + 12.0
        )
        counted = now > 1_000.0 + WARMUP_SECONDS
        self.asked += counted
        try:
            lease = await self.dispatcher.acquire(request)
        except Refusal:
            return
        self.placed += counted
        lease.record_first_token(now)
        self._running.append((self._clock() + RUN_SECONDS, lease))

    def step(self) -> None:
        """End what has run, look at what waits and tell the other router."""
        now = self._clock()
        for ends, lease in self._running:
            if ends <= now:
                lease.release()
        self._running = [one for one in self._running if one[0] > now]
        self.dispatcher.dispatch_pending()
        self.news.broadcast_changes()

    def stop(self) -> None:
        """Give up what still waits."""
        for task in self._asking:
            task.cancel()


async def simulate(
    hot_rate: float, small_rate: float
) -> tuple[SimulatedRouter, SimulatedRouter]:
    """Let a hot and a small workspace ask, each at its own router."""
    clock, network = ManualClock(), MemoryNetwork()
    doors = (
        SimulatedRouter("a1", "hot", network, clock),
        SimulatedRouter("a2", "small", network, clock),
    )
    rng = random.Random(3)
    rates = hot_rate, small_rate
    due = [rng.expovariate(rate) for rate in rates]
    for number in range(round(LENGTH_SECONDS / STEP_SECONDS)):
        for index, rate in enumerate(rates):
            while due[index] < number * STEP_SECONDS:
                due[index] += rng.expovariate(rate)
                doors[index].ask(number)
        await asyncio.sleep(0)
        for door in doors:
            door.step()
        network.deliver()
        for _ in range(3):
            await asyncio.sleep(0)
        clock.advance(STEP_SECONDS)
    for door in doors:
        door.stop()
    return doors


async def test_small_workspace_gets_its_share_through_another_router() -> None:
    hot, small = await simulate(hot_rate=40.0, small_rate=6.0)
    print(hot.placed, hot.asked, small.placed, small.asked)
    assert hot.placed < hot.asked / 2
    assert small.placed > 0.8 * small.asked


async def test_hot_workspace_uses_the_capacity_that_others_leave() -> None:
    hot, small = await simulate(hot_rate=40.0, small_rate=2.0)
    print(hot.placed, hot.asked, small.placed, small.asked)
    capacity = ENGINES * ENGINE_LIMIT / RUN_SECONDS * (LENGTH_SECONDS - WARMUP_SECONDS)
    assert small.placed > 0.8 * small.asked
    assert hot.placed > 0.6 * capacity
