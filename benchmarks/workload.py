"""What workspaces ask for, and the backend servers that run it."""

from __future__ import annotations

import functools
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from benchmarks.events import EventQueue

TAIL = 1.1
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
    routers: tuple[int, ...]
    depth: int = 0
    rate: float = 0.0
    start: float = 0.0
    stop: float = 1e9
    hint: float = 1.0
    smallest: float = 20.0
    largest: float = 1_000.0
    weight: float = 1.0

    def draw_cost(self, source: random.Random) -> float:
        """Return a cost from a bounded Pareto distribution."""
        if self.smallest >= self.largest:
            return self.largest
        ratio = (self.smallest / self.largest) ** TAIL
        part = 1.0 - source.random() * (1.0 - ratio)
        return float(self.smallest * part ** (-1.0 / TAIL))


class Request:
    """
    One request.

    :param workspace: whose.
    :param cost: true cost, in units.
    :param hint: what is said of it beforehand.
    :param since: when it came in, seconds.
    """

    def __init__(self, workspace: str, cost: float, hint: float, since: float) -> None:
        self.workspace = workspace
        self.cost = cost
        self.hint = hint
        self.since = since
        self.started_at: float | None = None
        self.speed = 0.0
        self.runs = 0
        self.started: Callable[[], None] | None = None

    def measure(self, now: float) -> float:
        """Return the service it has received, in units."""
        if self.started_at is None:
            return 0.0
        return min((now - self.started_at) * self.speed, self.cost)


class Server:
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
        self.note_change: Callable[[], None] = lambda: None
        self._queue: deque[tuple[Request, Callable[[], None]]] = deque()
        self.most = 0

    @property
    def load(self) -> int:
        """Requests that run or wait at the server."""
        return len(self.running) + len(self._queue)

    def admit(self, request: Request, finish: Callable[[], None]) -> None:
        """Run a request as soon as a slot is free."""
        request.runs += 1
        self._queue.append((request, finish))
        self.most = max(self.most, self.load)
        self._start()

    def _start(self) -> None:
        while self._queue and len(self.running) < self.slots:
            self.note_change()
            request, finish = self._queue.popleft()
            request.started_at, request.speed = self._events.now, self.speed
            self.running.add(request)
            if request.started is not None:
                request.started()
            end = functools.partial(self._end, request, finish)
            self._events.call_after(request.cost / self.speed, end)

    def cancel(self, request: Request) -> None:
        """Stop a request whose connection is broken."""
        if request in self.running:
            self.note_change()
            self.running.discard(request)
            self._start()

    def _end(self, request: Request, finish: Callable[[], None]) -> None:
        if request not in self.running:
            return
        self.note_change()
        self.running.discard(request)
        finish()
        self._start()
