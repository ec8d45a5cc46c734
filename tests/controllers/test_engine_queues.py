"""What a large fleet knows of the queues of its engines."""

from __future__ import annotations

from tests.support.engine_fleet_simulation import (
    PROMPT_TOKENS,
    EngineFleetSimulation,
    compute_rates,
)

ROUTERS = 70
"""Number of routers, and of engines, of a large fleet."""
LARGE_WORKSPACES = 4
"""Number of workspaces that ask for most of the capacity."""
SMALL_PART = 1 / 50
"""Rate of the small workspace as a fraction of a large one's."""
SMALLER_FLEET = 35
"""Routers and engines of a fleet that is simulated for longer."""
SETTLED_SECONDS = 2.0
"""Time after which engines are expected to be known."""


async def simulate(
    load: float, seconds: float, size: int = ROUTERS, paused: int = 0
) -> EngineFleetSimulation:
    """
    Run large workspaces and a small one.

    :param load: demand as a multiple of what the engines read.
    :param size: number of routers and of engines.
    :param paused: number of routers that do not answer.
    """
    simulation = EngineFleetSimulation(size, size)
    simulation.paused = set(range(paused))
    total = load * simulation.read_rate / PROMPT_TOKENS
    rates = compute_rates(total, LARGE_WORKSPACES, SMALL_PART)
    await simulation.run(rates, seconds)
    served = {name: simulation.get_begun_ratio(name) for name in rates}
    print(load, {name: round(ratio, 2) for name, ratio in served.items()})
    print("measured by expected", simulation.compare_with_expected(SETTLED_SECONDS))
    print("late", simulation.get_late_ratio(SETTLED_SECONDS))
    print("placed", [round(ratio, 2) for ratio in simulation.list_placed_ratios()])
    print("rejected while idle", simulation.rejected_while_idle)
    return simulation


async def check_small_workspace(load: float, seconds: float = 6.0) -> None:
    """Check that a small workspace gets what it asks, about when expected."""
    simulation = await simulate(load, seconds)
    assert simulation.get_begun_ratio("small") >= 0.9
    assert simulation.compare_with_expected(SETTLED_SECONDS) <= 1.5


# Routers that place by old news meet at engines that each takes for idle.
async def test_first_events_come_late_though_engines_keep_up() -> None:
    await check_small_workspace(load=0.6)


async def test_small_workspace_starves_at_engines_that_just_keep_up() -> None:
    await check_small_workspace(load=1.0)


async def test_small_workspace_starves_while_twice_too_much_is_asked() -> None:
    await check_small_workspace(load=2.0, seconds=4.0)


# A share of what was let through falls with what is refused.
async def test_placements_collapse_while_twice_too_much_is_asked() -> None:
    simulation = await simulate(2.0, seconds=10.0, size=SMALLER_FLEET)
    assert min(simulation.list_placed_ratios()[2:10]) >= 0.8


async def test_engines_whose_scheduler_is_paused_are_not_used() -> None:
    simulation = await simulate(0.5, seconds=5.0, size=SMALLER_FLEET, paused=12)
    assert simulation.get_begun_ratio("small") >= 0.9
    assert min(simulation.list_placed_ratios()[1:5]) >= 0.4
    assert simulation.get_late_ratio(SETTLED_SECONDS) <= 0.2
