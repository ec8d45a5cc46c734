"""The gap in service between workspaces stays bounded across the fleet."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

from tests.support.fleet import find_address, run_fleet
from tests.support.ledger import Ledger
from tests.support.shares import Shares, count_service, measure_gap
from tests.support.texts import ServerPlan, write_configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.support.fleet import Fleet
    from tests.support.shares import Sample

FLOODING, SMALL = "oakcourt", "elmplace"
LARGEST = 40
"""Tokens of the largest request."""
BOUND = 4 * LARGEST
"""Tokens: the widest gap between two workspaces that are both backlogged."""
LARGEST_TIME = 1.0
"""Seconds: more than the largest request takes on the slowest engine."""
SLOTS = 4
"""Concurrent requests of one engine."""


def plan_engines() -> list[ServerPlan]:
    """Return two engines of unequal speed in two failure domains."""
    return [
        ServerPlan("engine-1", "assistant", find_address(), SLOTS, "a", 0.010),
        ServerPlan("engine-2", "assistant", find_address(), SLOTS, "b", 0.020),
    ]


@contextlib.asynccontextmanager
async def run_flooded(
    domains: tuple[str, ...], weight: float = 1.0
) -> AsyncIterator[tuple[Fleet, Shares]]:
    """Give a fleet that one workspace floods through every router."""
    engines = plan_engines()
    text = write_configuration(engines, weights={SMALL: weight}).replace(
        "largest_cost = 2000.0", f"largest_cost = {float(LARGEST)}"
    )
    async with run_fleet(domains, engines, text) as fleet:
        shares = Shares(fleet, Ledger(fleet))
        sizes = random.Random(11)
        for router in range(len(domains)):
            shares.flood(FLOODING, router, 24, lambda: sizes.choice((5, 10, LARGEST)))
        await shares.watch(1.0)
        try:
            yield fleet, shares
        finally:
            await shares.stop()


def check_gap(samples: list[Sample], bound: int = BOUND, weight: float = 1.0) -> None:
    """Assert that both were served and the gap kept its bound; print it."""
    gap = measure_gap(samples, FLOODING, SMALL, weight)
    counts = {name: count_service(samples, name) for name in (FLOODING, SMALL)}
    figures = f"gap {gap:.0f} of {bound} tokens, served {counts}"
    print(figures)
    assert counts[SMALL] > 4 * BOUND, figures
    assert gap <= bound, figures


async def test_flood_through_all_routers_gives_no_more_service() -> None:
    async with run_flooded(("a", "a", "b")) as (_, shares):
        shares.flood(SMALL, 0, 24, lambda: 8)
        settling = await shares.watch(LARGEST_TIME)
        assert measure_gap(settling, FLOODING, SMALL) <= BOUND + 2 * SLOTS * LARGEST
        samples = await shares.watch(4.0)
        check_gap(samples)


async def test_weight_sets_the_share() -> None:
    async with run_flooded(("a", "b"), weight=3.0) as (_, shares):
        shares.flood(SMALL, 1, 36, lambda: LARGEST)
        await shares.watch(LARGEST_TIME)
        samples = await shares.watch(4.0)
        check_gap(samples, weight=3.0)


async def test_killed_router_does_not_widen_the_gap() -> None:
    async with run_flooded(("a", "a", "b")) as (fleet, shares):
        shares.flood(SMALL, 0, 24, lambda: 8)
        await shares.watch(LARGEST_TIME)
        before = len(shares.samples)
        await fleet.kill(fleet.routers[1].host)
        await shares.watch(3.0)
        await fleet.start_router(fleet.routers[1])
        await shares.watch(3.0)
        samples = shares.samples[before:]
        check_gap(samples)


async def test_gap_is_bounded_again_after_a_cut_has_healed() -> None:
    async with run_flooded(("a", "a", "b", "b")) as (fleet, shares):
        shares.flood(SMALL, 0, 24, lambda: 8)
        await shares.watch(LARGEST_TIME)
        fleet.cut(fleet.list_domain("a"), fleet.list_domain("b"))
        await fleet.wait_for_members({0: 2, 3: 2})
        during = await shares.watch(2.0)
        assert count_service(during, FLOODING) > 0
        assert count_service(during, SMALL) > 0
        fleet.heal()
        await fleet.wait_for_members({0: 4, 3: 4})
        await shares.watch(LARGEST_TIME)
        samples = await shares.watch(4.0)
        check_gap(samples, 2 * BOUND)
