"""Test that the gap in service between workspaces is bounded fleet-wide."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.fleet import allocate_address, run_fleet
from tests.support.recording_client import RecordingClient
from tests.support.service_sampler import (
    ServiceSampler,
    count_received_tokens,
    measure_gap,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.support.fleet import Fleet
    from tests.support.service_sampler import ServiceSample

FLOODING_WORKSPACE, SMALL_WORKSPACE = "oakcourt", "elmplace"
LARGEST_REQUEST_TOKENS = 40
"""Completion length of the largest request in tokens."""
GAP_BOUND_TOKENS = 4 * LARGEST_REQUEST_TOKENS
"""Largest gap in tokens between two workspaces that are both backlogged."""
LARGEST_REQUEST_SECONDS = 1.0
"""Seconds that exceed the largest request's run on the slowest engine."""
SLOTS_PER_ENGINE = 4
"""Number of concurrent requests of one engine."""


def create_engine_plans() -> list[ServerPlan]:
    """Return engines of different speed in two failure domains."""
    return [
        ServerPlan(
            "engine-1", "assistant", allocate_address(), SLOTS_PER_ENGINE, "a", 0.010
        ),
        ServerPlan(
            "engine-2", "assistant", allocate_address(), SLOTS_PER_ENGINE, "b", 0.020
        ),
    ]


@contextlib.asynccontextmanager
async def run_flooded_fleet(
    domains: tuple[str, ...], weight: float = 1.0
) -> AsyncIterator[tuple[Fleet, ServiceSampler]]:
    """Run a fleet that one workspace floods through every router."""
    engines = create_engine_plans()
    text = build_configuration_text(engines, weights={SMALL_WORKSPACE: weight}).replace(
        "largest_cost = 2000.0", f"largest_cost = {float(LARGEST_REQUEST_TOKENS)}"
    )
    async with run_fleet(domains, engines, text) as fleet:
        sampler = ServiceSampler(fleet, RecordingClient(fleet))
        sizes = random.Random(11)
        for router in range(len(domains)):
            sampler.start_callers(
                FLOODING_WORKSPACE,
                router,
                24,
                lambda: sizes.choice((5, 10, LARGEST_REQUEST_TOKENS)),
            )
        await sampler.collect_samples(1.0)
        try:
            yield fleet, sampler
        finally:
            await sampler.stop()


def check_gap(
    samples: list[ServiceSample], bound: int = GAP_BOUND_TOKENS, weight: float = 1.0
) -> None:
    """Print the gap; assert its bound and that both workspaces were served."""
    gap = measure_gap(samples, FLOODING_WORKSPACE, SMALL_WORKSPACE, weight)
    counts = {
        name: count_received_tokens(samples, name)
        for name in (FLOODING_WORKSPACE, SMALL_WORKSPACE)
    }
    figures = f"gap {gap:.0f} of {bound} tokens, served {counts}"
    print(figures)
    assert counts[SMALL_WORKSPACE] > 4 * GAP_BOUND_TOKENS, figures
    assert gap <= bound, figures


async def test_flood_through_all_routers_gives_no_more_service() -> None:
    async with run_flooded_fleet(("a", "a", "b")) as (_, sampler):
        sampler.start_callers(SMALL_WORKSPACE, 0, 24, lambda: 8)
        settling = await sampler.collect_samples(LARGEST_REQUEST_SECONDS)
        assert (
            measure_gap(settling, FLOODING_WORKSPACE, SMALL_WORKSPACE)
            <= GAP_BOUND_TOKENS + 2 * SLOTS_PER_ENGINE * LARGEST_REQUEST_TOKENS
        )
        samples = await sampler.collect_samples(4.0)
        check_gap(samples)


async def test_weight_sets_the_share() -> None:
    async with run_flooded_fleet(("a", "b"), weight=3.0) as (_, sampler):
        sampler.start_callers(SMALL_WORKSPACE, 1, 36, lambda: LARGEST_REQUEST_TOKENS)
        await sampler.collect_samples(LARGEST_REQUEST_SECONDS)
        samples = await sampler.collect_samples(4.0)
        check_gap(samples, weight=3.0)


async def test_killed_router_does_not_widen_the_gap() -> None:
    async with run_flooded_fleet(("a", "a", "b")) as (fleet, sampler):
        sampler.start_callers(SMALL_WORKSPACE, 0, 24, lambda: 8)
        await sampler.collect_samples(LARGEST_REQUEST_SECONDS)
        before = len(sampler.samples)
        await fleet.kill(fleet.routers[1].host)
        await sampler.collect_samples(3.0)
        await fleet.start_router(fleet.routers[1])
        await sampler.collect_samples(3.0)
        samples = sampler.samples[before:]
        check_gap(samples)


async def test_gap_is_bounded_again_after_a_partition() -> None:
    async with run_flooded_fleet(("a", "a", "b", "b")) as (fleet, sampler):
        sampler.start_callers(SMALL_WORKSPACE, 0, 24, lambda: 8)
        await sampler.collect_samples(LARGEST_REQUEST_SECONDS)
        fleet.cut_groups(
            fleet.list_routers_in_domain("a"), fleet.list_routers_in_domain("b")
        )
        await fleet.wait_for_members({0: 2, 3: 2})
        during = await sampler.collect_samples(2.0)
        assert count_received_tokens(during, FLOODING_WORKSPACE) > 0
        assert count_received_tokens(during, SMALL_WORKSPACE) > 0
        fleet.restore_connections()
        await fleet.wait_for_members({0: 4, 3: 4})
        await sampler.collect_samples(LARGEST_REQUEST_SECONDS)
        samples = await sampler.collect_samples(4.0)
        check_gap(samples, 2 * GAP_BOUND_TOKENS)
