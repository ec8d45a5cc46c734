"""Engines that come back cold under twice the load of a large fleet."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING
from unittest import mock

from sycamorehaven.decisions.roles import choose_engine_scheduler
from tests.support import engine_fleet_simulation
from tests.support.engine_fleet_simulation import (
    COLD_ALLOWANCE,
    COLD_SECONDS,
    EngineFleetSimulation,
    compute_rates,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTERS, ENGINES = 70, 24
SMALLER_ROUTERS, SMALLER_ENGINES = 28, 9
"""A fleet that just has schedulers."""
COLD_RATE = 8.8
BOUND = COLD_ALLOWANCE.compute_bound(COLD_RATE)
ENGINE_RATE = 16 / 0.38
"""Requests per second that a warm engine serves."""
CALM_SECONDS, BUSY_SECONDS = 2.5, 4.5
"""Times with little load and with twice the load. A second lies between."""
STOP_SECONDS, START_SECONDS = 4.2, 4.9
"""When engines stop and start; schedulers are established by then."""
MAX_LAG_SECONDS = 1.0
"""Longest time until a router knows of it."""
DISTURB_SECONDS, DETECTION_SECONDS = 6.0, 0.7
"""When a fault happens, and time until all routers know of it."""


async def simulate(
    routers: int,
    engines: int,
    disturb: Callable[[EngineFleetSimulation, set[str]], None] | None = None,
) -> dict[str, list[float]]:
    """
    Return when the engines that came back got requests while they were cold.

    :param disturb: called with the schedulers of these engines.
    """
    simulation = EngineFleetSimulation(routers, engines, COLD_RATE)
    cold = [f"s{number}" for number in range(0, engines, 3)]
    schedule = simulation.schedule
    schedule(STOP_SECONDS, lambda: simulation.stop_engines(cold))
    schedule(START_SECONDS, lambda: simulation.start_engines(cold, MAX_LAG_SECONDS))
    if disturb is not None:
        domains = simulation.boards[0].members.map_failure_domains()
        schedulers = {
            choose_engine_scheduler(server.id, server.failure_domain, domains) or ""
            for server in simulation.build_snapshot().servers
            if server.id in cold
        }
        schedule(DISTURB_SECONDS, lambda: disturb(simulation, schedulers))
    for load, seconds in ((0.1, CALM_SECONDS), (2.0, BUSY_SECONDS)):
        # Short answers free the slots of an engine many times a second.
        with mock.patch.multiple(
            engine_fleet_simulation, PROMPT_TOKENS=1_000, STREAM_SECONDS=0.3
        ):
            rates = compute_rates(load * engines * ENGINE_RATE, 4, 0.02)
            await simulation.run(rates, seconds)
    ends_at = 1_000.0 + START_SECONDS + COLD_SECONDS
    arrivals = {
        name: [time for time in simulation.engines[name].arrivals if time < ends_at]
        for name in cold
    }
    fullest = [
        max(bisect.bisect_left(times, t + 1.0) - n for n, t in enumerate(times))
        for times in arrivals.values()
    ]
    print("fullest seconds", fullest)
    assert max(fullest) <= BOUND
    return arrivals


def remove_members(
    simulation: EngineFleetSimulation, hosts: set[str], step: int = 1
) -> None:
    """Let each router, or each second one, see some hosts no longer."""
    for board in simulation.boards[::step]:
        if board.identity.host not in hosts:
            members = {member.host: member for member in board.members.list()}
            board.members.replace(
                {host: member for host, member in members.items() if host not in hosts}
            )


# All routers prefer engines that have nothing to do.
async def test_routers_overload_engines_that_come_back_cold() -> None:
    for times in (await simulate(ROUTERS, ENGINES)).values():
        assert len(times) >= COLD_RATE * (COLD_SECONDS - MAX_LAG_SECONDS) * 0.8


# Routers that place by the news while a scheduler is silent send bursts.
async def test_cold_engines_are_overloaded_once_their_scheduler_is_killed() -> None:
    def kill(simulation: EngineFleetSimulation, hosts: set[str]) -> None:
        simulation.paused = {int(host.removeprefix("a")) for host in hosts}
        simulation.schedule(
            DETECTION_SECONDS, lambda: remove_members(simulation, hosts)
        )

    arrivals = await simulate(SMALLER_ROUTERS, SMALLER_ENGINES, kill)
    detected_at = 1_000.0 + DISTURB_SECONDS + DETECTION_SECONDS
    reduced_rate = COLD_RATE * (COLD_ALLOWANCE.overshoot - 1.0)
    for times in arrivals.values():
        after_kill = [time for time in times if time > detected_at]
        assert 0 < len(after_kill) <= reduced_rate * COLD_SECONDS


# Each of two schedulers knows only what it has admitted itself.
async def test_two_schedulers_overload_a_cold_engine_together() -> None:
    await simulate(
        SMALLER_ROUTERS,
        SMALLER_ENGINES,
        lambda simulation, hosts: remove_members(simulation, hosts, step=2),
    )
