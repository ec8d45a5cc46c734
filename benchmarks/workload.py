"""What workspaces ask for, and the backend servers that run it."""

from __future__ import annotations

import functools
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from benchmarks.event_queue import EventQueue

PARETO_EXPONENT = 1.1
"""Exponent of the bounded Pareto distribution of costs."""


class Flow(NamedTuple):
    """
    Requests of one workspace.

    :ivar workspace: its name.
    :ivar routers: indices of the routers at which they come in.
    :ivar depth: how many wait at each of them at all times, if not 0.
    :ivar rate: requests per second at each of them, if ``depth`` is 0.
    :ivar start: when they begin, seconds.
    :ivar stop: when they end, seconds.
    :ivar hint: the hint as a multiple of the true cost.
    :ivar smallest: smallest cost, in units.
    :ivar largest: largest cost, in units.
    :ivar weight: share of the workspace.
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
    One request.

    :param workspace: whose.
    :param cost: true cost, in units.
    :param hint: what is said of it beforehand.
    :param since: when it came in, seconds.
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
        """Return the service it has received, in units."""
        if self.started_at is None:
            return 0.0
        return min((now - self.started_at) * self.speed, self.cost)


class SimulatedServer:
    """
    A backend server that runs so many requests and queues the others.

    :param name: its name.
    :param slots: requests that run at once.
    :param speed: units per second of one request.
    :param events: the clock.
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
        """Requests that run or wait at the server."""
        return len(self.running) + len(self._queue)

    def admit(self, request: Request, on_finished: Callable[[], None]) -> None:
        """Run a request as soon as a slot is free."""
        request.run_count += 1
        self._queue.append((request, on_finished))
        self.max_load = max(self.max_load, self.load)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and len(self.running) < self.slots:
            self.on_change()
            request, finish = self._queue.popleft()
            request.started_at, request.speed = self._events.now, self.speed
            self.running.add(request)
            if request.on_started is not None:
                request.on_started()
            end = functools.partial(self._finish, request, finish)
            self._events.call_after(request.cost / self.speed, end)

    def cancel(self, request: Request) -> None:
        """Stop a request whose connection is broken."""
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
