"""
Processor time and memory of the roles of a router at the target size.

``python -m benchmarks.roles`` prints them for the scheduler, for changes of
the membership, and for the items that a router keeps in memory.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.edge import CountingLink, build_board
from benchmarks.event_queue import EventQueue
from benchmarks.measurement import measure_memory, measure_time
from benchmarks.target_size import BACKLOGGED_RATIO, BACKLOGGED_WAIT_SECONDS, TARGET
from sycamorehaven.blackboard.counters import CounterKey, CountersSection
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.permits import PermitController
from sycamorehaven.controllers.scheduling import (
    EXPIRY_PERIOD_SECONDS,
    SchedulingController,
)
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Delivery
from sycamorehaven.transport.messages.permits import (
    DemandReport,
    DemandRow,
    PermitGrant,
    PermitReturn,
)
from tests.support.large_configurations import build_large_configuration

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import BackendServer

WAITING_EDGE_COUNT = 190
"""Edges of the target fleet at which requests for one service wait."""
ROWS_PER_REPORT = 1
"""Workspaces of one service that wait at one edge, one row each."""
SAMPLED_TOTALS = 10_000
"""Service totals that are created to measure the memory of one."""
LEARNING_ROUNDS = 12
"""Rounds until the scheduler grants slots of a server of unknown load."""


class SchedulerCost(NamedTuple):
    """
    Cost of the scheduler of one service with the target's backlog.

    :ivar report: processor seconds to process a demand report.
    :ivar grant: processor seconds to process the return of a permit and to
        grant its slot again.
    :ivar round: processor seconds of one periodic round.
    :ivar row: bytes kept for each row of a demand report.
    """

    report: float
    grant: float
    round: float
    row: float


class MemberCost(NamedTuple):
    """
    Cost of a change in the membership.

    :ivar place: processor seconds to choose the scheduler of every server.
    :ivar edge: processor seconds of the permit controller, for one change.
    :ivar scheduling: processor seconds of the scheduling controller, for one
        change.
    """

    place: float
    edge: float
    scheduling: float


class MemoryCost(NamedTuple):
    """
    Memory that one item keeps allocated.

    :ivar workspace: bytes for a workspace of the configuration.
    :ivar server: bytes for a backend server of the configuration.
    :ivar member: bytes for a member of the fleet.
    :ivar total: bytes for the service total of one scheduler and workspace.
    """

    workspace: float
    server: float
    member: float
    total: float


def build_waiting_rows(number: int) -> list[DemandRow]:
    """Return the rows that one edge reports for one service."""
    rng = random.Random(number)
    return [
        DemandRow(
            f"workspace-{rng.randrange(TARGET.backlogged_workspaces)}",
            "interactive",
            1,
            BACKLOGGED_WAIT_SECONDS * rng.random(),
            300.0,
        )
        for _ in range(ROWS_PER_REPORT)
    ]


class SchedulerSimulation:
    """The real scheduling controller with a backlog from many edges."""

    def __init__(self) -> None:
        self.board = build_board(self._find_busy_router())
        self.link = CountingLink(self.board)
        self.grants: list[PermitGrant] = []
        self.events = EventQueue()
        self.controller = SchedulingController(self.board, self.link, self.events.clock)
        self.board.members.changed.notify()
        self.service = self._find_service()
        self._sequence = 0
        for _ in range(LEARNING_ROUNDS):
            self.events.run_until(self.events.now + EXPIRY_PERIOD_SECONDS)
            self.controller.run_round()

    def deliver_report(self, edge: int) -> None:
        """Deliver a demand report of an edge to the controller."""
        self._sequence += 1
        report = DemandReport(
            self.service, self._sequence, 60.0, build_waiting_rows(edge), [], []
        )
        sender = RouterId(f"router-euw1-{edge:08}", 1 << 60)
        self.link.dispatch(Delivery(sender, "", report))

    def return_permit(self) -> None:
        """
        Deliver the return of an outstanding permit, whose slot is free then.

        A new report from the same edge restores its demand.
        """
        scheduler = self.controller.schedulers[self.service]
        name, holding = next(iter(scheduler.outstanding.items()))
        message = PermitReturn(
            name.scheduler.host,
            name.scheduler.incarnation,
            name.number,
            self.service,
            holding.server,
            holding.workspace,
            300.0,
            1,
            False,
            True,
            1,
        )
        self.link.dispatch(Delivery(holding.edge, "", message))
        self.deliver_report(int(holding.edge.host.rpartition("-")[2]))

    def _find_busy_router(self) -> int:
        board = build_board()
        domains = board.members.map_failure_domains()
        server = list_servers(board)[0]
        host = choose_scheduler(server, domains) or ""
        return int(host.rpartition("-")[2])

    def _find_service(self) -> str:
        domains = self.board.members.map_failure_domains()
        return next(
            server.service
            for server in list_servers(self.board)
            if choose_scheduler(server, domains) == self.board.identity.host
        )


def list_servers(board: Blackboard) -> list[BackendServer]:
    """Return every backend server of a blackboard's configuration."""
    configuration = board.configuration.current
    assert configuration is not None
    return list(configuration.servers.values())


def measure_scheduler() -> SchedulerCost:
    """Return the cost of the scheduler of one service."""
    scheduling = SchedulerSimulation()
    edges = iter(range(10**9))

    def deliver_reports() -> None:
        for _ in range(WAITING_EDGE_COUNT):
            scheduling.deliver_report(next(edges) % WAITING_EDGE_COUNT)

    row = measure_memory(deliver_reports)
    report = measure_time(deliver_reports, 2) / WAITING_EDGE_COUNT
    return SchedulerCost(
        report,
        measure_time(scheduling.return_permit, 200) - report,
        measure_time(scheduling.controller.run_round, 50),
        row / WAITING_EDGE_COUNT / ROWS_PER_REPORT,
    )


def measure_members() -> MemberCost:
    """Return the cost of a change in the membership."""
    board = build_board()
    domains = board.members.map_failure_domains()
    servers = list_servers(board)
    times = []
    for controller in (PermitController, SchedulingController):
        fresh = build_board()
        kept = controller(fresh, CountingLink(fresh))
        times.append(measure_time(fresh.members.changed.notify, 1))
        del kept
    place = measure_time(lambda: [choose_scheduler(s, domains) for s in servers], 1)
    return MemberCost(place, *times)


def measure_memory_slopes() -> MemoryCost:
    """Return the memory that one item of each kind keeps allocated."""

    def accept(workspaces: int, servers: int) -> int:
        raw = build_large_configuration(workspaces, servers).encode()
        return measure_memory(lambda: accept_text(raw, 1))

    accept(10, 17)
    base = accept(100, 100)
    own = RouterId("router-euw1-00000000", 1 << 60)

    def fill_counters() -> CountersSection:
        counters = CountersSection(own)
        for number in range(SAMPLED_TOTALS):
            scheduler = RouterId(f"router-euw1-{number % 420:08}", 1 << 60)
            workspace = f"workspace-{number // 420}"
            counters.merge_total(
                CounterKey(scheduler, "model-1", workspace), 1.0 + number
            )
        return counters

    boards = measure_memory(build_board) - measure_memory(
        lambda: accept_text(build_large_configuration().encode(), 1)
    )
    return MemoryCost(
        (accept(1_100, 100) - base) / 1_000,
        (accept(100, 1_100) - base) / 1_000,
        boards / TARGET.nodes,
        measure_memory(fill_counters) / SAMPLED_TOTALS,
    )


def main() -> None:
    """Print every figure."""
    print(
        f"assumed: {BACKLOGGED_RATIO:.0%} of requests wait {BACKLOGGED_WAIT_SECONDS} s"
    )
    for cost in (measure_scheduler(), measure_members()):
        for name, value in cost._asdict().items():
            unit = f"{value:.0f} bytes" if name == "row" else f"{value * 1e6:.0f} us"
            print(f"{type(cost).__name__}.{name}: {unit}")
    for name, value in measure_memory_slopes()._asdict().items():
        print(f"MemoryCost.{name}: {value:.0f} bytes")


if __name__ == "__main__":
    main()
