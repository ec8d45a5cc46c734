"""Fairness, utilisation, control traffic and the cost of a grant."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from benchmarks.baselines import LeastLoaded, StaticSplit
from benchmarks.decision_cost import MAX_READS_PER_GRANT, SIZES, measure_cost
from benchmarks.fleet_plan import FleetPlan
from benchmarks.scenarios import (
    MAX_CONTROL_BYTES_PER_SECOND,
    MAX_GAP_REQUESTS,
    MIN_UTILISATION_RATIO,
    build_flood_flows,
    build_spread_flows,
    build_two_router_flows,
    list_missed_bounds,
    list_scenarios,
)

BASELINE_SECONDS = 120.0


def run_scenarios(console: Console) -> list[str]:
    """Print a row for each scenario; return the missed bounds."""
    table = Table(
        title=f"bounds: gap < {MAX_GAP_REQUESTS:g} largest requests, utilisation >= "
        f"{MIN_UTILISATION_RATIO:.0%}, "
        f"control <= {MAX_CONTROL_BYTES_PER_SECOND / 1e3:g} KB/s"
    )
    for name in ("scenario", "gap", "busy", "B/s", "messages/s", "p99 wait s", "miss"):
        table.add_column(name, justify="left" if name == "scenario" else "right")
    missed = []
    for scenario in list_scenarios():
        figures = scenario.run()
        misses = list_missed_bounds(figures)
        missed += [f"{scenario.name}: {miss}" for miss in misses]
        table.add_row(
            scenario.name,
            f"{figures.gap:.2f}",
            f"{figures.utilisation:.4f}",
            f"{figures.control_bytes_per_second:.0f}",
            f"{figures.messages_per_second:.1f}",
            f"{figures.p99_wait_seconds:.2f}",
            ", ".join(misses) or "-",
        )
    console.print(table)
    return missed


def run_baselines(console: Console) -> None:
    """Print the fairness and waiting times that flows get without permits."""
    table = Table(title="without permits (not bounded)")
    for name in ("baseline", "flows", "gap", "busy", "p99 wait s"):
        table.add_column(name)
    cases = {
        "flood": build_flood_flows(),
        "spread": build_spread_flows(),
        "two routers only": build_two_router_flows(),
    }
    for kind in (StaticSplit, LeastLoaded):
        for name, flows in cases.items():
            baseline = kind(FleetPlan(), flows)
            baseline.run(BASELINE_SECONDS)
            meter = baseline.meter
            meter.integrate()
            waits = sorted(meter.wait_seconds[flows[-1].workspace])
            p99_wait_seconds = waits[int(len(waits) * 0.99)]
            figures = (
                f"{meter.gap:.2f}",
                f"{meter.utilisation:.4f}",
                f"{p99_wait_seconds:.2f}",
            )
            table.add_row(kind.__name__, name, *figures)
    console.print(table)


def run_costs(console: Console) -> list[str]:
    """Print the cost of a grant for each size; return the missed bounds."""
    table = Table(title=f"cost of a grant (bound: {MAX_READS_PER_GRANT:g} reads)")
    for name in ("workspaces", "edges", "servers", "reads", "us", "us a round"):
        table.add_column(name, justify="right")
    missed = []
    for size in SIZES:
        cost = measure_cost(size)
        if cost.reads > MAX_READS_PER_GRANT:
            missed.append(f"{size}: {cost.reads:.1f} reads per grant")
        figures = f"{cost.reads:.1f}", f"{cost.microseconds:.0f}"
        table.add_row(
            *(str(count) for count in size), *figures, f"{cost.round_microseconds:.0f}"
        )
    console.print(table)
    return missed


def run_all() -> list[str]:
    """Run and print all tables of this module; return the missed bounds."""
    console = Console(width=100)
    missed = run_scenarios(console)
    run_baselines(console)
    return missed + run_costs(console)
