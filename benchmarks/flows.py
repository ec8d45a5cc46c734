"""Requests that come in by the flows of a run."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

from benchmarks.workload import Flow, Request

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from benchmarks.events import EventQueue

    class Entry(Protocol):
        """Takes requests at routers."""

        def is_up(self, index: int) -> bool:
            """Return whether a router takes requests."""
            ...

        def submit(
            self, index: int, request: Request, bound: Callable[[], None]
        ) -> None:
            """Take a request; ``bound`` is called when it waits no longer."""
            ...


class FlowSource:
    """
    Draws requests and hands them to routers.

    :param events: the clock.
    :param flows: what workspaces ask for.
    :param seed: of arrivals and costs.
    :param entry: takes the requests.
    """

    def __init__(
        self, events: EventQueue, flows: list[Flow], seed: int, entry: Entry
    ) -> None:
        self._events = events
        self._flows = flows
        self._start = events.now
        self._random = random.Random(seed)
        self._entry = entry
        self.requests: list[Request] = []
        for flow in flows:
            for index in flow.routers:
                begin = functools.partial(self.begin, flow, index)
                events.call_after(flow.start, begin)

    def begin(self, flow: Flow, index: int) -> None:
        """Begin a flow at one router."""
        for _ in range(flow.depth):
            self._push(flow, index)
        if not flow.depth:
            wait = self._random.expovariate(flow.rate)
            arrive = functools.partial(self._arrive, flow, index)
            self._events.call_after(wait, arrive)

    def resume(self, index: int) -> None:
        """Fill the queues of a router that was restarted."""
        for flow in self._flows:
            if flow.depth and index in flow.routers:
                self.begin(flow, index)

    def _arrive(self, flow: Flow, index: int) -> None:
        self._push(flow, index)
        wait = self._random.expovariate(flow.rate)
        arrive = functools.partial(self._arrive, flow, index)
        self._events.call_after(wait, arrive)

    def _push(self, flow: Flow, index: int) -> None:
        now = self._events.now
        if now - self._start > flow.stop or not self._entry.is_up(index):
            return
        cost = flow.draw_cost(self._random)
        request = Request(flow.workspace, cost, cost * flow.hint, now)
        self.requests.append(request)
        follow = functools.partial(self._push, flow, index)
        self._entry.submit(index, request, follow if flow.depth else ignore)


def ignore() -> None:
    """Do nothing."""
