"""
Baseline routers that share no state, for comparison with permits.

Each baseline serves the same flows as the simulated fleet.
"""

from __future__ import annotations

import functools
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.event_queue import EventQueue
from benchmarks.fairness_meter import FairnessMeter
from benchmarks.flow_source import FlowSource
from benchmarks.workload import Flow, Request, SimulatedServer

if TYPE_CHECKING:
    from benchmarks.fleet_plan import FleetPlan

LOAD_REPORT_PERIOD_SECONDS = 0.5
"""Interval at which routers learn the load of all servers."""


class WaitingRequest(NamedTuple):
    """
    A request that waits in a router's queue.

    :ivar request: the request.
    :ivar on_dispatched: called when the request is sent to a server.
    """

    request: Request
    on_dispatched: Callable[[], None]


class Baseline:
    """
    Servers, flows and a meter, with routers that exchange no messages.

    :param plan: the fleet to build.
    :param flows: the requests that the workspaces send.
    """

    def __init__(self, plan: FleetPlan, flows: list[Flow]) -> None:
        self.plan = plan
        self.events = EventQueue()
        self.servers = [
            SimulatedServer(
                f"engine-{index}", plan.slots_per_server, speed, self.events
            )
            for index, speed in enumerate(plan.server_speeds)
        ]
        self.meter = FairnessMeter(
            self.events,
            self.servers,
            {flow.workspace: flow.weight for flow in flows},
            plan.largest_cost,
            plan.largest_cost / min(plan.server_speeds),
        )
        self._source = FlowSource(self.events, flows, plan.seed, self)

    def run(self, seconds: float) -> None:
        """Advance the virtual time by a number of seconds."""
        self.events.run_until(self.events.now + seconds)

    def is_up(self, router_index: int) -> bool:  # noqa: ARG002
        """Return ``True``: the routers of a baseline never fail."""
        return True

    def submit(
        self, router_index: int, request: Request, on_dispatched: Callable[[], None]
    ) -> None:
        """Accept a request at a router."""
        raise NotImplementedError


class StaticSplit(Baseline):
    """
    Splits the slots among the routers once and for all.

    Each router serves its own queue first in, first out, on its own slots.
    """

    def __init__(self, plan: FleetPlan, flows: list[Flow]) -> None:
        self._queues: list[deque[WaitingRequest]] = [
            deque() for _ in range(plan.router_count)
        ]
        super().__init__(plan, flows)
        slots = [server for server in self.servers for _ in range(server.slots)]
        self._free_slots = [
            slots[index :: plan.router_count] for index in range(plan.router_count)
        ]

    def submit(
        self, router_index: int, request: Request, on_dispatched: Callable[[], None]
    ) -> None:
        """Add a request to a router's queue."""
        self.meter.record_arrival(request)
        self._queues[router_index].append(WaitingRequest(request, on_dispatched))
        self._start(router_index)

    def _start(self, router_index: int) -> None:
        while self._queues[router_index] and self._free_slots[router_index]:
            request, on_dispatched = self._queues[router_index].popleft()
            server = self._free_slots[router_index].pop()
            self.meter.record_dispatch(request)
            finish = functools.partial(self._finish, router_index, server, request)
            server.admit(request, finish)
            on_dispatched()

    def _finish(
        self, router_index: int, server: SimulatedServer, request: Request
    ) -> None:
        self.meter.record_finish(request)
        self._free_slots[router_index].append(server)
        self._start(router_index)


class LeastLoaded(Baseline):
    """
    Sends each request at once to the server with the least known load.

    A router knows the loads of the last report and the requests that it
    has sent since then.
    """

    def __init__(self, plan: FleetPlan, flows: list[Flow]) -> None:
        self._known_loads = [
            [0.0] * len(plan.server_speeds) for _ in range(plan.router_count)
        ]
        super().__init__(plan, flows)
        self.events.call_every(LOAD_REPORT_PERIOD_SECONDS, self._read_loads)

    def submit(
        self, router_index: int, request: Request, on_dispatched: Callable[[], None]
    ) -> None:
        """Send a request to the server with the least known load."""
        self.meter.record_arrival(request)
        loads = self._known_loads[router_index]
        choice = min(range(len(loads)), key=lambda number: loads[number])
        loads[choice] += 1.0 / self.servers[choice].slots
        request.on_started = functools.partial(
            self._handle_start, request, on_dispatched
        )
        self.servers[choice].admit(request, functools.partial(self._finish, request))

    def _handle_start(
        self, request: Request, on_dispatched: Callable[[], None]
    ) -> None:
        self.meter.record_dispatch(request)
        self.events.call_after(0.0, on_dispatched)

    def _finish(self, request: Request) -> None:
        self.meter.record_finish(request)

    def _read_loads(self) -> None:
        loads = [server.load / server.slots for server in self.servers]
        self._known_loads = [list(loads) for _ in self._known_loads]
