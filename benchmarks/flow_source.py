"""Arrival of requests at the simulated routers."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

from benchmarks.workload import Flow, Request

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from benchmarks.event_queue import EventQueue

    class RequestSink(Protocol):
        """Accepts requests on behalf of the routers."""

        def is_up(self, router_index: int) -> bool:
            """Return whether a router accepts requests."""
            ...

        def submit(
            self, router_index: int, request: Request, on_dispatched: Callable[[], None]
        ) -> None:
            """Accept a request and call back when it leaves the queue."""
            ...


class FlowSource:
    """
    Generates the requests of the flows and submits them to routers.

    :param events: the virtual clock.
    :param flows: the requests that the workspaces send.
    :param seed: seed of the random arrival times and costs.
    :param sink: accepts the requests.
    """

    def __init__(
        self, events: EventQueue, flows: list[Flow], seed: int, sink: RequestSink
    ) -> None:
        self._events = events
        self._flows = flows
        self._started_at = events.now
        self._random = random.Random(seed)
        self._sink = sink
        self.requests: list[Request] = []
        for flow in flows:
            for router_index in flow.router_indices:
                begin = functools.partial(self.start_flow, flow, router_index)
                events.call_after(flow.start, begin)

    def start_flow(self, flow: Flow, router_index: int) -> None:
        """Start a flow at one router."""
        for _ in range(flow.queue_depth):
            self._submit_request(flow, router_index)
        if not flow.queue_depth:
            delay = self._random.expovariate(flow.rate)
            arrive = functools.partial(self._handle_arrival, flow, router_index)
            self._events.call_after(delay, arrive)

    def refill_queues(self, router_index: int) -> None:
        """Submit the requests that keep a restarted router's queues full."""
        for flow in self._flows:
            if flow.queue_depth and router_index in flow.router_indices:
                self.start_flow(flow, router_index)

    def _handle_arrival(self, flow: Flow, router_index: int) -> None:
        self._submit_request(flow, router_index)
        delay = self._random.expovariate(flow.rate)
        arrive = functools.partial(self._handle_arrival, flow, router_index)
        self._events.call_after(delay, arrive)

    def _submit_request(self, flow: Flow, router_index: int) -> None:
        now = self._events.now
        if now - self._started_at > flow.stop or not self._sink.is_up(router_index):
            return
        cost = flow.draw_cost(self._random)
        request = Request(flow.workspace, cost, cost * flow.hint_ratio, now)
        self.requests.append(request)
        submit_next = functools.partial(self._submit_request, flow, router_index)
        self._sink.submit(
            router_index, request, submit_next if flow.queue_depth else do_nothing
        )


def do_nothing() -> None:
    """Do nothing."""
