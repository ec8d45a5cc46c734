"""Cost of granting a permit for growing numbers of participants."""

from __future__ import annotations

import time
from typing import NamedTuple

from sycamorehaven.decisions.grants import ServiceParameters
from sycamorehaven.decisions.scheduler import ServiceScheduler
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import (
    DemandReport,
    DemandRow,
    PermitReturn,
)

MAX_RETURNS = 200
"""Permits that are returned, each followed by the grants it makes possible."""
MAX_READS_PER_GRANT = 16.0
"""
Bound on the service totals read for one grant.

A scan of all workspaces would read every total.
"""
OWN_ID = RouterId("router-0", 1)


class CountingLedger:
    """A ledger of service totals that counts how often one is read."""

    def __init__(self) -> None:
        self.reads = 0
        self.totals: dict[str, float] = {}

    def sum_service(self, service: str, workspace: str) -> float:  # noqa: ARG002
        """Return the service that a workspace has received; count the read."""
        self.reads += 1
        return self.totals.get(workspace, 0.0)

    def sum_reserved(self, service: str, workspace: str) -> float:  # noqa: ARG002
        """Return 0: no other scheduler has reserved service."""
        return 0.0


class Size(NamedTuple):
    """
    Size of a service as one scheduler sees it.

    :ivar workspaces: number of workspaces with waiting requests.
    :ivar edges: number of edges that report demand, each for a few
        workspaces.
    :ivar servers: number of servers that the scheduler is responsible for.
    """

    workspaces: int
    edges: int
    servers: int


class GrantCost(NamedTuple):
    """
    Cost of granting one permit.

    :ivar reads: service totals read.
    :ivar microseconds: processor time, including the return of a permit.
    :ivar round_microseconds: processor time of one expiry round.
    """

    reads: float
    microseconds: float
    round_microseconds: float


SIZES = (
    Size(16, 6, 9),
    Size(140, 6, 9),
    Size(140, 420, 9),
    Size(140, 420, 800),
    Size(1_400, 420, 800),
)


def measure_cost(size: Size) -> GrantCost:
    """Return the cost of a grant on a saturated service of the given size."""
    ledger = CountingLedger()
    scheduler = ServiceScheduler(OWN_ID, "assistant", ledger)
    scheduler.set_parameters(ServiceParameters(1_000.0, expected_cost=80.0))
    servers = [f"engine-{index}" for index in range(size.servers)]
    scheduler.set_servers(dict.fromkeys(servers, 8), 10.0)
    for name in servers:
        scheduler.apply_load_report(name, 0, 10.1, 10.1)
    for index in range(size.edges):
        scheduler.apply_demand_report(
            RouterId(f"edge-{index}", 1), _build_report(size, index), 10.2
        )
    scheduler.grant(10.2)
    holdings = list(scheduler.outstanding.values())[:MAX_RETURNS]
    ledger.reads, started = 0, time.process_time()
    grant_count = 0
    for step, holding in enumerate(holdings):
        message = PermitReturn(
            *holding.permit_id.scheduler,
            holding.permit_id.number,
            "assistant",
            holding.server,
            holding.workspace,
            80.0,
            runs=1,
            failed=False,
            accounted=True,
            waiting=1_000,
        )
        now = 10.3 + step * 0.001
        charge = scheduler.apply_return(holding.edge, message, now)
        if charge is not None:
            total = ledger.totals.get(charge.workspace, 0.0)
            ledger.totals[charge.workspace] = total + charge.cost
        grant_count += len(scheduler.grant(now))
    elapsed, reads = time.process_time() - started, ledger.reads
    started = time.process_time()
    scheduler.expire(10.8)
    round_seconds = time.process_time() - started
    return GrantCost(
        reads / grant_count, elapsed / grant_count * 1e6, round_seconds * 1e6
    )


def _build_report(size: Size, index: int) -> DemandReport:
    workspace_numbers = range(index, size.workspaces, size.edges)
    names = {f"tenant-{number}" for number in workspace_numbers}
    names.add(f"tenant-{index % size.workspaces}")
    rows = [DemandRow(name, "interactive", 500, 1.0, 80.0) for name in sorted(names)]
    return DemandReport("assistant", 1, 10.0, rows, [], [])
