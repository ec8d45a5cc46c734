"""
A large fleet of routers before a few plain servers, without a network.

Real dispatchers exchange real news through collectors, so what a router knows
of the others is as old as in a fleet of this size. All run on a clock that
only the simulation advances. No work of a router takes processor time.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from sycamorehaven.controllers.dispatch import MIN_DISPATCH_PAUSE_SECONDS, Dispatcher
from sycamorehaven.controllers.fleet_state import FleetStateController
from sycamorehaven.controllers.news_link import BATCH_PERIOD_SECONDS, NewsLink
from sycamorehaven.decisions.news_routes import choose_broadcast_period_seconds
from sycamorehaven.decisions.plain_servers.slowdown import SlowdownReport
from sycamorehaven.exceptions.refusals import Refusal
from sycamorehaven.routing.model import (
    RequestLimits,
    Route,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
    WeightedService,
)
from sycamorehaven.routing.requests import RequestHead, RoutedRequest
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.messages.fleet import NewsBatch, NewsReport
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
    create_recorder,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.members import Member
    from sycamorehaven.controllers.reservations import ServerReservation
    from sycamorehaven.routing.model import RouteKind

STEP_SECONDS = 0.005
"""Time by which the clock advances; a message takes one step."""
DOMAINS = "abcd"
"""Failure domains of the routers and servers."""
ROUTERS = 84
SLOTS = 6
"""Requests that a server runs at a time; further ones wait in its queue."""
WORK_SECONDS = (0.015, 0.09)
"""Shortest and longest time that a request takes."""
RATE = 0.8
"""Requests per second of each router for each server."""
REPEATABLE_RATIO = 0.5
"""Fraction of the requests that are idempotent."""
MAX_ATTEMPTS = 2
LATENCY_TARGET_SECONDS = 0.25
TIMEOUT_SECONDS = 2.0
DRAIN_SECONDS = 1.0
"""Time for which requests are answered after the last one has arrived."""
SLOWDOWN_PERIOD_SECONDS = 4.0
"""Time between two slowdowns of a server, which are 0.15 of the time."""
SLOWDOWN_SECONDS = 0.6
SLOWDOWN = 2.5
"""Factor applied to the time of work during a slowdown."""


class Failure(NamedTuple):
    """
    A time in which servers fail a part of their requests.

    :ivar servers: ids of the servers.
    :ivar begins_at: when it begins, in seconds of the run.
    :ivar ends_at: when it ends, in seconds of the run.
    :ivar ratio: fraction of the requests that fail.
    :ivar domains: failure domains whose routers see failures.
    """

    servers: tuple[str, ...]
    begins_at: float
    ends_at: float
    ratio: float = 0.5
    domains: str = DOMAINS


class FleetFigures:
    """
    What happened in one run.

    :ivar asked: requests that arrived, by kind.
    :ivar failed: requests whose client got a failure, by kind.
    :ivar refused: requests that were refused unrun, by kind.
    :ivar sent: requests that each server got, by second of the run.
    :ivar sent_once: the same without those that may run more than once.
    :ivar seen: failures that routers of each failure domain saw.
    :ivar latencies: seconds from arrival to success.
    :ivar longest_queue: most requests that a server had beyond its slots.
    :ivar news_bytes: bytes of results in the news that all routers sent, those
        that collectors passed on included.
    """

    def __init__(self) -> None:
        self.asked: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.sent: Counter[tuple[str, int]] = Counter()
        self.sent_once: Counter[tuple[str, int]] = Counter()
        self.seen: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.longest_queue = 0
        self.news_bytes = 0

    def count_sent(self, server: str, first: int, last: int) -> int:
        """Return the requests that a server got in some seconds."""
        return sum(self.sent[server, second] for second in range(first, last))

    def get_latency(self, quantile: float) -> float:
        """Return a quantile of the latencies, in seconds."""
        return sorted(self.latencies)[int(quantile * (len(self.latencies) - 1))]


class PlainServer:
    """
    A server that runs requests in order of arrival.

    :ivar waiting: requests beyond its slots.
    """

    def __init__(self, schedule: Callable[[float, Callable[[], None]], None]) -> None:
        self._schedule = schedule
        self._running = 0
        self.waiting: deque[tuple[Callable[[], float], Callable[[], None]]] = deque()

    def submit(
        self, choose_duration: Callable[[], float], end: Callable[[], None]
    ) -> None:
        """Run a request once a slot is free, and call ``end`` then."""
        self.waiting.append((choose_duration, end))
        self._start_requests()

    def _start_requests(self) -> None:
        while self.waiting and self._running < SLOTS:
            self._running += 1
            choose_duration, end = self.waiting.popleft()

            def finish(end: Callable[[], None] = end) -> None:
                self._running -= 1
                end()
                self._start_requests()

            self._schedule(choose_duration(), finish)


class PlainFleetSimulation:
    """
    A fleet, a few plain servers and the clients of all routers.

    :param failures: times in which servers fail requests.
    :param servers: number of servers.
    :param has_slowdowns: whether servers are slow at times.
    :param is_published: whether the service is in the configuration. If not,
        routers know nothing of plain servers and choose by their own results.
    :param loses_news: whether routers hear nothing of each other.
    :param seed: seed of the load.
    :ivar figures: what happened.
    :ivar boards: shared state of each router.
    """

    def __init__(
        self,
        failures: tuple[Failure, ...] = (),
        servers: int = 3,
        *,
        has_slowdowns: bool = False,
        is_published: bool = True,
        loses_news: bool = False,
        seed: int = 5,
    ) -> None:
        self._failures = failures
        self._has_slowdowns = has_slowdowns
        self._is_published = is_published
        self._loses_news = loses_news
        self._clock = ManualClock()
        self._started_at = self._clock()
        self._network = MemoryNetwork()
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._dispatchers: list[Dispatcher] = []
        self._servers = {
            f"s{number}": PlainServer(self._schedule) for number in range(servers)
        }
        self.figures = FleetFigures()
        self.boards = [
            create_board(f"a{number}", DOMAINS[number % len(DOMAINS)])
            for number in range(ROUTERS)
        ]
        members = {board.identity.host: board.members.own for board in self.boards}
        for number in range(ROUTERS):
            self._start_router(number, dict(members))

    @property
    def elapsed(self) -> float:
        """Seconds of the run."""
        return self._clock() - self._started_at

    @property
    def now(self) -> float:
        """The time of the routers, in monotonic seconds."""
        return self._clock()

    async def run(self, seconds: float) -> FleetFigures:
        """Let clients send requests for some time."""
        self._schedule_arrival(self._clock(), seconds)
        while self.elapsed < seconds + DRAIN_SECONDS:
            self._clock.advance(STEP_SECONDS)
            while self._events and self._events[0][0] <= self._clock():
                heapq.heappop(self._events)[2]()
            deliveries = self._network.pending_deliveries
            self._network.pending_deliveries = []
            for address, delivery in [] if self._loses_news else deliveries:
                self._network.links[address].dispatch(delivery)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return self.figures

    def _start_router(self, number: int, members: dict[str, Member]) -> None:
        board, clock, offset = self.boards[number], self._clock, number / ROUTERS
        link = MemoryLink(board, self._network)
        news = NewsLink(board, link, clock)
        board.members.replace(members)
        board.routing.apply_snapshot(self._build_snapshot(), clock())
        recorder = create_recorder(board, clock)
        fleet_state = FleetStateController(board, news, recorder, clock)
        log = DecisionLog(board.identity.host, None)
        dispatcher = Dispatcher(board, log, GatewayMetrics(), clock)
        self._dispatchers.append(dispatcher)
        pause = MIN_DISPATCH_PAUSE_SECONDS
        self.repeat(pause, dispatcher.dispatch_pending, offset * pause)
        period = choose_broadcast_period_seconds(ROUTERS)
        self.repeat(period, fleet_state.broadcast_changes, offset * period)
        period = BATCH_PERIOD_SECONDS
        self.repeat(period, news.send_batches, offset * period)
        self.repeat(0.1, lambda: self._count_results(link), 0.1)

    def _count_results(self, link: MemoryLink) -> None:
        """Count the bytes of the results in the news that a router sent."""
        for _, message in link.sent_messages:
            batch = message.reports if isinstance(message, NewsBatch) else []
            news = [report.news for report in batch]
            if isinstance(message, NewsReport):
                news.append(message.news)
            self.figures.news_bytes += sum(
                len(msgspec.msgpack.encode(result))
                for item in news
                for result in item.results
            )
        link.sent_messages.clear()

    def _build_snapshot(self) -> Snapshot:
        servers = tuple(
            ServerRecord(
                name, 1, "plain", f"{name}:80", DOMAINS[n % 4], SLOTS, draining=False
            )
            for n, name in enumerate(self._servers)
        )
        service = RoutedService("plain", 64, None)
        services = {"plain": service} if self._is_published else {}
        limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
        return Snapshot(
            1, RoutingConfiguration(1, 1, (), services, limits, None), servers
        )

    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        entry = self._clock() + delay, next(self._numbers), action
        heapq.heappush(self._events, entry)

    def repeat(
        self, period: float, action: Callable[[], Any], delay: float = 0.0
    ) -> None:
        """Take an action at intervals of some seconds."""

        def act() -> None:
            action()
            self._schedule(period, act)

        self._schedule(delay, act)

    def _schedule_arrival(self, after: float, seconds: float) -> None:
        rate = RATE * ROUTERS * len(self._servers)
        arrives_at = after + self._random.expovariate(rate)

        def arrive() -> None:
            if self.elapsed > seconds:
                return
            kind: RouteKind = "non_idempotent"
            if self._random.random() < REPEATABLE_RATIO:
                kind = "idempotent"
            self.figures.asked[kind] += 1
            router = self._random.randrange(ROUTERS)
            task = asyncio.create_task(self._run_request(router, kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            self._schedule_arrival(arrives_at, seconds)

        self._schedule(arrives_at - self._clock(), arrive)

    async def _run_request(self, router: int, kind: RouteKind) -> None:
        request = self._build_request(kind)
        excluded: set[str] = set()
        while True:
            try:
                reservation = await self._dispatchers[router].acquire(request, excluded)
            except Refusal:
                self.figures.refused[kind] += 1
                return
            if not await self._run_attempt(router, kind, reservation):
                self.figures.latencies.append(self._clock() - request.received_at)
                return
            excluded.add(reservation.server.id)
            if kind == "non_idempotent" or len(excluded) == MAX_ATTEMPTS:
                self.figures.failed[kind] += 1
                return

    async def _run_attempt(
        self, router: int, kind: RouteKind, reservation: ServerReservation
    ) -> bool:
        """Send a request and return whether the server failed it."""
        name, second = reservation.server.id, int(self.elapsed)
        self.figures.sent[name, second] += 1
        self.figures.sent_once[name, second] += kind == "non_idempotent"
        domain = self.boards[router].members.own.failure_domain
        has_ended, server = asyncio.Event(), self._servers[name]
        server.submit(lambda: self._choose_duration(name), has_ended.set)
        self.figures.longest_queue = max(
            self.figures.longest_queue, len(server.waiting)
        )
        await has_ended.wait()
        failed = self._random.random() < self._get_failure_ratio(name, domain)
        self.figures.seen[domain] += failed
        report = SlowdownReport(self.get_slowdown(name), self._clock())
        self.boards[router].plain_servers.record_slowdown(name, report)
        reservation.record_answer(self._clock(), failed=failed, route=kind)
        reservation.release()
        return failed

    def _build_request(self, kind: RouteKind) -> RoutedRequest:
        route = Route(
            kind,
            "fleet.example",
            "/",
            kind,
            TIMEOUT_SECONDS,
            LATENCY_TARGET_SECONDS,
            0.0,
            (WeightedService("plain", 1.0),),
            MAX_ATTEMPTS if kind == "idempotent" else 1,
            0,
            public=True,
            resumable=False,
        )
        now, name = self._clock(), f"x{next(self._numbers)}"
        head = RequestHead(name, TIMEOUT_SECONDS, "", "", (), 0, 0, None)
        return RoutedRequest(
            head, "POST", "/", (), b"", route, "plain", "", now, now + TIMEOUT_SECONDS
        )

    def _choose_duration(self, name: str) -> float:
        return self._random.uniform(*WORK_SECONDS) * self.get_slowdown(name)

    def get_slowdown(self, name: str) -> float:
        """Return the factor applied to the time of work at a server now."""
        if not self._has_slowdowns:
            return 1.0
        offset = int(name[1:]) * SLOWDOWN_PERIOD_SECONDS / len(self._servers)
        is_slow = (self.elapsed + offset) % SLOWDOWN_PERIOD_SECONDS < SLOWDOWN_SECONDS
        return SLOWDOWN if is_slow else 1.0

    def _get_failure_ratio(self, name: str, domain: str) -> float:
        now = self.elapsed
        return max(
            (
                failure.ratio
                for failure in self._failures
                if name in failure.servers
                and domain in failure.domains
                and failure.begins_at <= now < failure.ends_at
            ),
            default=0.0,
        )
