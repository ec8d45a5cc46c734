"""
Slope x count = total against the budget, for each role at the target's size.

``python -m benchmarks.capacity`` measures every slope on this machine and
prints the table of ``docs/CAPACITY.md``. Nothing is gated: the bounds that
CI checks are those of the benchmarks that it imports.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from benchmarks import edge, exchange, relay, roles, wire
from benchmarks.configuration import measure_change
from benchmarks.membership import measure as measure_membership
from benchmarks.target_size import BACKLOGGED_RATIO, BUDGET, SECONDS_PER_DAY, TARGET
from sycamorehaven.controllers.scheduling import EXPIRY_PERIOD_SECONDS
from sycamorehaven.decisions.configuration_polling import GOSSIP_FANOUT, WATCH_SECONDS
from sycamorehaven.decisions.roles import READERS_PER_DOMAIN

if TYPE_CHECKING:
    from collections.abc import Iterator

PLATFORM_READS_PER_SECOND = 2_000.0
"""Reads per second that the configuration service takes from all readers."""
BYTES_PER_MEGABYTE = 1e6


class CapacityRow(NamedTuple):
    """
    One line of the balance of a node.

    :ivar role: whose cost it is.
    :ivar what: what is counted.
    :ivar slope: cost of one.
    :ivar number: how many there are at the target's size.
    :ivar unit: of the product.
    :ivar budget: for the product, the whole node's; 0 where none is given.
    """

    role: str
    item: str
    slope: float
    number: float
    unit: str
    budget: float = 0.0

    @property
    def total(self) -> float:
        """Slope by count."""
        return self.slope * self.number

    def format(self) -> str:
        """Return the row of a Markdown table."""
        budget_cell = "-"
        if self.budget:
            budget_ratio = self.total / self.budget
            budget_cell = f"{self.budget:g} ({budget_ratio:.0%})"
        return (
            f"| {self.role} | {self.item} | {self.slope:.4g} | {self.number:.4g} |"
            f" {self.total:.4g} {self.unit} | {budget_cell} |"
        )


def list_edge_rows() -> Iterator[CapacityRow]:
    """Yield the rows of the edge and of the messages that it exchanges."""
    cost = asyncio.run(wire.measure())
    for backlogged_ratio in (0.0, BACKLOGGED_RATIO):
        figures = edge.EdgeSimulation(backlogged_ratio).run()
        name = f"edge, {backlogged_ratio:.0%} of requests wait"
        messages_sent = sum(figures.messages_per_second.values())
        bytes_sent = sum(figures.bytes_per_second.values())
        yield CapacityRow(
            name,
            "control sent",
            bytes_sent / messages_sent,
            messages_sent,
            "B/s",
            BUDGET.bytes_per_second,
        )
        yield CapacityRow(
            name,
            "its decisions",
            figures.core_ratio / messages_sent,
            messages_sent,
            "core",
            BUDGET.core_ratio,
        )
        yield CapacityRow(
            name,
            "wire, both ends",
            cost.single_seconds,
            messages_sent,
            "core (sparse)",
            BUDGET.core_ratio,
        )
        yield CapacityRow(
            name,
            "wire, both ends",
            cost.batched_seconds,
            messages_sent,
            "core (batched)",
            BUDGET.core_ratio,
        )


def list_scheduler_rows() -> Iterator[CapacityRow]:
    """Yield the rows of the scheduler of a node's servers."""
    cost = roles.measure_scheduler()
    figures = edge.EdgeSimulation(BACKLOGGED_RATIO).run()
    reports = figures.messages_per_second["DemandReport"]
    servers_per_node = TARGET.servers / TARGET.nodes
    yield CapacityRow(
        "scheduler", "reports taken", cost.report, reports, "core", BUDGET.core_ratio
    )
    yield CapacityRow(
        "scheduler",
        "grants",
        cost.grant,
        TARGET.node_requests_per_second,
        "core",
        BUDGET.core_ratio,
    )
    yield CapacityRow(
        "scheduler",
        "rounds",
        cost.round,
        1 / EXPIRY_PERIOD_SECONDS,
        "core",
        BUDGET.core_ratio,
    )
    yield CapacityRow(
        "scheduler",
        "rows of demand",
        cost.row / BYTES_PER_MEGABYTE,
        roles.WAITING_EDGE_COUNT * roles.ROWS_PER_REPORT * servers_per_node,
        "MB",
        BUDGET.memory_bytes / BYTES_PER_MEGABYTE,
    )


def list_placement_rows() -> Iterator[CapacityRow]:
    """Yield the rows of the places of servers."""
    cost = roles.measure_members()
    change = cost.place + cost.edge + cost.scheduling
    changes = (
        2
        * (TARGET.replaced_routers_per_day + TARGET.failed_hosts_per_day)
        / SECONDS_PER_DAY
    )
    yield CapacityRow(
        "member", "change of the view", change, changes, "core", BUDGET.core_ratio
    )


def list_configuration_rows() -> Iterator[CapacityRow]:
    """Yield the rows of the configuration's reader and its followers."""
    cost = measure_change(TARGET.workspaces, TARGET.servers, TARGET.services)
    changes = TARGET.changes_per_day / SECONDS_PER_DAY
    notices_per_change = 2 * GOSSIP_FANOUT
    bytes_per_change = notices_per_change * cost.notice + cost.request + cost.delta
    seconds_per_change = cost.warm + cost.delta_time
    yield CapacityRow(
        "follower",
        "a change",
        bytes_per_change,
        changes,
        "B/s",
        BUDGET.bytes_per_second,
    )
    yield CapacityRow(
        "follower", "a change", seconds_per_change, changes, "core", BUDGET.core_ratio
    )
    yield CapacityRow(
        "follower",
        "texts for cold starts, the whole fleet's",
        cost.whole,
        TARGET.replaced_routers_per_day / SECONDS_PER_DAY,
        "B/s",
        BUDGET.bytes_per_second,
    )
    readers = READERS_PER_DOMAIN * TARGET.domains
    reads_per_reader = 1 / WATCH_SECONDS + changes
    yield CapacityRow(
        "reader",
        "platform calls",
        reads_per_reader,
        readers,
        "calls/s",
        PLATFORM_READS_PER_SECOND,
    )


def list_counter_rows() -> Iterator[CapacityRow]:
    """Yield the rows of the exchange of service received."""
    figures = exchange.measure()
    name = "scheduler (totals)"
    slope = figures.bytes_per_second / figures.updates_per_second
    yield CapacityRow(
        name,
        "updates sent",
        slope,
        figures.updates_per_second,
        "B/s",
        BUDGET.bytes_per_second,
    )
    core = figures.core_ratio / figures.peers
    yield CapacityRow(
        name, "rounds, by peer", core, figures.peers, "core", BUDGET.core_ratio
    )


def list_membership_rows() -> Iterator[CapacityRow]:
    """Yield the rows of the membership."""
    figures = measure_membership(TARGET.nodes, 0.0)
    slope = figures.bytes_per_second / figures.messages_per_second
    yield CapacityRow(
        "member",
        "probes",
        slope,
        figures.messages_per_second,
        "B/s",
        BUDGET.bytes_per_second,
    )


def list_memory_rows(resident_bytes: float) -> Iterator[CapacityRow]:
    """Yield the rows of memory."""
    cost = roles.measure_memory_slopes()
    budget = BUDGET.memory_bytes / BYTES_PER_MEGABYTE
    counts = [
        ("workspaces of the configuration", cost.workspace, TARGET.workspaces),
        ("servers of the configuration", cost.server, TARGET.servers),
        ("members", cost.member, TARGET.nodes),
        ("totals by scheduler, 2 services each", cost.total, _count_totals()),
        ("totals by domain, 2 services each", cost.total, 2 * 1_400 * 6),
    ]
    for what, slope, count in counts:
        yield CapacityRow(
            "state", what, slope / BYTES_PER_MEGABYTE, count, "MB", budget
        )
    yield CapacityRow(
        "process",
        "resident at rest",
        resident_bytes / BYTES_PER_MEGABYTE,
        1,
        "MB",
        budget,
    )


def _count_totals() -> float:
    return 2 * TARGET.workspaces * TARGET.schedulers_per_service


def list_data_path_rows(cost: relay.RelayCost) -> Iterator[CapacityRow]:
    """Yield the rows of data, which is not control."""
    yield CapacityRow(
        "edge (data)",
        "chunks relayed",
        cost.chunk_seconds,
        TARGET.node_tokens_per_second,
        "core",
    )
    yield CapacityRow(
        "edge (data)",
        "requests",
        cost.request_seconds,
        TARGET.node_requests_per_second,
        "core",
    )
    yield CapacityRow(
        "edge", "at rest, no peers", cost.idle_core_ratio, 1, "core", BUDGET.core_ratio
    )
    yield CapacityRow(
        "command line", "status", cost.command_seconds, 1, "s of a core a call"
    )
    yield CapacityRow(
        "command line",
        "status",
        cost.command_resident_bytes / BYTES_PER_MEGABYTE,
        1,
        "MB",
    )


def main() -> None:
    """Measure and print the table."""
    cost = asyncio.run(relay.measure())
    print(f"chunks a second and core: {1 / cost.chunk_seconds:.0f}")
    print(f"requests answered a second, one process: {cost.requests_per_second:.0f}")
    print(f"median latency by that without the router: {cost.latency_ratio:.2f}")
    print("| role | what | slope | count | total a node | budget (part) |")
    print("| --- | --- | --: | --: | --: | --: |")
    rows = [
        *list_edge_rows(),
        *list_scheduler_rows(),
        *list_placement_rows(),
        *list_configuration_rows(),
        *list_counter_rows(),
        *list_membership_rows(),
        *list_memory_rows(cost.resident_bytes),
        *list_data_path_rows(cost),
    ]
    for row in rows:
        print(row.format())


if __name__ == "__main__":
    main()
