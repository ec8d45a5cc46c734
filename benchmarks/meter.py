"""Fairness gap, utilisation and waiting times of a run."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from benchmarks.events import EventQueue
    from benchmarks.workload import Request, Server

SAMPLE = 0.25
"""Seconds between two samples of the service received."""


class Figures(NamedTuple):
    """
    What a run came to.

    :ivar gap: largest difference of weighted service between two workspaces
        over any interval in which both were backlogged, from one
        largest-request time after both became so, in largest requests.
    :ivar utilisation: busy slot time per slot time while work waited.
    :ivar control: bytes per second that the busiest router sent.
    :ivar messages: messages per second and router.
    :ivar finished: requests that ended.
    :ivar late: 99th percentile of the waiting time of the smallest flow,
        seconds.
    :ivar twice: requests that ran more than once.
    """

    gap: float
    utilisation: float
    control: float
    messages: float
    finished: int
    late: float
    twice: int


class Pair:
    """The difference of two workspaces in one episode of shared backlog."""

    def __init__(self, since: float) -> None:
        self.since = since
        self.low = float("inf")
        self.high = float("-inf")


class Meter:
    """
    Watches waiting requests and running ones.

    :param events: the clock.
    :param servers: the backend servers.
    :param weights: by workspace.
    :param unit: the largest single request, in units.
    :param settling: one largest-request time, seconds.
    """

    def __init__(
        self,
        events: EventQueue,
        servers: list[Server],
        weights: dict[str, float],
        unit: float,
        settling: float,
    ) -> None:
        self._events = events
        self._servers = servers
        self._weights = weights
        self._unit = unit
        self._settling = settling
        self._waiting: dict[str, int] = dict.fromkeys(weights, 0)
        self._idle_at: dict[str, float] = dict.fromkeys(weights, -1.0)
        self._finished: dict[str, float] = dict.fromkeys(weights, 0.0)
        self._pairs: dict[tuple[str, str], Pair] = {}
        self._last = events.now
        self._busy_time = 0.0
        self._slot_time = 0.0
        self.gap = 0.0
        self.count = 0
        self.waits: dict[str, list[float]] = {name: [] for name in weights}
        for server in servers:
            server.note_change = self.integrate
        events.repeat(SAMPLE, self._sample)

    @property
    def utilisation(self) -> float:
        """Busy slot time per slot time while work waited."""
        return self._busy_time / self._slot_time if self._slot_time else 1.0

    def join(self, request: Request) -> None:
        """Note that a request waits."""
        self.integrate()
        self._waiting[request.workspace] += 1

    def bind(self, request: Request) -> None:
        """Note that a request waits no longer."""
        self.integrate()
        name = request.workspace
        self._waiting[name] -= 1
        self.waits[name].append(self._events.now - request.since)
        if self._waiting[name] == 0:
            self._idle_at[name] = self._events.now

    def drop(self, request: Request) -> None:
        """Note that a request that waited is gone."""
        self.integrate()
        self._waiting[request.workspace] -= 1
        if self._waiting[request.workspace] == 0:
            self._idle_at[request.workspace] = self._events.now

    def finish(self, request: Request) -> None:
        """Note that a request has ended, whole or not."""
        self._finished[request.workspace] += request.measure(self._events.now)
        self.count += 1

    def reset(self) -> None:
        """Begin the measurement of gaps and utilisation anew."""
        self.integrate()
        self._pairs.clear()
        self.gap = self._busy_time = self._slot_time = 0.0

    def integrate(self) -> None:
        """Add up slot time; to be called before anything changes."""
        elapsed, self._last = self._events.now - self._last, self._events.now
        if elapsed > 0.0 and any(self._waiting.values()):
            self._busy_time += elapsed * sum(len(s.running) for s in self._servers)
            self._slot_time += elapsed * sum(s.slots for s in self._servers)

    def measure_service(self) -> dict[str, float]:
        """Return the weighted service received, in largest requests."""
        totals = dict(self._finished)
        for server in self._servers:
            for request in server.running:
                totals[request.workspace] += request.measure(self._events.now)
        return {
            name: total / self._weights[name] / self._unit
            for name, total in totals.items()
        }

    def _sample(self) -> None:
        service = self.measure_service()
        now = self._events.now
        for pair in itertools.combinations(sorted(service), 2):
            if not all(self._waiting[name] for name in pair):
                self._pairs.pop(pair, None)
                continue
            episode = self._pairs.get(pair)
            idle_at = max(self._idle_at[name] for name in pair)
            if episode is None or episode.since < idle_at:
                episode = self._pairs[pair] = Pair(now)
            if now - episode.since < self._settling:
                continue
            difference = service[pair[0]] - service[pair[1]]
            episode.low = min(episode.low, difference)
            episode.high = max(episode.high, difference)
            self.gap = max(self.gap, episode.high - episode.low)
