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
from benchmarks.target import BACKLOGGED_PART, BUDGET, DAY, TARGET
from sycamorehaven.controllers.scheduling import EXPIRY_PERIOD_SECONDS
from sycamorehaven.decisions.configuration_polling import GOSSIP_FANOUT, WATCH_SECONDS
from sycamorehaven.decisions.roles import READERS_PER_DOMAIN

if TYPE_CHECKING:
    from collections.abc import Iterator

PLATFORM_READS = 2_000.0
"""Reads per second that the configuration service takes from all readers."""
MEGABYTE = 1e6


class Row(NamedTuple):
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
    what: str
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
        verdict = "-"
        if self.budget:
            part = self.total / self.budget
            verdict = f"{self.budget:g} ({part:.0%})"
        return (
            f"| {self.role} | {self.what} | {self.slope:.4g} | {self.number:.4g} |"
            f" {self.total:.4g} {self.unit} | {verdict} |"
        )


def list_edge() -> Iterator[Row]:
    """Yield the rows of the edge and of the messages that it exchanges."""
    cost = asyncio.run(wire.measure())
    for part in (0.0, BACKLOGGED_PART):
        figures = edge.Edge(part).run()
        name = f"edge, {part:.0%} of requests wait"
        sent = sum(figures.messages.values())
        size = sum(figures.sizes.values())
        yield Row(name, "control sent", size / sent, sent, "B/s", BUDGET.traffic)
        yield Row(name, "its decisions", figures.core / sent, sent, "core", BUDGET.core)
        yield Row(
            name, "wire, both ends", cost.alone, sent, "core (sparse)", BUDGET.core
        )
        yield Row(
            name, "wire, both ends", cost.batched, sent, "core (batched)", BUDGET.core
        )


def list_scheduler() -> Iterator[Row]:
    """Yield the rows of the scheduler of a node's servers."""
    cost = roles.measure_scheduler()
    figures = edge.Edge(BACKLOGGED_PART).run()
    reports = figures.messages["DemandReport"]
    held = TARGET.servers / TARGET.nodes
    yield Row("scheduler", "reports taken", cost.report, reports, "core", BUDGET.core)
    yield Row(
        "scheduler", "grants", cost.grant, TARGET.node_requests, "core", BUDGET.core
    )
    yield Row(
        "scheduler",
        "rounds",
        cost.round,
        1 / EXPIRY_PERIOD_SECONDS,
        "core",
        BUDGET.core,
    )
    yield Row(
        "scheduler",
        "rows of demand",
        cost.row / MEGABYTE,
        roles.WAITING_EDGES * roles.ROWS * held,
        "MB",
        BUDGET.memory / MEGABYTE,
    )


def list_placement() -> Iterator[Row]:
    """Yield the rows of the places of servers."""
    cost = roles.measure_members()
    change = cost.place + cost.edge + cost.scheduling
    changes = 2 * (TARGET.replaced + TARGET.failed) / DAY
    yield Row("member", "change of the view", change, changes, "core", BUDGET.core)


def list_configuration() -> Iterator[Row]:
    """Yield the rows of the configuration's reader and its followers."""
    cost = measure_change(TARGET.workspaces, TARGET.servers, TARGET.services)
    changes = TARGET.changes / DAY
    told = 2 * GOSSIP_FANOUT
    size = told * cost.notice + cost.request + cost.delta
    time = cost.warm + cost.delta_time
    yield Row("follower", "a change", size, changes, "B/s", BUDGET.traffic)
    yield Row("follower", "a change", time, changes, "core", BUDGET.core)
    yield Row(
        "follower",
        "texts for cold starts, the whole fleet's",
        cost.whole,
        TARGET.replaced / DAY,
        "B/s",
        BUDGET.traffic,
    )
    readers = READERS_PER_DOMAIN * TARGET.domains
    reads = 1 / WATCH_SECONDS + changes
    yield Row("reader", "platform calls", reads, readers, "calls/s", PLATFORM_READS)


def list_counters() -> Iterator[Row]:
    """Yield the rows of the exchange of service received."""
    figures = exchange.measure()
    name = "scheduler (totals)"
    slope = figures.sizes / figures.messages
    yield Row(name, "updates sent", slope, figures.messages, "B/s", BUDGET.traffic)
    core = figures.core / figures.peers
    yield Row(name, "rounds, by peer", core, figures.peers, "core", BUDGET.core)


def list_member() -> Iterator[Row]:
    """Yield the rows of the membership."""
    figures = measure_membership(TARGET.nodes, 0.0)
    slope = figures.bytes_per_second / figures.messages_per_second
    yield Row(
        "member", "probes", slope, figures.messages_per_second, "B/s", BUDGET.traffic
    )


def list_memory(resident: float) -> Iterator[Row]:
    """Yield the rows of memory."""
    cost = roles.measure_memory_slopes()
    budget = BUDGET.memory / MEGABYTE
    counts = [
        ("workspaces of the configuration", cost.workspace, TARGET.workspaces),
        ("servers of the configuration", cost.server, TARGET.servers),
        ("members", cost.member, TARGET.nodes),
        ("totals by scheduler, 2 services each", cost.total, _count_totals()),
        ("totals by domain, 2 services each", cost.total, 2 * 1_400 * 6),
    ]
    for what, slope, count in counts:
        yield Row("state", what, slope / MEGABYTE, count, "MB", budget)
    yield Row("process", "resident at rest", resident / MEGABYTE, 1, "MB", budget)


def _count_totals() -> float:
    return 2 * TARGET.workspaces * TARGET.schedulers


def list_data(cost: relay.RelayCost) -> Iterator[Row]:
    """Yield the rows of data, which is not control."""
    yield Row("edge (data)", "chunks relayed", cost.chunk, TARGET.node_tokens, "core")
    yield Row("edge (data)", "requests", cost.request, TARGET.node_requests, "core")
    yield Row("edge", "at rest, no peers", cost.rest, 1, "core", BUDGET.core)
    yield Row("command line", "status", cost.command, 1, "s of a core a call")
    yield Row("command line", "status", cost.command_memory / MEGABYTE, 1, "MB")


def main() -> None:
    """Measure and print the table."""
    cost = asyncio.run(relay.measure())
    print(f"chunks a second and core: {1 / cost.chunk:.0f}")
    print(f"requests answered a second, one process: {cost.rate:.0f}")
    print(f"median latency by that without the router: {cost.added:.2f}")
    print("| role | what | slope | count | total a node | budget (part) |")
    print("| --- | --- | --: | --: | --: | --: |")
    rows = [
        *list_edge(),
        *list_scheduler(),
        *list_placement(),
        *list_configuration(),
        *list_counters(),
        *list_member(),
        *list_memory(cost.memory),
        *list_data(cost),
    ]
    for row in rows:
        print(row.format())


if __name__ == "__main__":
    main()
