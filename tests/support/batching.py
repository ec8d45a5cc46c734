"""A batching backend server on a given clock."""

from __future__ import annotations

import random
from collections import deque

from sycamorehaven.decisions.foreign_load import ForeignLoad
from sycamorehaven.decisions.slot_limits import FinishedRun, SlotLimit

STEP = 0.02
"""Seconds of one step."""


class BatchingServer:
    """
    Serves all requests at once; past its knee each gets slower.

    :param unit_time: seconds for a unit of cost up to the knee.
    :param knee: requests up to which more of them do not slow it.
    :param lag: seconds by which its report is late.
    :param seed: of the costs.
    """

    def __init__(self, unit_time: float, knee: int, lag: float, seed: int) -> None:
        self.unit_time = unit_time
        self.knee = knee
        self._random = random.Random(seed)
        self._reports: deque[int] = deque([0] * max(round(lag / STEP), 1))
        self.now = 1000.0
        self.running: list[list[float]] = []
        self.work = 0.0

    @property
    def capacity(self) -> float:
        """The most units that it can do in a second."""
        return self.knee / self.unit_time

    @property
    def reported(self) -> int:
        """Its late report."""
        return self._reports[0]

    def admit(self, owner: int = 0) -> None:
        """Take a request of a random cost with a heavy tail."""
        cost = min(self._random.lognormvariate(3.5, 1.0), 400.0)
        self.running.append([cost, cost, self.now, owner])

    def count(self, owner: int = 0) -> int:
        """Return how many requests of an owner run."""
        return sum(1 for run in self.running if run[3] == owner)

    def advance(self) -> list[tuple[int, FinishedRun]]:
        """Work for one step; return what has ended, with its owner."""
        slow = max(1.0, len(self.running) / self.knee)
        done = STEP / (self.unit_time * slow)
        self.now += STEP
        for run in self.running:
            self.work += min(done, run[0])
            run[0] -= done
        ended = [run for run in self.running if run[0] <= 0.0]
        self.running = [run for run in self.running if run[0] > 0.0]
        self._reports.popleft()
        self._reports.append(len(self.running))
        return [(int(run[3]), FinishedRun(run[2], self.now, run[1])) for run in ended]


class Dispatcher:
    """
    A scheduler that always has work for one server.

    :param server: the server.
    :param limits: a limit for each of the schedulers that use it.
    """

    def __init__(self, server: BatchingServer, limits: list[SlotLimit]) -> None:
        self._server = server
        self._limits = limits
        self.foreign = [ForeignLoad() for _ in limits]
        self.history: list[int] = []
        self.most_running = 0

    def run(self, seconds: float) -> float:
        """Keep the server busy; return the part of its capacity in use."""
        server = self._server
        before = server.work
        for _ in range(round(seconds / STEP)):
            for owner, limit in enumerate(self._limits):
                self._fill(owner, limit)
            for owner, run in server.advance():
                self._limits[owner].record_success(run)
            self.most_running = max(self.most_running, len(server.running))
            self.history.append(self._limits[0].limit)
        return (server.work - before) / (server.capacity * seconds)

    def _fill(self, owner: int, limit: SlotLimit) -> None:
        server, foreign = self._server, self.foreign[owner]
        busy = server.count(owner)
        foreign.record_busy(busy, server.now)
        foreign.apply_report(server.reported, limit.limit, server.now)
        available = limit.limit - foreign.slots
        if busy >= available:
            limit.record_saturation()
        for _ in range(available - busy):
            server.admit(owner)
