"""The requests that workspaces send and the servers that run them."""

from __future__ import annotations

import functools
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from benchmarks.event_queue import EventQueue

PARETO_EXPONENT = 1.1
"""Shape exponent of the bounded Pareto distribution of costs."""


class Flow(NamedTuple):
    """
    The requests that one workspace sends during a run.

    :ivar workspace: name of the workspace.
    :ivar router_indices: indices of the routers at which requests arrive.
    :ivar queue_depth: number of requests that wait at each of these routers
        at all times; with 0, requests arrive at random.
    :ivar rate: mean requests per second at each of these routers, if
        ``queue_depth`` is 0.
    :ivar start: seconds from the start of the run to the first requests.
    :ivar stop: seconds from the start of the run to the last requests.
    :ivar hint_ratio: ratio of a request's cost hint to its true cost.
    :ivar smallest_cost: smallest cost of a request, in units.
    :ivar largest_cost: largest cost of a request, in units.
    :ivar weight: weight of the workspace in the fair shares.
    """

    workspace: str
    router_indices: tuple[int, ...]
    queue_depth: int = 0
    rate: float = 0.0
    start: float = 0.0
    stop: float = 1e9
    hint_ratio: float = 1.0
    smallest_cost: float = 20.0
    largest_cost: float = 1_000.0
    weight: float = 1.0

    def draw_cost(self, rng: random.Random) -> float:
        """Return a cost from a bounded Pareto distribution."""
        if self.smallest_cost >= self.largest_cost:
            return self.largest_cost
        ratio = (self.smallest_cost / self.largest_cost) ** PARETO_EXPONENT
        part = 1.0 - rng.random() * (1.0 - ratio)
        return float(self.smallest_cost * part ** (-1.0 / PARETO_EXPONENT))


class Request:
    """
    A request, waiting, running or finished.

    :param workspace: workspace that sent the request.
    :param cost: true cost, in units.
    :param cost_hint: cost that the sender states in advance, in units.
    :param arrived_at: virtual time of its arrival, in seconds.
    """

    def __init__(
        self, workspace: str, cost: float, cost_hint: float, arrived_at: float
    ) -> None:
        self.workspace = workspace
        self.cost = cost
        self.cost_hint = cost_hint
        self.arrived_at = arrived_at
        self.started_at: float | None = None
        self.speed = 0.0
        self.run_count = 0
        self.on_started: Callable[[], None] | None = None

    def compute_service(self, now: float) -> float:
        """Return the service that the request has received, in units."""
        if self.started_at is None:
            return 0.0
        return min((now - self.started_at) * self.speed, self.cost)


class SimulatedServer:
    """
    A backend server that queues the requests which exceed its slots.

    :param name: name of the server.
    :param slots: number of requests that run at the same time.
    :param speed: units per second that each running request receives.
    :param events: the virtual clock.
    """

    def __init__(self, name: str, slots: int, speed: float, events: EventQueue) -> None:
        self.name = name
        self.slots = slots
        self.speed = speed
        self._events = events
        self.running: set[Request] = set()
        self.on_change: Callable[[], None] = lambda: None
        self._queue: deque[tuple[Request, Callable[[], None]]] = deque()
        self.max_load = 0

    @property
    def load(self) -> int:
        """Number of requests that run or wait at the server."""
        return len(self.running) + len(self._queue)

    def admit(self, request: Request, on_finished: Callable[[], None]) -> None:
        """Run a request as soon as a slot is free; call back when it ends."""
        request.run_count += 1
        self._queue.append((request, on_finished))
        self.max_load = max(self.max_load, self.load)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and len(self.running) < self.slots:
            self.on_change()
            request, on_finished = self._queue.popleft()
            request.started_at, request.speed = self._events.now, self.speed
            self.running.add(request)
            if request.on_started is not None:
                request.on_started()
            end = functools.partial(self._finish, request, on_finished)
            self._events.call_after(request.cost / self.speed, end)

    def cancel(self, request: Request) -> None:
        """Stop a running request, as if its connection were closed."""
        if request in self.running:
            self.on_change()
            self.running.discard(request)
            self._start_queued()

    def _finish(self, request: Request, on_finished: Callable[[], None]) -> None:
        if request not in self.running:
            return
        self.on_change()
        self.running.discard(request)
        on_finished()
        self._start_queued()
