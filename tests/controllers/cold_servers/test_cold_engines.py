"""Engines that come back cold in front of a large fleet."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

from sycamorehaven.decisions.roles import choose_engine_scheduler
from tests.support.engine_fleet_simulation import (
    COLD_ALLOWANCE,
    COLD_SECONDS,
    EngineFleetSimulation,
    Work,
    compute_rates,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sycamorehaven.blackboard.board import Blackboard

ROUTERS = 70
"""Routers of a large fleet."""
SMALLER_FLEET = 28
"""Routers of a fleet that just has schedulers."""
ENGINES = 24
"""Engines in front of which they stand."""
WORK = Work(prompt_tokens=1_000, stream_seconds=0.3)
"""Short answers, by which an engine's slots are freed many times a second."""
COLD_RATE = 8.8
"""Requests per second that a cold engine tolerates."""
BOUND = COLD_ALLOWANCE.compute_bound(COLD_RATE)
"""Requests that a cold engine may get in any one second."""
ENGINE_RATE = 16 / 0.38
"""Requests per second that a warm engine serves."""
CALM_SECONDS = 2.5
"""Time with little load; another second passes until all is answered."""
STOP_SECONDS = 4.2
"""When the engines stop; schedulers are established by then."""
START_SECONDS = 4.9
"""When they come back."""
DISTURB_SECONDS = 6.0
"""When something else happens."""
DETECTION_SECONDS = 0.7
"""Time until all routers know that others are dead."""
REDUCED_RATE = COLD_RATE * (COLD_ALLOWANCE.overshoot - 1.0)
"""Requests per second that a new scheduler admits to a cold engine."""
BUSY_SECONDS = 4.5
"""Time with twice the load that the engines serve."""
MAX_LAG_SECONDS = 1.0
"""Longest time until a router knows of it."""


def count_fullest_second(arrivals: list[float]) -> int:
    """Return how many requests an engine got in its fullest second."""
    return max(
        (bisect.bisect_left(arrivals, t + 1.0) - n for n, t in enumerate(arrivals)),
        default=0,
    )


def list_cold_engines(engines: int) -> list[str]:
    """Return the third of the engines that comes back cold."""
    return [f"s{number}" for number in range(0, engines, 3)]


async def simulate(
    routers: int,
    engines: int,
    disturb: Callable[[EngineFleetSimulation], None] | None = None,
) -> EngineFleetSimulation:
    """
    Let a third of the engines come back cold under twice the load.

    :param disturb: called when the routers know of them.
    """
    simulation = EngineFleetSimulation(routers, engines, WORK, COLD_RATE)
    cold = list_cold_engines(engines)
    simulation.schedule(STOP_SECONDS, lambda: simulation.stop_engines(cold))
    simulation.schedule(
        START_SECONDS, lambda: simulation.start_engines(cold, MAX_LAG_SECONDS)
    )
    if disturb is not None:
        simulation.schedule(DISTURB_SECONDS, lambda: disturb(simulation))
    capacity = engines * ENGINE_RATE
    await simulation.run(compute_rates(0.1 * capacity, 4, 0.02), CALM_SECONDS)
    await simulation.run(compute_rates(2.0 * capacity, 4, 0.02), BUSY_SECONDS)
    fullest = {
        name: count_fullest_second(simulation.list_arrivals(name, COLD_SECONDS))
        for name in cold
    }
    print("fullest seconds", fullest)
    assert max(fullest.values()) <= BOUND
    return simulation


def remove_members(board: Blackboard, hosts: Collection[str]) -> None:
    """Let a router see some hosts no longer."""
    board.members.replace(
        {
            member.host: member
            for member in board.members.list()
            if member.host not in hosts
        }
    )


def find_schedulers(simulation: EngineFleetSimulation) -> set[str]:
    """Return the hosts that schedule the cold engines."""
    domains = simulation.boards[0].members.map_failure_domains()
    cold = list_cold_engines(len(simulation.engines))
    servers = simulation.build_snapshot().servers
    return {
        host
        for server in servers
        if server.id in cold
        and (host := choose_engine_scheduler(server.id, server.failure_domain, domains))
    }


# All routers prefer engines that have nothing to do.
async def test_routers_overload_engines_that_come_back_cold() -> None:
    simulation = await simulate(ROUTERS, ENGINES)
    for name in list_cold_engines(ENGINES):
        arrivals = simulation.list_arrivals(name, COLD_SECONDS)
        assert len(arrivals) >= COLD_RATE * (COLD_SECONDS - MAX_LAG_SECONDS) * 0.8


# Routers that place by the news while a scheduler is silent send bursts.
async def test_cold_engines_are_overloaded_once_their_scheduler_is_killed() -> None:
    def kill(simulation: EngineFleetSimulation) -> None:
        hosts = find_schedulers(simulation)
        simulation.paused = {int(host.removeprefix("a")) for host in hosts}

        def remove() -> None:
            for board in simulation.boards:
                remove_members(board, hosts)

        simulation.schedule(DETECTION_SECONDS, remove)

    simulation = await simulate(SMALLER_FLEET, SMALLER_FLEET // 3, kill)
    resumed_at = 1_000.0 + DISTURB_SECONDS + DETECTION_SECONDS
    for name in list_cold_engines(SMALLER_FLEET // 3):
        arrivals = simulation.list_arrivals(name, COLD_SECONDS)
        after_kill = [time for time in arrivals if time > resumed_at]
        assert len(after_kill) <= REDUCED_RATE * COLD_SECONDS
        assert after_kill


# Each of two schedulers knows only what it has admitted itself.
async def test_two_schedulers_overload_a_cold_engine_together() -> None:
    def divide(simulation: EngineFleetSimulation) -> None:
        hosts = find_schedulers(simulation)
        for number, board in enumerate(simulation.boards):
            if number % 2 and board.identity.host not in hosts:
                remove_members(board, hosts)

    await simulate(SMALLER_FLEET, SMALLER_FLEET // 3, divide)
