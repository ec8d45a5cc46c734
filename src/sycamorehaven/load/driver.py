"""Runs a load plan: each request starts at its time, whatever the answers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp

from sycamorehaven.load.arrivals import draw_arrivals
from sycamorehaven.load.client import LoadClient
from sycamorehaven.load.summary import Summary

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.load.arrivals import Arrival
    from sycamorehaven.load.plan import LoadPlan

MOST_IN_FLIGHT = 5_000
"""Requests in flight past which further ones are counted as not sent."""


class LoadDriver:
    """
    Runs a plan once.

    :param plan: what to send.
    :param report: called with the count of finished requests.
    """

    def __init__(
        self, plan: LoadPlan, report: Callable[[int], None] = lambda _: None
    ) -> None:
        self._plan = plan
        self._report = report
        self._summary = Summary(plan)
        self._running: set[asyncio.Task[None]] = set()

    @property
    def summary(self) -> Summary:
        """The figures so far."""
        return self._summary

    async def run(self) -> Summary:
        """Send everything and wait for the answers; bounded by the timeout."""
        started = time.monotonic()
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
            client = LoadClient(http, self._plan.timeout)
            for arrival in draw_arrivals(self._plan):
                due = started + arrival.at
                await asyncio.sleep(max(due - time.monotonic(), 0.0))
                self._start(client, arrival, due)
            if self._running:
                await asyncio.wait(self._running)
        self._summary.elapsed = time.monotonic() - started
        return self._summary

    def _start(self, client: LoadClient, arrival: Arrival, due: float) -> None:
        if len(self._running) >= MOST_IN_FLIGHT:
            self._summary.not_sent += 1
            return
        task = asyncio.create_task(self._send(client, arrival, due))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _send(self, client: LoadClient, arrival: Arrival, due: float) -> None:
        workload = self._plan.workloads[arrival.workload]
        self._summary.add(await client.send(arrival, workload, due))
        self._report(self._summary.sent)
