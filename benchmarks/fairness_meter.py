"""Measurement of fairness, utilisation and waiting times during a run."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from benchmarks.event_queue import EventQueue
    from benchmarks.workload import Request, SimulatedServer

SAMPLE_PERIOD_SECONDS = 0.25
"""Interval between two samples of the service received."""


class RunFigures(NamedTuple):
    """
    Measured figures of a run.

    :ivar gap: fairness gap: the largest difference between the weighted
        service that two workspaces received over any interval in which both
        were backlogged, in units of the largest request. An interval counts
        from one largest-request time after both became backlogged.
    :ivar utilisation: ratio of slot time that was busy, while requests waited.
    :ivar control_bytes_per_second: bytes per second sent by the router that
        sent most.
    :ivar messages_per_second: mean messages per second sent by one router.
    :ivar finished_requests: number of requests that ended.
    :ivar p99_wait_seconds: 99th percentile of the waiting time of the last
        flow's workspace.
    :ivar repeated_requests: number of requests that ran more than once.
    """

    gap: float
    utilisation: float
    control_bytes_per_second: float
    messages_per_second: float
    finished_requests: int
    p99_wait_seconds: float
    repeated_requests: int


class BacklogEpisode:
    """
    A period in which two workspaces are both backlogged.

    It keeps the lowest and highest difference of their weighted service.

    :param started_at: virtual time at which the period began, in seconds.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.lowest = float("inf")
        self.highest = float("-inf")


class FairnessMeter:
    """
    Observes the waiting and the running requests of a run.

    :param events: the virtual clock.
    :param servers: the backend servers.
    :param weights: weight of each workspace.
    :param largest_cost: cost of the largest single request, in units.
    :param settling_seconds: time that the largest request takes on the
        slowest server; shorter common backlogs don't count for the gap.
    """

    def __init__(
        self,
        events: EventQueue,
        servers: list[SimulatedServer],
        weights: dict[str, float],
        largest_cost: float,
        settling_seconds: float,
    ) -> None:
        self._events = events
        self._servers = servers
        self._weights = weights
        self._largest_cost = largest_cost
        self._settling_seconds = settling_seconds
        self._waiting: dict[str, int] = dict.fromkeys(weights, 0)
        self._idle_since: dict[str, float] = dict.fromkeys(weights, -1.0)
        self._finished_service: dict[str, float] = dict.fromkeys(weights, 0.0)
        self._episodes: dict[tuple[str, str], BacklogEpisode] = {}
        self._integrated_until = events.now
        self._busy_time = 0.0
        self._slot_time = 0.0
        self.gap = 0.0
        self.finished_count = 0
        self.wait_seconds: dict[str, list[float]] = {name: [] for name in weights}
        for server in servers:
            server.on_change = self.integrate
        events.call_every(SAMPLE_PERIOD_SECONDS, self._sample_gaps)

    @property
    def utilisation(self) -> float:
        """Ratio of slot time that was busy, while requests waited."""
        return self._busy_time / self._slot_time if self._slot_time else 1.0

    def record_arrival(self, request: Request) -> None:
        """Record that a request started to wait."""
        self.integrate()
        self._waiting[request.workspace] += 1

    def record_dispatch(self, request: Request) -> None:
        """Record that a waiting request was sent to a server."""
        self.integrate()
        name = request.workspace
        self._waiting[name] -= 1
        self.wait_seconds[name].append(self._events.now - request.arrived_at)
        if self._waiting[name] == 0:
            self._idle_since[name] = self._events.now

    def record_drop(self, request: Request) -> None:
        """Record that a waiting request was lost."""
        self.integrate()
        self._waiting[request.workspace] -= 1
        if self._waiting[request.workspace] == 0:
            self._idle_since[request.workspace] = self._events.now

    def record_finish(self, request: Request) -> None:
        """Record that a running request ended, completely or not."""
        self._finished_service[request.workspace] += request.compute_service(
            self._events.now
        )
        self.finished_count += 1

    def reset(self) -> None:
        """Restart the measurement of the gap and the utilisation."""
        self.integrate()
        self._episodes.clear()
        self.gap = self._busy_time = self._slot_time = 0.0

    def integrate(self) -> None:
        """Add the slot time since the last call; needed before each change."""
        elapsed, self._integrated_until = (
            self._events.now - self._integrated_until,
            self._events.now,
        )
        if elapsed > 0.0 and any(self._waiting.values()):
            self._busy_time += elapsed * sum(len(s.running) for s in self._servers)
            self._slot_time += elapsed * sum(s.slots for s in self._servers)

    def compute_weighted_service(self) -> dict[str, float]:
        """Return each workspace's weighted service, in largest requests."""
        totals = dict(self._finished_service)
        for server in self._servers:
            for request in server.running:
                totals[request.workspace] += request.compute_service(self._events.now)
        return {
            name: total / self._weights[name] / self._largest_cost
            for name, total in totals.items()
        }

    def _sample_gaps(self) -> None:
        service = self.compute_weighted_service()
        now = self._events.now
        for pair in itertools.combinations(sorted(service), 2):
            if not all(self._waiting[name] for name in pair):
                self._episodes.pop(pair, None)
                continue
            episode = self._episodes.get(pair)
            idle_since = max(self._idle_since[name] for name in pair)
            if episode is None or episode.started_at < idle_since:
                episode = self._episodes[pair] = BacklogEpisode(now)
            if now - episode.started_at < self._settling_seconds:
                continue
            difference = service[pair[0]] - service[pair[1]]
            episode.lowest = min(episode.lowest, difference)
            episode.highest = max(episode.highest, difference)
            self.gap = max(self.gap, episode.highest - episode.lowest)
