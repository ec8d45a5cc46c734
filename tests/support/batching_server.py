"""Simulate a batching backend server and the scheduler that keeps it busy."""

from __future__ import annotations

import random
from collections import deque

from sycamorehaven.decisions.foreign_load import ForeignLoad
from sycamorehaven.decisions.slot_limits import FinishedRun, SlotLimit

STEP_SECONDS = 0.02
"""Seconds of simulated time that one step advances."""


class BatchingServer:
    """
    A server that runs all its requests at once.

    Beyond ``saturation_requests`` concurrent requests, each of them becomes
    slower in proportion.

    :param seconds_per_unit: seconds that a unit of cost takes while the server
        is not saturated.
    :param saturation_requests: the largest number of concurrent requests that
        all run at full speed.
    :param report_delay: seconds by which the reported load lags behind.
    :param seed: seeds the random costs of the requests.
    """

    def __init__(
        self,
        seconds_per_unit: float,
        saturation_requests: int,
        report_delay: float,
        seed: int,
    ) -> None:
        self.seconds_per_unit = seconds_per_unit
        self.saturation_requests = saturation_requests
        self._random = random.Random(seed)
        self._reports: deque[int] = deque(
            [0] * max(round(report_delay / STEP_SECONDS), 1)
        )
        self.now = 1000.0
        self.running_requests: list[list[float]] = []
        self.completed_units = 0.0

    @property
    def capacity(self) -> float:
        """Units of cost that the server can complete in a second."""
        return self.saturation_requests / self.seconds_per_unit

    @property
    def reported_requests(self) -> int:
        """Number of running requests, as reported ``report_delay`` ago."""
        return self._reports[0]

    def start_request(self, owner: int = 0) -> None:
        """Start a request of an owner, its cost drawn from a heavy tail."""
        cost = min(self._random.lognormvariate(3.5, 1.0), 400.0)
        self.running_requests.append([cost, cost, self.now, owner])

    def count_running(self, owner: int = 0) -> int:
        """Return the number of running requests of an owner."""
        return sum(1 for run in self.running_requests if run[3] == owner)

    def advance(self) -> list[tuple[int, FinishedRun]]:
        """Advance by one step; return the runs that ended and their owners."""
        slow = max(1.0, len(self.running_requests) / self.saturation_requests)
        done = STEP_SECONDS / (self.seconds_per_unit * slow)
        self.now += STEP_SECONDS
        for run in self.running_requests:
            self.completed_units += min(done, run[0])
            run[0] -= done
        ended = [run for run in self.running_requests if run[0] <= 0.0]
        self.running_requests = [run for run in self.running_requests if run[0] > 0.0]
        self._reports.popleft()
        self._reports.append(len(self.running_requests))
        return [(int(run[3]), FinishedRun(run[2], self.now, run[1])) for run in ended]


class BackloggedScheduler:
    """
    Schedulers that always have requests waiting for one server.

    :param server: the server.
    :param limits: the slot limit of each scheduler that uses the server.
    """

    def __init__(self, server: BatchingServer, limits: list[SlotLimit]) -> None:
        self._server = server
        self._limits = limits
        self.foreign_loads = [ForeignLoad() for _ in limits]
        self.limit_history: list[int] = []
        self.max_running_requests = 0

    def run(self, seconds: float) -> float:
        """Keep the server busy; return the used ratio of its capacity."""
        ### tests/support/booking_client.py
        server = self._server
        before = server.completed_units
        for _ in range(round(seconds / STEP_SECONDS)):
            for owner, limit in enumerate(self._limits):
                self._fill_slots(owner, limit)
            for owner, run in server.advance():
                self._limits[owner].record_success(run)
            self.max_running_requests = max(
                self.max_running_requests, len(server.running_requests)
            )
            self.limit_history.append(self._limits[0].limit)
        return (server.completed_units - before) / (server.capacity * seconds)

    def _fill_slots(self, owner: int, limit: SlotLimit) -> None:
        server, foreign = self._server, self.foreign_loads[owner]
        busy = server.count_running(owner)
        foreign.record_busy(busy, server.now)
        foreign.apply_load_report(server.reported_requests, limit.limit, server.now)
        available = limit.limit - foreign.slots
        if busy >= available:
            limit.record_saturation()
        for _ in range(available - busy):
            server.start_request(owner)
