"""
Capacity table: the cost of each role of a node at the target size.

``python -m benchmarks.capacity`` measures the cost of one unit (the slope) on
this machine, multiplies it by the count at the target size, compares the
product with a node's budget, and prints the table of ``docs/CAPACITY.md``. It
checks no bound itself: CI checks the bounds of the benchmarks that this
module imports.
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
"""Reads that the configuration service accepts from all readers together."""
BYTES_PER_MEGABYTE = 1e6


class CapacityRow(NamedTuple):
    """
    One row of the capacity table.

    :ivar role: the role of a node that causes the cost.
    :ivar item: the item that is counted.
    :ivar slope: the cost of one item.
    :ivar number: how many items a node has or handles at the target size.
    :ivar unit: unit of the product of slope and number.
    :ivar budget: the node's whole budget in that unit, 0 if there is none.
    """

    role: str
    item: str
    slope: float
    number: float
    unit: str
    budget: float = 0.0

    @property
    def total(self) -> float:
        """Total cost: the slope times the number of items."""
        return self.slope * self.number

    def format(self) -> str:
        """Return the row in Markdown."""
        budget_cell = "-"
        if self.budget:
            budget_ratio = self.total / self.budget
            budget_cell = f"{self.budget:g} ({budget_ratio:.0%})"
        return (
            f"| {self.role} | {self.item} | {self.slope:.4g} | {self.number:.4g} |"
            f" {self.total:.4g} {self.unit} | {budget_cell} |"
        )


def list_edge_rows() -> Iterator[CapacityRow]:
    """Yield the rows of a router's edge and its control messages."""
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
    """Yield the rows of the scheduler of one node."""
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
    """Yield the rows of assigning servers to schedulers."""
    cost = roles.measure_members()
    seconds_per_change = cost.place + cost.edge + cost.scheduling
    changes = (
        2
        * (TARGET.replaced_routers_per_day + TARGET.failed_hosts_per_day)
        / SECONDS_PER_DAY
    )
    yield CapacityRow(
        "member",
        "change of the view",
        seconds_per_change,
        changes,
        "core",
        BUDGET.core_ratio,
    )


def list_configuration_rows() -> Iterator[CapacityRow]:
    """Yield the rows of the routers that read or follow the configuration."""
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
    """Yield the rows of the exchange of service totals among schedulers."""
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
    """Yield the rows of the membership protocol."""
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
    """
    Yield the rows of memory.

    :param resident_bytes: resident memory of an idle router process.
    """
    cost = roles.measure_memory_slopes()
    budget = BUDGET.memory_bytes / BYTES_PER_MEGABYTE
    items = [
        ("workspaces of the configuration", cost.workspace, TARGET.workspaces),
        ("servers of the configuration", cost.server, TARGET.servers),
        ("members", cost.member, TARGET.nodes),
        ("totals by scheduler, 2 services each", cost.total, _count_totals()),
        ("totals by domain, 2 services each", cost.total, 2 * 1_400 * 6),
    ]
    for item, slope, count in items:
        yield CapacityRow(
            "state", item, slope / BYTES_PER_MEGABYTE, count, "MB", budget
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
    """
    Yield the rows of relaying requests, which the control budget excludes.

    :param cost: the measured cost of relaying.
    """
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
    """Measure every cost and print the table."""
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
