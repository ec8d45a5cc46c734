"""Limits of all clients of one process, and the check of their progress."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from typing import TYPE_CHECKING, Protocol

from mode import Service

from sycamorehaven.decisions.client_limits.byte_budget import ByteBudget, choose_budget
from sycamorehaven.exceptions.refusals import BodyTimeout, MemoryShort
from sycamorehaven.transport.client_limits.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.transport.client_limits.cuttable_protocol import CuttableProtocol
    from sycamorehaven.transport.client_limits.pool import ConnectionLimits, CutReason

CHECK_SECONDS = 1.0
"""Interval of the checks of progress, and of reports."""
MEMORY_RETRY_SECONDS = 1.0
"""``Retry-After`` of requests for which there is no memory; bodies without
progress have made way by then."""


class CutReporter(Protocol):
    """Reports what the guard did."""

    def report_cuts(self, reason: CutReason, count: int) -> None:
        """Report clients that were disconnected in the last second."""
        ...

    def report_bytes(self, total: int) -> None:
        """Report the bytes that requests occupy."""
        ...


class ClientGuard(Service):
    """
    Holds the clients of all listeners to limits of memory and time.

    One check a second covers all connections; a request needs no timer.

    :param reporter: reports disconnected clients.
    :param memory: megabytes that the process may use; ``None`` for the memory
        of the machine.
    """

    def __init__(
        self, reporter: CutReporter | None = None, memory: float | None = None
    ) -> None:
        super().__init__()
        self._reporter = reporter
        self._budget = ByteBudget(choose_budget(memory, read_machine_memory()))
        self._pools: list[ConnectionPool] = []
        self._cuts: Counter[CutReason] = Counter()

    @property
    def budget(self) -> ByteBudget:
        """Memory for the requests of clients."""
        return self._budget

    def create_pool(self, get_limits: Callable[[], ConnectionLimits]) -> ConnectionPool:
        """Return a pool for the connections of one listener."""
        pool = ConnectionPool(self, get_limits, asyncio.get_running_loop().time)
        self._pools.append(pool)
        return pool

    def draw(self, protocol: CuttableProtocol, size: int) -> None:
        """
        Account for bytes that a connection holds, or no longer holds.

        If there is no memory for them, incomplete requests without progress
        make way, and then the connection itself.
        """
        if self._budget.draw(size) or size <= 0:
            return
        now = asyncio.get_running_loop().time()
        for pool in self._pools:
            for stalled in pool.list_stalled(now) if self._budget.is_exceeded else ():
                if stalled is not protocol and self._budget.is_exceeded:
                    detail = "the request made no progress while memory was short"
                    stalled.cut(BodyTimeout(detail), "memory")
        if self._budget.is_full:
            refusal = MemoryShort(
                "the requests of all clients occupy the memory for them",
                retry_after=MEMORY_RETRY_SECONDS,
            )
            protocol.cut(refusal, "memory")

    def expect(self, size: int) -> None:
        """Record that bytes will be released soon, or were if negative."""
        self._budget.expect(size)

    def count_cut(self, reason: CutReason) -> None:
        """Count a client that is disconnected."""
        self._cuts[reason] += 1

    def check(self) -> None:
        """Disconnect clients without progress, and report."""
        now = asyncio.get_running_loop().time()
        for pool in self._pools:
            pool.check(now)
        cuts, self._cuts = self._cuts, Counter()
        if self._reporter is None:
            return
        self._reporter.report_bytes(self._budget.total)
        for reason, count in sorted(cuts.items()):
            self._reporter.report_cuts(reason, count)

    @Service.task
    async def _check_every_second(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_SECONDS)
            self.check()


def read_machine_memory() -> int:
    """Return the memory of the machine, in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
