"""
Simulation of routers and servers that requests with bad parts crash.

Time is simulated. The routers are the exchange and the guard of each request;
the messages between them take one step.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.members import Member
from sycamorehaven.controllers.crash_guard import CrashGuard
from sycamorehaven.controllers.forwarding import ForwardingContext
from sycamorehaven.controllers.strike_exchange import StrikeExchange
from sycamorehaven.exceptions.refusals import Refusal
from sycamorehaven.routing.model import ServerRecord
from sycamorehaven.routing.requests import PromptPart, RequestHead, RoutedRequest
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
)
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.decisions.crash_blame import Culprit
    from sycamorehaven.decisions.strikes import SuspectKeys

STEP_SECONDS = 0.05
"""Simulated time of a step, in which messages arrive."""
RESTART_SECONDS = 4.0
"""Time after which a crashed server is back."""
PREFILL_SECONDS = 0.3
"""Time from the arrival of a request to the begin of its answer."""
ANSWER_SECONDS = 1.5
"""Time from the begin of an answer to its end."""
GOSSIP_STEPS = 20
"""Number of steps between two rounds of gossip."""
MAX_ATTEMPTS = 2
"""Number of servers that a request may reach."""


class Prompt(NamedTuple):
    """
    A prompt that a client sends.

    :ivar name: its own last part, and the body of its request.
    :ivar parts: the parts before the last one.
    """

    name: str
    parts: tuple[str, ...]


class SimulatedServer:
    """
    A server that crashes when it begins to answer on a bad part.

    :ivar starts: number of its starts so far.
    :ivar up_again_at: when it is back after a crash; 0 if it is up.
    :ivar runs: runs on it.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.starts = 1
        self.up_again_at = 0.0
        self.runs: list[SimulatedRun] = []

    @property
    def record(self) -> ServerRecord:
        """The server as routers know it."""
        return ServerRecord(
            self.name, self.starts, "model", "10.0.0.1:80", "a", 64, draining=False
        )


class SimulatedRun:
    """
    One request at one router.

    :param fleet: the fleet.
    :param host: host of the router.
    :param prompt: the prompt of the request.
    """

    def __init__(self, fleet: CrashSimulation, host: str, prompt: Prompt) -> None:
        self._fleet = fleet
        parts = tuple(PromptPart(key, 100) for key in (*prompt.parts, prompt.name))
        head = RequestHead(prompt.name, 10.0, "", "m", parts, 0, 0, None)
        request = RoutedRequest(
            head,
            "POST",
            "/",
            (),
            prompt.name.encode(),
            STREAMING_ROUTE,
            "model",
            "w",
            0.0,
            fleet.clock() + 12.0,
        )
        self.prompt = prompt
        self.host = host
        self.guard = InterruptedGuard(fleet.controllers[host], request, self)
        self.server: SimulatedServer | None = None
        self.sent_at = 0.0
        self.attempts = 0
        self.has_begun = False
        self.is_over = False

    @property
    def is_bad(self) -> bool:
        """Whether a part of the prompt crashes servers."""
        return not self._fleet.bad_parts.isdisjoint(self.prompt.parts)

    async def start(self) -> None:
        """Send the request to a server unless it is refused."""
        try:
            await self.guard.admit()
        except Refusal:
            self._fleet.count("refused", self)
            return
        self.guard.start_waiting()
        self.send()

    def send(self) -> None:
        """Send the request to a server that is up."""
        servers = [server for server in self._fleet.servers if not server.up_again_at]
        if not servers or self.attempts >= MAX_ATTEMPTS:
            self.end("failed")
            return
        try:
            self.guard.check(may_have_run=self.attempts > 0)
        except Refusal:
            self.end("refused")
            return
        self.attempts += 1
        self.sent_at, self.has_begun = self._fleet.clock(), False
        self.server = self._fleet.random.choice(servers)
        self.server.runs.append(self)
        self._fleet.count("sent", self)

    def begin(self) -> None:
        """Receive the first event."""
        assert self.server is not None
        self.has_begun = True
        self.guard.report_begin()
        self._fleet.count("begun", self)

    def lose_server(self, server: SimulatedServer) -> None:
        """Lose the server, and try another one."""
        if self.is_over:
            return
        self.guard.report_loss(server.record, has_begun=self.has_begun)
        if self.is_over:
            return
        if self.has_begun:
            self.end("failed")
        else:
            self.send()

    def end(self, outcome: str) -> None:
        """Leave the server."""
        self.is_over = True
        if self.server is not None:
            self.server.runs.remove(self)
            self.server = None
        self.guard.stop_waiting()
        if outcome:
            self._fleet.count(outcome, self)


class InterruptedGuard(CrashGuard):
    """A guard that ends a simulated run when it is interrupted."""

    def __init__(
        self, controller: SimulatedController, request: RoutedRequest, run: SimulatedRun
    ) -> None:
        super().__init__(controller, request)  # type: ignore[arg-type]
        self._run = run

    def start_waiting(self) -> None:
        """Allow interruptions."""
        self._strikes.add_waiting(self)

    def stop_waiting(self) -> None:
        """Allow no more interruptions."""
        self._strikes.remove_waiting(self)

    def interrupt(self, culprit: Culprit) -> None:
        """End the run unless it is tried."""
        if culprit.keys not in self._tried and not self._run.is_over:
            self._run.end("refused")


class SimulatedController(NamedTuple):
    """
    What a guard needs of the controller of requests.

    :ivar strikes: strikes of the router.
    :ivar context: objects that all requests share.
    """

    strikes: StrikeExchange
    context: ForwardingContext


class CrashSimulation:
    """
    A fleet before servers that bad parts crash.

    :param routers: number of routers.
    :param servers: number of servers.
    :param seed: seed of all choices.
    :param exchange_class: kind of the routers' exchange.
    :ivar bad_parts: parts that crash each server.
    :ivar outcomes: numbers of sound and bad requests by outcome.
    :ivar crashes_by_part: number of servers that each bad part crashed.
    :ivar sends_by_part: when requests with each bad part were sent.
    """

    def __init__(
        self,
        routers: int,
        servers: int,
        seed: int,
        exchange_class: type[StrikeExchange] = StrikeExchange,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.network = MemoryNetwork(seed)
        self.bad_parts: set[str] = set()
        self.servers = [SimulatedServer(f"s{number}") for number in range(servers)]
        self.controllers: dict[str, SimulatedController] = {}
        self.boards = {
            f"r{number}": create_board(f"r{number}") for number in range(routers)
        }
        self._exchange_class = exchange_class
        for host in self.boards:
            self.start_router(host)
        self.join(self.boards)
        self.outcomes: dict[tuple[str, str], int] = {}
        self.crashes_by_part: dict[str, list[float]] = {}
        self.sends_by_part: dict[str, list[float]] = {}
        self._steps = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def start_router(self, host: str) -> None:
        """Start a router with empty memory."""
        board = self.boards[host] = create_board(host)
        log = DecisionLog(host, None)
        metrics = GatewayMetrics()
        exchange = self._exchange_class(
            board,
            MemoryLink(board, self.network),
            log,
            metrics,
            self.clock,
            random.Random(self.random.random()),
        )
        context = ForwardingContext(None, None, log, metrics, self.clock)  # type: ignore[arg-type]
        self.controllers[host] = SimulatedController(exchange, context)

    def join(self, hosts: Iterable[str], incarnation: int = 1) -> None:
        """Make some routers members for each other."""
        members = {
            host: Member(
                host, incarnation, self.boards[host].members.own.address, "a", "alive"
            )
            for host in hosts
        }
        for host in members:
            self.boards[host].members.replace(dict(members))

    def cut(self, hosts: Iterable[str]) -> None:
        """Cut some routers off from the others."""
        inside = {self.boards[host].members.own.address for host in hosts}
        addresses = {board.members.own.address for board in self.boards.values()}
        self.network.disconnected_pairs = {
            frozenset({near, far}) for near in inside for far in addresses - inside
        }

    def heal(self) -> None:
        """Connect all routers again."""
        self.network.disconnected_pairs = set()

    def is_blocked(self, host: str, keys: SuspectKeys) -> bool:
        """Return whether a router refuses a request."""
        return self.controllers[host].strikes.is_blocked(keys)

    def count(self, outcome: str, run: SimulatedRun) -> None:
        """Count what became of a request."""
        key = outcome, "bad" if run.is_bad else "sound"
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
        if outcome == "sent":
            for part in self.bad_parts.intersection(run.prompt.parts):
                self.sends_by_part.setdefault(part, []).append(self.clock())

    def send(self, prompt: Prompt, host: str = "") -> None:
        """Send a request to a router, a random one by default."""
        host = host or self.random.choice(sorted(self.boards))
        task = asyncio.ensure_future(SimulatedRun(self, host, prompt).start())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash(self, server: SimulatedServer) -> None:
        """Crash a server with all that it runs."""
        runs, server.runs = server.runs, []
        server.up_again_at = self.clock() + RESTART_SECONDS
        for run in runs:
            run.server = None
        for run in runs:
            run.lose_server(server)
        server.starts += 1

    async def step(self) -> None:
        """Let a step pass."""
        self.clock.advance(STEP_SECONDS)
        self._steps += 1
        if self._steps % GOSSIP_STEPS == 0:
            for controller in self.controllers.values():
                controller.strikes.pass_on()
        for _ in range(4):
            self.network.deliver(100_000)
            await asyncio.sleep(0)
        for server in self.servers:
            self._advance(server)

    async def run(self, seconds: float) -> None:
        """Let time pass without new requests."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await self.step()

    async def close(self) -> None:
        """Wait for the requests that are being admitted."""
        for task in list(self._tasks):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def _advance(self, server: SimulatedServer) -> None:
        now = self.clock()
        if server.up_again_at:
            if now >= server.up_again_at:
                server.up_again_at = 0.0
            return
        for run in list(server.runs):
            if run.server is not server:
                continue
            if not run.has_begun and now - run.sent_at >= PREFILL_SECONDS:
                if run.is_bad:
                    for part in self.bad_parts.intersection(run.prompt.parts):
                        self.crashes_by_part.setdefault(part, []).append(now)
                    self.crash(server)
                    return
                run.begin()
            elif now - run.sent_at >= PREFILL_SECONDS + ANSWER_SECONDS:
                run.guard.report_success()
                run.end("")


class Workload:
    """
    Sound requests that share a common part, and requests with bad parts.

    :param fleet: the fleet that gets them.
    :param sound_rate: sound requests a second.
    :param bad_rate: requests with each bad part a second.
    """

    def __init__(
        self, fleet: CrashSimulation, sound_rate: float, bad_rate: float
    ) -> None:
        self._fleet = fleet
        self._sound_rate = sound_rate
        self._bad_rate = bad_rate
        self._number = 0

    async def run(self, seconds: float) -> None:
        """Send requests for some time."""
        generator = self._fleet.random
        for _ in range(round(seconds / STEP_SECONDS)):
            self._draw(generator, self._sound_rate, ())
            for part in sorted(self._fleet.bad_parts):
                self._draw(generator, self._bad_rate, (part,))
            await self._fleet.step()

    def _draw(
        self, generator: random.Random, rate: float, bad_parts: tuple[str, ...]
    ) -> None:
        if generator.random() >= rate * STEP_SECONDS:
            return
        self._number += 1
        shared = ["system", f"topic{generator.randrange(30)}"]
        for part in bad_parts:
            shared.insert(generator.randrange(len(shared) + 1), part)
        self._fleet.send(Prompt(f"p{self._number}", tuple(shared)))
