"""Runs a load plan; each request starts on time, as the load is open-loop."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp

from sycamorehaven.load.arrivals import draw_arrivals
from sycamorehaven.load.client import LoadClient
from sycamorehaven.load.summary import LoadSummary

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.load.arrivals import Arrival
    from sycamorehaven.load.plan import LoadPlan

MAX_REQUESTS_IN_FLIGHT = 5_000
"""Maximum number of requests in flight; further requests are not sent, but
counted as not sent."""


class LoadDriver:
    """
    Runs a load plan once.

    :param plan: the load plan.
    :param on_progress: called with the number of finished requests whenever
        one finishes.
    """

    def __init__(
        self, plan: LoadPlan, on_progress: Callable[[int], None] = lambda _: None
    ) -> None:
        self._plan = plan
        self._on_progress = on_progress
        self._summary = LoadSummary(plan)
        self._in_flight: set[asyncio.Task[None]] = set()

    @property
    def summary(self) -> LoadSummary:
        """The results so far."""
        return self._summary

    async def run(self) -> LoadSummary:
        """
        Send all requests and wait until each is answered or times out.

        :return: the results.
        """
        started = time.monotonic()
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
            client = LoadClient(http, self._plan.timeout)
            for arrival in draw_arrivals(self._plan):
                due = started + arrival.start_offset
                await asyncio.sleep(max(due - time.monotonic(), 0.0))
                self._start_request(client, arrival, due)
            if self._in_flight:
                await asyncio.wait(self._in_flight)
        self._summary.elapsed = time.monotonic() - started
        return self._summary

    def _start_request(self, client: LoadClient, arrival: Arrival, due: float) -> None:
        if len(self._in_flight) >= MAX_REQUESTS_IN_FLIGHT:
            self._summary.not_sent += 1
            return
        task = asyncio.create_task(self._send_request(client, arrival, due))
        self._in_flight.add(task)
        task.add_done_callback(self._in_flight.discard)

    async def _send_request(
        self, client: LoadClient, arrival: Arrival, due: float
    ) -> None:
        workload = self._plan.workloads[arrival.workload_index]
        self._summary.record(await client.send(arrival, workload, due))
        self._on_progress(self._summary.sent)
