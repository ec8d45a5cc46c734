"""
A host whose processor is too slow for the requests that reach its router.

The router's real gate, monitor and dispatcher run on an event loop in virtual
time, on which each piece of work takes the processor time that it takes on a
host. As on a real host, what arrives meanwhile waits in the kernel, and the
events of a stream that have arrived are read at once. So the loop may be busy
all the time and yet hardly late.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.event_loop import EventLoopMonitor
from sycamorehaven.decisions.rotation import RotationControl
from sycamorehaven.exceptions.refusals import Refusal
from sycamorehaven.platform.header_codec import PlatformHeaderCodec
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
from sycamorehaven.transport.time_gate import TimeGate
from tests.support.doubles import create_board
from tests.support.published_routes import STREAMING_ROUTE
from tests.support.virtual_time import VirtualTimeLoop

if TYPE_CHECKING:
    from sycamorehaven.controllers.candidates import PendingRequest
    from sycamorehaven.controllers.pass_loads import PassLoads
    from sycamorehaven.controllers.reservations import ServerReservation
    from sycamorehaven.controllers.shares import ShareStatus

API_KEY = "key-of-the-flood"
WORKSPACE = "flood"
ENGINES = 70
"""Number of engines, which have room for all requests."""
SLOTS = 64
"""Requests that an engine runs at a time."""
FIRST_EVENT_SECONDS = 0.25
"""Time from placement to the first event at the engine."""
EVENT_SECONDS = 0.1
"""Time between two events at the engine."""
EVENTS = 13
"""Events of a stream."""
PROMPT_TOKENS = 3_000
"""Tokens of each prompt."""
REFUSED_RATIO = 0.5
"""Fraction of the looks at a request after which an engine's scheduler refuses
it, so that the dispatcher has to look again."""


class HostCosts(NamedTuple):
    """
    Seconds of a core that the work of a router takes.

    :ivar reading: a request that is accepted and read.
    :ivar sending: a request that is sent to a server.
    :ivar event: the events of a stream that are relayed at once.
    :ivar rejection: a request that is rejected by its head.
    :ivar decision: a look at a pending request.
    :ivar dispatch_pass: a pass over the pending requests, without the looks.
    """

    reading: float
    sending: float
    event: float
    rejection: float
    decision: float
    dispatch_pass: float

    @property
    def stream(self) -> float:
        """Seconds of a core that a stream takes."""
        decisions = self.decision / (1.0 - REFUSED_RATIO)
        return self.reading + decisions + self.sending + EVENTS * self.event


class HostLoop(VirtualTimeLoop):
    """
    An event loop in virtual time on which work takes time.

    :param quota: fraction of a core that the host has.
    :ivar busy_seconds: time that work has taken.
    """

    def __init__(self, quota: float) -> None:
        super().__init__()
        self._quota = quota
        self.busy_seconds = 0.0

    def spend(self, core_seconds: float) -> None:
        """Let work take its time."""
        seconds = core_seconds / self._quota
        self.busy_seconds += seconds
        self._jumping_selector.now += seconds


class CostlyDispatcher(Dispatcher):
    """A dispatcher whose passes take time."""

    host: HostSimulation

    def _make_pass(self, now: float) -> None:
        self.host.spend(self.host.costs.dispatch_pass)
        super()._make_pass(now)

    def _place_or_reject(
        self,
        pending: PendingRequest,
        loads: PassLoads,
        share_status: ShareStatus,
        now: float,
    ) -> None:
        self.host.spend(self.host.costs.decision)
        if not self.host.is_refused():
            super()._place_or_reject(pending, loads, share_status, now)


class HostSimulation:
    """
    A router and the clients of one workspace, all of which reach it.

    :param costs: what the work of the router takes.
    :param quota: fraction of a core that the host has.
    :ivar begun: streams that began in each second.
    :ivar accepted: requests that were accepted in each second.
    :ivar rejected_unread: requests that were rejected by their heads.
    :ivar rejected_after_reading: accepted ones that were rejected later.
    :ivar first_event_seconds: times from arrival to first event.
    """

    def __init__(self, costs: HostCosts, quota: float) -> None:
        self.costs = costs
        self._quota = quota
        self._random = random.Random(7)
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.begun: Counter[int] = Counter()
        self.accepted: Counter[int] = Counter()
        self.rejected_unread: Counter[int] = Counter()
        self.rejected_after_reading: Counter[int] = Counter()
        self.first_event_seconds: list[float] = []

    def run(self, rate: float, seconds: float) -> None:
        """
        Let the clients send requests.

        A client whose request is rejected comes back once.

        :param rate: requests per second, without those that come back.
        :param seconds: time for which they send.
        """
        with asyncio.Runner(loop_factory=lambda: HostLoop(self._quota)) as runner:
            runner.run(self._run(rate, seconds))

    def spend(self, core_seconds: float) -> None:
        """Let work take its time."""
        self._loop.spend(core_seconds)

    def is_refused(self) -> bool:
        """Return whether the scheduler of an engine refuses a request."""
        return self._random.random() < REFUSED_RATIO

    async def _run(self, rate: float, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, HostLoop)
        self._loop = loop
        log, metrics = DecisionLog("a1", None), GatewayMetrics()
        self._board = board = create_board()
        board.routing.apply_snapshot(build_snapshot(), loop.time())
        self._codec = PlatformHeaderCodec()
        self._gate = TimeGate(
            board,
            self._codec,
            log,
            lambda *_: None,
            loop.time,
            RotationControl(self._quota),
        )
        self._dispatcher = CostlyDispatcher(board, log, metrics, loop.time)
        self._dispatcher.host = self
        monitor = EventLoopMonitor(
            board,
            log,
            metrics,
            loop.time,
            self._quota,
            lambda: loop.busy_seconds,
        )
        services = (monitor, self._dispatcher)
        for service in services:
            await service.start()
        arrives_at = self._random.expovariate(rate)
        while arrives_at < seconds:
            loop.call_at(arrives_at, self._receive, STREAMING_ROUTE.timeout, False)
            arrives_at += self._random.expovariate(rate)
        await asyncio.sleep(seconds)
        for service in services:
            await service.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _receive(self, timeout: float, is_repeat: bool) -> None:  # noqa: FBT001
        """Handle a request that has arrived."""
        self._number += 1
        name = f"x{self._number}"
        rejection = self._gate.reject_early(build_head(name, timeout))
        if rejection is not None:
            self.rejected_unread[int(self._loop.time())] += 1
            self.spend(self.costs.rejection)
            self._come_back(timeout, is_repeat=is_repeat)
            return
        task = self._loop.create_task(self._serve(name, timeout, is_repeat=is_repeat))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _come_back(self, timeout: float, *, is_repeat: bool) -> None:
        if not is_repeat:
            self._loop.call_later(1.0, self._receive, timeout - 1.0, True)

    async def _serve(self, name: str, timeout: float, *, is_repeat: bool) -> None:
        loop, lifecycle = self._loop, self._board.lifecycle
        received_at = loop.time()
        lifecycle.begin_request()
        has_been_read = False
        try:
            request = build_request(name, received_at, timeout)
            self._gate.check_time(WORKSPACE, request.head, received_at)
            self.spend(self.costs.reading)
            has_been_read = True
            self.accepted[int(received_at)] += 1
            reservation = await self._dispatcher.acquire(request)
            self.spend(self.costs.sending)
            await self._relay(reservation, received_at)
        except Refusal:
            self.spend(self.costs.rejection)
            counts = (
                self.rejected_after_reading if has_been_read else self.rejected_unread
            )
            counts[int(received_at)] += 1
            self._come_back(timeout, is_repeat=is_repeat)
        finally:
            lifecycle.end_request()

    async def _relay(self, reservation: ServerReservation, received_at: float) -> None:
        """Relay the events of a stream, each time all that have arrived."""
        loop = self._loop
        first_at = loop.time() + FIRST_EVENT_SECONDS
        relayed = 0
        while relayed < EVENTS:
            await asyncio.sleep(first_at + relayed * EVENT_SECONDS - loop.time())
            now = loop.time()
            if not relayed:
                self.begun[int(now)] += 1
                self.first_event_seconds.append(now - received_at)
                reservation.record_first_token(now)
            relayed = min(int((now - first_at) / EVENT_SECONDS + 1e-6) + 1, EVENTS)
            self.spend(self.costs.event)
        reservation.release()


def build_head(name: str, timeout: float) -> bytes:
    """Return the head of a request as it arrives."""
    return (
        f"POST / HTTP/1.1\r\nHost: {STREAMING_ROUTE.host}\r\n"
        f"Sycamorehaven-Key: {API_KEY}\r\nSycamorehaven-Attempt-Id: {name}\r\n"
        f"Sycamorehaven-Deadline-Ms: {int(timeout * 1_000)}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def build_request(name: str, received_at: float, timeout: float) -> RoutedRequest:
    """Return a request as the listener reads it."""
    parts = (PromptPart(name, PROMPT_TOKENS),)
    head = RequestHead(name, timeout, API_KEY, "m", parts, PROMPT_TOKENS, 100, None)
    return RoutedRequest(
        head,
        "POST",
        "/",
        (),
        b"",
        STREAMING_ROUTE,
        "model",
        WORKSPACE,
        received_at,
        received_at + timeout,
    )


def build_snapshot() -> Snapshot:
    """Return the routes and engines."""
    servers = tuple(
        ServerRecord(f"s{n}", 1, "model", f"s{n}:80", "a", SLOTS, draining=False)
        for n in range(ENGINES)
    )
    services = {"model": RoutedService("model", SLOTS, EngineCapacity(SLOTS, 0, 0.0))}
    limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
    configuration = RoutingConfiguration(
        1, 1, (STREAMING_ROUTE,), services, limits, {API_KEY: WORKSPACE}
    )
    return Snapshot(1, configuration, servers)
