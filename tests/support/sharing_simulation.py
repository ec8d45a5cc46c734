"""
Routers that place the requests of workspaces on shared engines.

Real dispatchers exchange their load over a network in memory, on a clock that
only the simulation advances. A rejected client comes back to the router that
rejected it, since the balancer sends all its connections there.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.dispatch import (
    MIN_DISPATCH_PAUSE_SECONDS,
    Dispatcher,
    compute_token_cost,
)
from sycamorehaven.controllers.fleet_state import (
    FleetStateController,
)
from sycamorehaven.decisions.news_routes import choose_broadcast_period_seconds
from sycamorehaven.exceptions.backends import ConnectFailed
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
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
    create_recorder,
)
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard

STEP_SECONDS = 0.01
"""Time by which the clock advances."""
PREFILL_TOKENS_PER_SECOND = 50_000.0
"""Prompt tokens that an engine reads per second."""
EVENT_SECONDS = 0.1
"""Time between two events of a stream."""
EVENTS = 10
"""Events of a stream."""
PROMPT_TOKENS = 3_000
"""Tokens of each prompt, of which no engine keeps any."""
OUTPUT_TOKENS = 100
"""Tokens of each stream."""
HISTORY_SECONDS = 0.5
"""Time between two copies of what workspaces received."""
MIN_TIMEOUT_RATIO = 0.85
"""Shortest timeout of a client as a fraction of the longest."""


class Flood(NamedTuple):
    """
    The requests of one workspace.

    :ivar workspace: name of the workspace.
    :ivar rate: requests per second.
    :ivar routers: numbers of the routers that its clients reach.
    :ivar reaches_engines: whether these routers can connect to the engines.
    """

    workspace: str
    rate: float
    routers: tuple[int, ...]
    reaches_engines: bool = True


class SharingSimulation:
    """
    A fleet of routers and engines, and the clients of some workspaces.

    :param routers: number of routers.
    :param engines: number of engines.
    :param slots: requests that an engine runs at a time.
    :ivar asked: cost of the requests that each workspace sent, without the
        repeats of rejected clients.
    :ivar received: cost of the requests of each workspace that were placed.
    :ivar history: copies of ``received``, one for each ``HISTORY_SECONDS``.
    """

    def __init__(self, routers: int, engines: int, slots: int) -> None:
        self._slots = slots
        self._clock = ManualClock()
        self._network = MemoryNetwork()
        self._random = random.Random(5)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._read_until = dict.fromkeys((f"s{n}" for n in range(engines)), 0.0)
        self.asked: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.history: list[Counter[str]] = []
        hosts = [f"a{n}" for n in range(routers)]
        members = {host: Member(host, 1, f"{host}:1", "a", "alive") for host in hosts}
        self._dispatchers: list[Dispatcher] = []
        self._boards: list[Blackboard] = []
        for number, host in enumerate(hosts):
            board = create_board(host)
            self._boards.append(board)
            board.members.replace(dict(members))
            board.routing.apply_snapshot(self._build_snapshot(), self._clock())
            link = MemoryLink(board, self._network)
            fleet_state = FleetStateController(
                board, link, create_recorder(board, self._clock), self._clock
            )
            dispatcher = Dispatcher(
                board, DecisionLog(host, None), GatewayMetrics(), self._clock
            )
            self._dispatchers.append(dispatcher)
            offset = number / routers
            self._repeat(
                offset * MIN_DISPATCH_PAUSE_SECONDS,
                MIN_DISPATCH_PAUSE_SECONDS,
                dispatcher.dispatch_pending,
            )
            period = choose_broadcast_period_seconds(routers)
            self._repeat(offset * period, period, fleet_state.broadcast_changes)

    def list_received(self, workspace: str) -> list[int]:
        """Return what a workspace received in each ``HISTORY_SECONDS``."""
        totals = [received[workspace] for received in self.history]
        return [later - earlier for earlier, later in itertools.pairwise(totals)]

    def get_served_ratio(self, workspace: str) -> float:
        """Return the fraction of a workspace's demand that was placed."""
        return self.received[workspace] / self.asked[workspace]

    def count_reported_requests(self) -> int:
        """Return how many requests of others a router believes to wait."""
        now = self._clock()
        return max(
            board.fleet_load.count_requests_ahead("model", math.inf, now)
            for board in self._boards
        )

    async def run(self, floods: tuple[Flood, ...], seconds: float) -> None:
        """Let the workspaces send requests for some time."""
        for flood in floods:
            self._schedule_arrival(flood, self._clock())
        ends_at = self._clock() + seconds
        self._repeat(
            0.0, HISTORY_SECONDS, lambda: self.history.append(Counter(self.received))
        )
        while self._clock() < ends_at:
            self._clock.advance(STEP_SECONDS)
            while self._events and self._events[0][0] <= self._clock():
                heapq.heappop(self._events)[2]()
            self._network.deliver(max_deliveries=100_000)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _build_snapshot(self) -> Snapshot:
        slots = self._slots
        servers = tuple(
            ServerRecord(name, 1, "model", f"{name}:80", "a", slots, draining=False)
            for name in self._read_until
        )
        services = {"model": RoutedService("model", 64, EngineCapacity(slots, 0, 0.0))}
        limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
        configuration = RoutingConfiguration(
            1, 1, (STREAMING_ROUTE,), services, limits, None
        )
        return Snapshot(1, configuration, servers)

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _repeat(self, delay: float, period: float, action: Callable[[], None]) -> None:
        def act() -> None:
            action()
            self._schedule(self._clock() + period, act)

        self._schedule(self._clock() + delay, act)

    def _schedule_arrival(self, flood: Flood, after: float) -> None:
        arrives_at = after + self._random.expovariate(flood.rate)

        def arrive() -> None:
            ratio = self._random.uniform(MIN_TIMEOUT_RATIO, 1.0)
            timeout = STREAMING_ROUTE.timeout * ratio
            router = self._random.choice(flood.routers)
            self._send(flood, timeout, router, is_repeat=False)
            self._schedule_arrival(flood, arrives_at)

        self._schedule(arrives_at, arrive)

    def _send(
        self, flood: Flood, timeout: float, router: int, *, is_repeat: bool
    ) -> None:
        request = self._build_request(flood.workspace, timeout)
        if not is_repeat:
            self.asked[flood.workspace] += int(compute_token_cost(request))
        task = asyncio.create_task(self._run_request(flood, request, router, is_repeat))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _build_request(self, workspace: str, timeout: float) -> RoutedRequest:
        name, now = f"x{next(self._numbers)}", self._clock()
        parts = (PromptPart(name, PROMPT_TOKENS),)
        head = RequestHead(
            name, timeout, "", "m", parts, PROMPT_TOKENS, OUTPUT_TOKENS, None
        )
        return RoutedRequest(
            head,
            "POST",
            "/",
            (),
            b"",
            STREAMING_ROUTE,
            "model",
            workspace,
            now,
            now + timeout,
        )

    async def _run_request(
        self,
        flood: Flood,
        request: RoutedRequest,
        router: int,
        is_repeat: bool,  # noqa: FBT001
    ) -> None:
        dispatcher = self._dispatchers[router]
        try:
            reservation = await dispatcher.acquire(request)
        except Refusal as refusal:
            delay = refusal.retry_after or 0.0
            time_left = request.deadline - self._clock() - delay
            if not is_repeat:
                self._schedule(
                    self._clock() + delay,
                    lambda: self._send(flood, time_left, router, is_repeat=True),
                )
            return
        if not flood.reaches_engines:
            reservation.record_failure(
                ConnectFailed("connection refused", was_sent=False),
                self._clock(),
            )
            reservation.release()
            return
        now = self._clock()
        self.received[flood.workspace] += int(compute_token_cost(request))
        server = reservation.server.id
        first_event_at = (
            max(self._read_until[server], now)
            + PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND
        )
        self._read_until[server] = first_event_at

        def read() -> None:
            reservation.record_first_token(self._clock())

        def end() -> None:
            for _ in range(EVENTS):
                reservation.record_event_gap(EVENT_SECONDS, 0.5, self._clock())
            reservation.release()

        self._schedule(first_event_at, read)
        self._schedule(first_event_at + EVENTS * EVENT_SECONDS, end)
