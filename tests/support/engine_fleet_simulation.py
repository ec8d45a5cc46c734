"""
A large fleet of routers before engines that read prompts in order.

Real dispatchers exchange real news through collectors, so what a router knows
of the others is as old as in a fleet of this size. All run on a clock that
only the simulation advances. No work of a router takes processor time.
"""

from __future__ import annotations

import asyncio
import functools
import heapq
import itertools
import random
import statistics
from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.admissions import (
    REPORT_PERIOD_SECONDS,
    AdmissionController,
)
from sycamorehaven.controllers.cold_servers.recorder import ColdServerRecorder
from sycamorehaven.controllers.dispatch import (
    MIN_DISPATCH_PAUSE_SECONDS,
    Dispatcher,
)
from sycamorehaven.controllers.engine_queues import (
    ADVANCE_PERIOD_SECONDS,
    EngineQueueController,
)
from sycamorehaven.controllers.fleet_state import FleetStateController
from sycamorehaven.controllers.news_link import BATCH_PERIOD_SECONDS, NewsLink
from sycamorehaven.decisions.cold_servers.paces import ColdAllowance
from sycamorehaven.decisions.news_routes import choose_broadcast_period_seconds
from sycamorehaven.exceptions.backends import ServerSilent
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
    from collections.abc import Callable, Collection

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.reservations import ServerReservation

STEP_SECONDS = 0.005
"""Time by which the clock advances; a message takes one step."""
DOMAINS = "abcd"
"""Failure domains of the routers and engines."""
SLOTS = 16
"""Requests that an engine runs at a time."""
SPEEDS = (0.7, 0.7, 1.7)
"""Speeds of engines, in turn."""
PREFILL_TOKENS_PER_SECOND = 54_600.0
"""Prompt tokens that an engine of speed 1 reads per second."""
FIRST_TOKEN_SECONDS = 0.061
"""Time from the end of reading a prompt to its first event."""
STREAM_SECONDS = 1.0
"""Time from the first event of a stream to its last one."""
EVENTS = 10
"""Events of a stream after the first one."""
PROMPT_TOKENS = 8_000
"""Tokens of each prompt, of which no engine keeps any."""
OUTPUT_TOKENS = 100
"""Tokens of each stream."""
DRAIN_SECONDS = 1.0
"""Time for which requests are answered after the last one has arrived."""
COLD_ALLOWANCE = ColdAllowance(1.5, 5.0)
"""By how much the limit of cold engines may be exceeded."""
COLD_SECONDS = 3.0
"""Time for which an engine is cold."""
SILENCE_SECONDS = 2.0
"""Time without an event after which an attempt counts as failed."""


class Begin(NamedTuple):
    """
    A first event, as its router saw it.

    :ivar placed_at: when its request was placed, in seconds of the run.
    :ivar expected: time from then to the first event that the router expected.
    :ivar measured: the time that it took.
    """

    placed_at: float
    expected: float
    measured: float


class PlacementLog(DecisionLog):
    """Keeps the time to the first event that a router expects."""

    def __init__(self, host: str, expected: dict[str, float]) -> None:
        super().__init__(host, None)
        self._expected = expected

    def record(self, event: str, **fields: object) -> None:
        """Keep what a placement expects."""
        if event == "placed":
            expected = fields["expected"]
            assert isinstance(expected, float)
            self._expected[str(fields["request"])] = expected


class SimulatedEngine:
    """
    An engine that runs requests in order of arrival.

    :param speed: factor applied to the rate at which it reads.
    :param schedule: calls an action after some seconds.
    :param clock: returns the time of the simulation in seconds.
    :ivar read_tokens: prompt tokens that it has read.
    :ivar arrivals: when requests reached it, in seconds of the clock.
    """

    def __init__(
        self,
        speed: float,
        schedule: Callable[[float, Callable[[], None]], None],
        clock: ManualClock,
    ) -> None:
        self.arrivals: list[float] = []
        self._rate = PREFILL_TOKENS_PER_SECOND * speed
        self._schedule = schedule
        self._clock = clock
        self._waiting: deque[Callable[[], None]] = deque()
        self._running = 0
        self._read_until = 0.0
        self.read_tokens = 0

    @property
    def is_idle(self) -> bool:
        """Whether it has nothing to read."""
        return self._read_until <= self._clock()

    def submit(self, begin: Callable[[], None]) -> None:
        """Run a request once its turn comes, and call ``begin`` then."""
        self.arrivals.append(self._clock())
        self._waiting.append(begin)
        self._start_requests()

    def _start_requests(self) -> None:
        while self._waiting and self._running < SLOTS:
            begin = self._waiting.popleft()
            self._running += 1
            now = self._clock()
            self._read_until = max(self._read_until, now) + PROMPT_TOKENS / self._rate
            delay = self._read_until + FIRST_TOKEN_SECONDS - now
            self._schedule(delay, functools.partial(self._finish_reading, begin))

    def _finish_reading(self, begin: Callable[[], None]) -> None:
        self.read_tokens += PROMPT_TOKENS
        begin()
        self._schedule(STREAM_SECONDS, self._end)

    def _end(self) -> None:
        self._running -= 1
        self._start_requests()


class EngineFleetSimulation:
    """
    A fleet and the clients of some workspaces, which reach all routers.

    :param routers: number of routers.
    :param engines: number of engines.
    :param cold_rate: requests per second that a cold engine tolerates.
    :ivar begins: the first events, by workspace.
    :ivar asked: requests of each workspace without repeats.
    :ivar rejected_while_idle: requests that were rejected while a tenth of the
        engines had nothing to read.
    :ivar placed_tokens: prompt tokens placed in each second of the run.
    :ivar boards: the state of each router.
    :ivar paused: numbers of routers that neither send nor receive; no client
        reaches them.
    """

    def __init__(self, routers: int, engines: int, cold_rate: float = 0.0) -> None:
        self._cold_rate = cold_rate
        self._clock = ManualClock()
        self._started_at = self._arrivals_end_at = self._clock()
        self._network = MemoryNetwork()
        self._random = random.Random(5)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._expected: dict[str, float] = {}
        self._dispatchers: list[Dispatcher] = []
        self._revision = 1
        self._starts: Counter[str] = Counter()
        self.boards: list[Blackboard] = []
        self.begins: dict[str, list[Begin]] = {}
        self.asked: Counter[str] = Counter()
        self.rejected_while_idle = 0
        self.paused: set[int] = set()
        self.placed_tokens: Counter[int] = Counter()
        self.engines = {
            f"s{number}": SimulatedEngine(
                SPEEDS[number % len(SPEEDS)], self.schedule, self._clock
            )
            for number in range(engines)
        }
        hosts = {f"a{n}": DOMAINS[n % len(DOMAINS)] for n in range(routers)}
        members = {
            host: Member(host, 1, f"{host}:1", domain, "alive")
            for host, domain in hosts.items()
        }
        for number, (host, domain) in enumerate(hosts.items()):
            board = create_board(host, domain, cold_allowance=COLD_ALLOWANCE)
            self._start_router(board, members, number / routers)

    @property
    def read_rate(self) -> float:
        """Prompt tokens that all engines read per second."""
        speeds = itertools.islice(itertools.cycle(SPEEDS), len(self.engines))
        return PREFILL_TOKENS_PER_SECOND * sum(speeds)

    def get_begun_ratio(self, workspace: str) -> float:
        """Return the fraction of a workspace's requests that began."""
        return len(self.begins.get(workspace, [])) / self.asked[workspace]

    def list_begins(self, after: float) -> list[Begin]:
        """Return the first events of requests that were placed later."""
        return [
            begin
            for begins in self.begins.values()
            for begin in begins
            if begin.placed_at >= after
        ]

    def compare_with_expected(self, after: float) -> float:
        """Return the median measured time divided by the median expected."""
        begins = self.list_begins(after)
        return statistics.median(begin.measured for begin in begins) / (
            statistics.median(begin.expected for begin in begins)
        )

    def get_late_ratio(self, after: float) -> float:
        """Return the fraction of first events that came after the target."""
        begins = self.list_begins(after)
        target = STREAMING_ROUTE.latency_target
        return sum(begin.measured > target for begin in begins) / len(begins)

    def list_placed_ratios(self) -> list[float]:
        """Return what was placed each second, by what the engines read."""
        return [
            self.placed_tokens[second] / self.read_rate
            for second in range(max(self.placed_tokens) + 1)
        ]

    async def run(self, rates: dict[str, float], seconds: float) -> None:
        """
        Let workspaces send requests for some time.

        :param rates: requests per second of each workspace.
        :param seconds: time in which they send; the last ones are answered
            after it.
        """
        self._arrivals_end_at = self._clock() + seconds
        for workspace, rate in rates.items():
            self._schedule_arrival(workspace, rate, self._clock())
        ends_at = self._arrivals_end_at + DRAIN_SECONDS
        while self._clock() < ends_at:
            self._clock.advance(STEP_SECONDS)
            while self._events and self._events[0][0] <= self._clock():
                heapq.heappop(self._events)[2]()
            self._deliver_step()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _deliver_step(self) -> None:
        """Deliver what was sent before; replies wait for the next step."""
        deliveries = self._network.pending_deliveries
        self._network.pending_deliveries = []
        silent = {f"a{number}:1" for number in self.paused}
        for address, delivery in deliveries:
            if silent & {address, delivery.address}:
                continue
            self._network.links[address].dispatch(delivery)

    def _start_router(
        self, board: Blackboard, members: dict[str, Member], offset: float
    ) -> None:
        clock = self._clock
        link = MemoryLink(board, self._network)
        news = NewsLink(board, link, clock)
        board.members.replace(dict(members))
        ColdServerRecorder(
            board, DecisionLog(board.identity.host, None), GatewayMetrics(), clock
        )
        board.routing.apply_snapshot(self.build_snapshot(), clock())
        self.boards.append(board)
        if self._cold_rate:
            # A snapshot that gets old stands for a store that is down.
            self._repeat(offset, 1.0, lambda: self._confirm_snapshot(board))
        fleet_state = FleetStateController(
            board, news, create_recorder(board, clock), clock
        )
        dispatcher = self._create_dispatcher(board, link, offset)
        self._dispatchers.append(dispatcher)
        pause = MIN_DISPATCH_PAUSE_SECONDS
        self._repeat(offset * pause, pause, dispatcher.dispatch_pending)
        period = choose_broadcast_period_seconds(len(members))
        self._repeat(offset * period, period, fleet_state.broadcast_changes)
        batch_period = BATCH_PERIOD_SECONDS
        self._repeat(offset * batch_period, batch_period, news.send_batches)
        self._repeat(0.1, 0.1, link.sent_messages.clear)

    def _confirm_snapshot(self, board: Blackboard) -> None:
        assert board.routing.snapshot is not None
        board.routing.apply_snapshot(board.routing.snapshot, self._clock())

    def _create_dispatcher(
        self, board: Blackboard, link: MemoryLink, offset: float
    ) -> Dispatcher:
        log = PlacementLog(board.identity.host, self._expected)
        metrics = GatewayMetrics()
        admissions = AdmissionController(board, link, log, metrics, self._clock)
        queues = EngineQueueController(board, link, self._clock)
        period = REPORT_PERIOD_SECONDS
        self._repeat(offset * period, period, admissions.report_progress)
        self._repeat(offset * period, period, admissions.end_overdue_applications)
        period = ADVANCE_PERIOD_SECONDS
        self._repeat(offset * period, period, queues.advance_all)
        return Dispatcher(board, log, metrics, self._clock, admissions)

    def build_snapshot(self, absent: Collection[str] = ()) -> Snapshot:
        """
        Return the newest snapshot.

        :param absent: engines that are not registered.
        """
        servers = tuple(
            ServerRecord(
                name,
                1 + self._starts[name],
                "model",
                f"{name}:80",
                DOMAINS[number % len(DOMAINS)],
                SLOTS,
                draining=False,
            )
            for number, name in enumerate(self.engines)
            if name not in absent
        )
        engine = EngineCapacity(SLOTS, 0, 0.0)
        service = RoutedService("model", 64, engine, self._cold_rate, COLD_SECONDS)
        limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
        configuration = RoutingConfiguration(
            1, 1, (STREAMING_ROUTE,), {"model": service}, limits, None
        )
        return Snapshot(self._revision, configuration, servers)

    def stop_engines(self, names: Collection[str]) -> None:
        """Remove engines from the directories of all routers."""
        self._revision += 1
        for board in self.boards:
            board.routing.apply_snapshot(self.build_snapshot(names), self._clock())

    def start_engines(self, names: Collection[str], max_lag: float) -> None:
        """
        Start engines anew.

        :param max_lag: longest time after which a router knows of it, seconds.
        """
        self._revision += 1
        for number, name in enumerate(self.engines):
            if name in names:
                self._starts[name] += 1
                self.engines[name] = SimulatedEngine(
                    SPEEDS[number % len(SPEEDS)], self.schedule, self._clock
                )
        snapshot, now = self.build_snapshot(), self._clock()
        for board in self.boards:
            read = functools.partial(board.routing.apply_snapshot, snapshot, now)
            self.schedule(self._random.uniform(0.0, max_lag), read)

    def schedule(self, delay: float, action: Callable[[], object]) -> None:
        """Call an action after some seconds."""
        entry = self._clock() + delay, next(self._numbers), action
        heapq.heappush(self._events, entry)

    def _repeat(self, delay: float, period: float, action: Callable[[], None]) -> None:
        def act() -> None:
            action()
            self.schedule(period, act)

        self.schedule(delay, act)

    def _schedule_arrival(self, workspace: str, rate: float, after: float) -> None:
        arrives_at = after + self._random.expovariate(rate)

        def arrive() -> None:
            if arrives_at > self._arrivals_end_at:
                return
            self.asked[workspace] += 1
            reached = set(range(len(self._dispatchers))) - self.paused
            router = self._random.choice(sorted(reached))
            timeout = STREAMING_ROUTE.timeout
            self._send(workspace, timeout, router, is_repeat=False)
            self._schedule_arrival(workspace, rate, arrives_at)

        self.schedule(arrives_at - self._clock(), arrive)

    def _send(
        self, workspace: str, timeout: float, router: int, *, is_repeat: bool
    ) -> None:
        request = self._build_request(workspace, timeout)
        task = asyncio.create_task(self._run_request(request, router, is_repeat))
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
        request: RoutedRequest,
        router: int,
        is_repeat: bool,  # noqa: FBT001
    ) -> None:
        try:
            reservation = await self._dispatchers[router].acquire(request)
        except Refusal as refusal:
            self._count_rejection()
            delay = refusal.retry_after or 0.0
            time_left = request.deadline - self._clock() - delay
            if not is_repeat:
                workspace = request.workspace
                self.schedule(
                    delay,
                    lambda: self._send(workspace, time_left, router, is_repeat=True),
                )
            return
        self._run_on_engine(request, reservation)

    def _count_rejection(self) -> None:
        idle = sum(engine.is_idle for engine in self.engines.values())
        self.rejected_while_idle += idle >= len(self.engines) / 10

    def _run_on_engine(
        self, request: RoutedRequest, reservation: ServerReservation
    ) -> None:
        placed_at = self._clock()
        self.placed_tokens[int(placed_at - self._started_at)] += PROMPT_TOKENS
        has_begun = given_up = False

        def begin() -> None:
            nonlocal has_begun
            if given_up:
                return
            has_begun = True
            now = self._clock()
            reservation.record_first_token(now)
            expected = self._expected[request.head.attempt_id]
            self.begins.setdefault(request.workspace, []).append(
                Begin(placed_at - self._started_at, expected, now - placed_at)
            )
            self.schedule(STREAM_SECONDS, end)

        def end() -> None:
            gap = STREAM_SECONDS / EVENTS
            for _ in range(EVENTS):
                reservation.record_event_gap(gap, 0.5, self._clock())
            reservation.release()

        def give_up() -> None:
            nonlocal given_up
            if has_begun:
                return
            given_up = True
            silence = ServerSilent("no event", was_sent=True)
            reservation.record_failure(silence, self._clock())
            reservation.release()

        self.schedule(SILENCE_SECONDS, give_up)
        self.engines[reservation.server.id].submit(begin)


def compute_rates(total: float, larges: int, small_part: float) -> dict[str, float]:
    """
    Return the rates of some large workspaces and a small one.

    :param total: requests per second of all of them.
    :param larges: number of large workspaces.
    :param small_part: rate of the small one as a fraction of a large one's.
    """
    rate = total / (larges + small_part)
    rates = {f"large-{number}": rate for number in range(larges)}
    return {**rates, "small": rate * small_part}
