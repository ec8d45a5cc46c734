"""
Failures of plain servers, by own results only and by pooled results.

``python -m benchmarks.plain_servers`` plays the same simulated load twice for
each case: by each router's own results, as for a service that the
configuration does not name, and by the results of all routers. Servers fail
half of their requests from 2 s to 8 s of 12 s.
"""

from __future__ import annotations

import asyncio
from typing import Annotated, NamedTuple

import typer

from benchmarks.plain_fleet import ROUTERS, Failure, FleetFigures, PlainFleetSimulation

RUN_SECONDS = 12.0


class Case(NamedTuple):
    """
    A load that is played.

    :ivar name: name in the table.
    :ivar failures: times in which servers fail requests.
    :ivar servers: number of servers.
    :ivar has_slowdowns: whether servers are slow at times.
    """

    name: str
    failures: tuple[Failure, ...]
    servers: int = 3
    has_slowdowns: bool = False


CASES = (
    Case("one of 3 fails", (Failure(("s0",), 2.0, 8.0),)),
    Case("one of 4 fails", (Failure(("s0",), 2.0, 8.0),), 4),
    Case("two of 3 fail", (Failure(("s0", "s1"), 2.0, 8.0),)),
    Case("one of 3, domain a", (Failure(("s0",), 2.0, 8.0, domains="a"),)),
    Case("all of 3 fail", (Failure(("s0", "s1", "s2"), 2.0, 8.0),)),
    Case("none fails", ()),
    Case("none fails, slow", (), has_slowdowns=True),
)


def play(case: Case, seed: int, *, is_published: bool) -> FleetFigures:
    """Play a case once."""
    simulation = PlainFleetSimulation(
        case.failures,
        case.servers,
        has_slowdowns=case.has_slowdowns,
        is_published=is_published,
        seed=seed,
    )
    return asyncio.run(simulation.run(RUN_SECONDS))


def describe(plays: list[FleetFigures]) -> str:
    """Return a row of the table: sums over the plays and mean quantiles."""
    columns = [
        sum(figures.failed["non_idempotent"] for figures in plays),
        sum(figures.refused["non_idempotent"] for figures in plays),
        sum(figures.failed["idempotent"] for figures in plays),
        sum(figures.refused["idempotent"] for figures in plays),
    ]
    quantiles = [
        sum(figures.get_latency(quantile) for figures in plays) / len(plays)
        for quantile in (0.5, 0.95, 0.99)
    ]
    sent = sum(figures.news_bytes for figures in plays)
    rate = sent / len(plays) / RUN_SECONDS / ROUTERS
    counts = "".join(f"{column:8}" for column in columns)
    return counts + "".join(f"{value:8.3f}" for value in quantiles) + f"{rate:8.0f}"


def main(
    seeds: Annotated[int, typer.Option(help="Plays of each case.")] = 4,
) -> None:
    """Print the table."""
    names = ("once", "refused", "repeat", "refused", "p50 s", "p95 s", "p99 s", "B/s")
    print(f"{'failed or refused':30}" + "".join(f"{name:>8}" for name in names))
    for case in CASES:
        for is_published in (False, True):
            plays = [
                play(case, seed, is_published=is_published) for seed in range(seeds)
            ]
            label = f"{case.name}, {'pooled' if is_published else 'own'}"
            print(f"{label:30}{describe(plays)}", flush=True)


if __name__ == "__main__":
    typer.run(main)
