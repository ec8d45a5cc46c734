"""Placement and rejection of requests at a router with a busy processor."""

from __future__ import annotations

import asyncio
import random
import sys
from typing import TYPE_CHECKING

from sycamorehaven.controllers.dispatch import (
    DISPATCH_PAUSE_RATIO,
    MIN_DISPATCH_PAUSE_SECONDS,
    Dispatcher,
)
from sycamorehaven.decisions.server_model import RemoteLoad
from sycamorehaven.exceptions.refusals import Refusal
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
from tests.support.doubles import ManualClock, create_board
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from types import FrameType

    from sycamorehaven.controllers.reservations import ServerReservation

SECONDS_PER_CALL = 1.5e-6
"""Time that a router on a small host takes for one function call."""
SECONDS_PER_READ = 1e-3
"""Time that it takes to read a request."""
ENGINES = 70
"""Number of engines."""
SLOTS = 16
"""Requests that an engine runs at a time."""
STREAM_SECONDS = 1.0
"""Time for which an engine runs a request."""


class ProcessorClock(ManualClock):
    """A clock that advances with each function call while it is active."""

    def _charge(self, _frame: FrameType, event: str, _argument: object) -> None:
        if event in ("call", "c_call"):
            self.now += SECONDS_PER_CALL

    def __enter__(self) -> None:
        """Charge function calls from now on."""
        sys.setprofile(self._charge)

    def __exit__(self, *_: object) -> None:
        """Charge no more function calls."""
        sys.setprofile(None)


class BusyRouter:
    """
    A router whose processor reads, places and rejects requests by turns.

    :param other_requests: requests of other routers that each engine runs.
    """

    def __init__(self, other_requests: int) -> None:
        self._clock = ProcessorClock()
        self._other_requests = other_requests
        self._random = random.Random(7)
        self._board = create_board()
        servers = tuple(
            ServerRecord(f"s{n}", 1, "model", f"10.0.0.{n}:80", "a", SLOTS, False)  # noqa: FBT003
            for n in range(ENGINES)
        )
        services = {"model": RoutedService("model", 64, EngineCapacity(SLOTS, 0, 0.0))}
        limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
        configuration = RoutingConfiguration(
            1, 1, (STREAMING_ROUTE,), services, limits, None
        )
        self._board.routing.apply_snapshot(
            Snapshot(1, configuration, servers), self._clock()
        )
        self._dispatcher = Dispatcher(
            self._board, DecisionLog("a1", None), GatewayMetrics(), self._clock
        )
        self._running: list[tuple[float, ServerReservation]] = []
        self._next_pass_at = 0.0
        self.decision_seconds: list[float] = []
        self.placed = 0

    async def run(self, rate: float, seconds: float) -> None:
        """
        Handle requests of one workspace, which arrive as a Poisson process.

        :param rate: requests per second.
        :param seconds: time for which they arrive.
        """
        started_at = self._clock()
        arrival = started_at + self._random.expovariate(rate)
        tasks: list[asyncio.Task[None]] = []
        while self._clock() < started_at + seconds:
            self._update_load()
            while arrival <= self._clock():
                self._clock.advance(SECONDS_PER_READ)
                tasks.append(asyncio.create_task(self._run_request(arrival)))
                arrival += self._random.expovariate(rate)
            with self._clock:
                await asyncio.sleep(0)
            self._dispatch_if_due()
            await asyncio.sleep(0)
            self._clock.advance(0.001)
        undecided = [task for task in tasks if not task.done()]
        for task in undecided:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _update_load(self) -> None:
        now = self._clock()
        for n in range(ENGINES):
            model = self._board.fleet_load.find_model(f"s{n}")
            model.update_remote_load(
                "a2", RemoteLoad(self._other_requests, 0, now + 1.0)
            )
        for ends_at, reservation in self._running:
            if ends_at <= now:
                reservation.release()
        self._running = [item for item in self._running if item[0] > now]

    def _dispatch_if_due(self) -> None:
        started_at = self._clock()
        if started_at < self._next_pass_at:
            return
        with self._clock:
            self._dispatcher.dispatch_pending()
        elapsed = self._clock() - started_at
        self._next_pass_at = self._clock() + max(
            MIN_DISPATCH_PAUSE_SECONDS, elapsed * DISPATCH_PAUSE_RATIO
        )

    async def _run_request(self, asked_at: float) -> None:
        name = f"a{len(self.decision_seconds)}-{asked_at}"
        head = RequestHead(
            name, 12.0, "", "m", (PromptPart(name, 3_000),), 3_000, 100, None
        )
        request = RoutedRequest(
            head,
            "POST",
            "/",
            (),
            b"",
            STREAMING_ROUTE,
            "model",
            "hot",
            asked_at,
            asked_at + 12.0,
        )
        try:
            reservation = await self._dispatcher.acquire(request)
        except Refusal:
            pass
        except asyncio.CancelledError:
            self.decision_seconds.append(self._clock() - asked_at)
            raise
        else:
            self.placed += 1
            reservation.record_first_token(self._clock())
            self._running.append((self._clock() + STREAM_SECONDS, reservation))
        self.decision_seconds.append(self._clock() - asked_at)


async def test_flood_at_one_router_starves_no_workspace() -> None:
    router, seconds = BusyRouter(other_requests=4), 6.0
    await router.run(rate=400.0, seconds=seconds)
    print(len(router.decision_seconds), router.placed, max(router.decision_seconds))
    # One request more fits on each engine at a time.
    capacity = ENGINES * seconds / STREAM_SECONDS
    assert router.placed > capacity / 2
    assert max(router.decision_seconds) < STREAMING_ROUTE.latency_target
