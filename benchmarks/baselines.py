"""What the same flows get without permits."""

from __future__ import annotations

import functools
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.events import EventQueue
from benchmarks.flows import FlowSource
from benchmarks.meter import Meter
from benchmarks.workload import Flow, Request, Server

if TYPE_CHECKING:
    from benchmarks.plan import Plan

LOAD_PERIOD = 0.5
"""Seconds between two reports of load."""


class Waiting(NamedTuple):
    """
    A request in a queue.

    :ivar request: the request.
    :ivar bound: called when it waits no longer.
    """

    request: Request
    bound: Callable[[], None]


class Baseline:
    """
    Servers, flows and a meter, without routers that talk to each other.

    :param plan: what to build.
    :param flows: what workspaces ask for.
    """

    def __init__(self, plan: Plan, flows: list[Flow]) -> None:
        self.plan = plan
        self.events = EventQueue()
        self.servers = [
            Server(f"engine-{index}", plan.slots, speed, self.events)
            for index, speed in enumerate(plan.speeds)
        ]
        self.meter = Meter(
            self.events,
            self.servers,
            {flow.workspace: flow.weight for flow in flows},
            plan.largest,
            plan.largest / min(plan.speeds),
        )
        self._source = FlowSource(self.events, flows, plan.seed, self)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.events.run_until(self.events.now + seconds)

    def is_up(self, index: int) -> bool:  # noqa: ARG002
        """Return ``True``."""
        return True

    def submit(self, index: int, request: Request, bound: Callable[[], None]) -> None:
        """Take a request at a router."""
        raise NotImplementedError


class StaticSplit(Baseline):
    """Each router owns some slots and serves its own queue in order."""

    def __init__(self, plan: Plan, flows: list[Flow]) -> None:
        self._queues: list[deque[Waiting]] = [deque() for _ in range(plan.routers)]
        super().__init__(plan, flows)
        slots = [server for server in self.servers for _ in range(server.slots)]
        self._free = [slots[index :: plan.routers] for index in range(plan.routers)]

    def submit(self, index: int, request: Request, bound: Callable[[], None]) -> None:
        """Queue a request at a router."""
        self.meter.join(request)
        self._queues[index].append(Waiting(request, bound))
        self._start(index)

    def _start(self, index: int) -> None:
        while self._queues[index] and self._free[index]:
            request, bound = self._queues[index].popleft()
            server = self._free[index].pop()
            self.meter.bind(request)
            finish = functools.partial(self._finish, index, server, request)
            server.admit(request, finish)
            bound()

    def _finish(self, index: int, server: Server, request: Request) -> None:
        self.meter.finish(request)
        self._free[index].append(server)
        self._start(index)


class LeastLoaded(Baseline):
    """Each router sends at once to the server with the least load it knows."""

    def __init__(self, plan: Plan, flows: list[Flow]) -> None:
        self._known = [[0.0] * len(plan.speeds) for _ in range(plan.routers)]
        super().__init__(plan, flows)
        self.events.repeat(LOAD_PERIOD, self._read_loads)

    def submit(self, index: int, request: Request, bound: Callable[[], None]) -> None:
        """Send a request."""
        self.meter.join(request)
        known = self._known[index]
        place = min(range(len(known)), key=lambda number: known[number])
        known[place] += 1.0 / self.servers[place].slots
        request.started = functools.partial(self._begin, request, bound)
        self.servers[place].admit(request, functools.partial(self._finish, request))

    def _begin(self, request: Request, bound: Callable[[], None]) -> None:
        self.meter.bind(request)
        self.events.call_after(0.0, bound)

    def _finish(self, request: Request) -> None:
        self.meter.finish(request)

    def _read_loads(self) -> None:
        loads = [server.load / server.slots for server in self.servers]
        self._known = [list(loads) for _ in self._known]
