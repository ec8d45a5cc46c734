"""The stated bounds on the given-clock bench, fixed seeds."""

from __future__ import annotations

from benchmarks.fleet import Fleet, Plan
from benchmarks.workload import Flow

LARGEST_GAP = 4.0
"""Largest requests by which two backlogged workspaces may differ."""
LEAST_UTILISATION = 0.95
MOST_CONTROL = 21_000.0
"""Bytes per second that a router may send."""
EVERYWHERE = tuple(range(6))


def test_flood_through_all_routers_keeps_the_bounds() -> None:
    fleet = Fleet(
        Plan(),
        [
            Flow("flood", EVERYWHERE, depth=20),
            Flow("oak", (0,), depth=6, start=10.0),
            Flow("elm", (1,), depth=6, start=10.0),
        ],
    )
    fleet.run(120.0)
    figures = fleet.summarise()
    assert figures.gap < LARGEST_GAP
    assert figures.utilisation >= LEAST_UTILISATION
    assert figures.control <= MOST_CONTROL
    assert figures.twice == 0
