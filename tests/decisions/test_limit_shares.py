"""
What reaches servers that name a limit, summed over the routers of a fleet.

Windows count from three seconds on, when the routers have told each other
their demand.
"""

from __future__ import annotations

import random

from sycamorehaven.decisions.limit_shares import ArrivalRate, ServiceShares
from sycamorehaven.decisions.pacing import Pacer
from tests.support.limit_simulation import Fault, FleetPlan, LimitedFleet

SETTLED = 3.0
LEAST_USAGE = 0.9
"""Part of a limit that is used while the demand is above it."""
LIMITS = (6.4, 4.8, 3.5, 2.6)
LARGE_FLEET_DEMAND = 3.0
"""Demand of a large fleet as a multiple of the limits. Where a router gets
less than a request per second for a server's part, a saved request often
waits for the next arrival."""


def run_fleet(plan: FleetPlan) -> LimitedFleet:
    """Simulate a plan and check that no server gets more than it allows."""
    fleet = LimitedFleet(plan)
    fleet.run()
    for server in fleet.arrivals:
        assert fleet.count_excess(server, SETTLED) <= 0.0, (plan, server)
    return fleet


def draw_faults(source: random.Random, routers: int) -> tuple[Fault, ...]:
    """Return faults that befall up to half of the routers."""
    faults = []
    for kind in ("kill", "freeze", "cut", "join"):
        count = source.randint(0, routers // 2)
        chosen = frozenset(source.sample(range(routers), count))
        begins_at = 0.0 if kind == "join" else source.uniform(4.0, 14.0)
        ends_at = begins_at + source.uniform(0.5, 6.0)
        faults.append(Fault(kind, chosen, begins_at, ends_at))
    return tuple(faults)


def test_fleet_uses_a_limit_and_does_not_exceed_it() -> None:
    for skew in (0.0, 1.0):
        fleet = run_fleet(FleetPlan(6, LIMITS, demand=1.5, skew=skew, seconds=25.0))
        usages = [fleet.get_usage(server, 5.0, 25.0) for server in fleet.arrivals]
        assert min(usages) >= LEAST_USAGE, usages


def test_large_fleets_use_limits_and_do_not_exceed_them() -> None:
    for routers, servers, seconds in ((70, 24, 12.0), (195, 8, 12.0), (420, 2, 13.0)):
        limits = (LIMITS * servers)[:servers]
        demand = LARGE_FLEET_DEMAND * max(routers / servers / 4.0, 1.0)
        fleet = run_fleet(FleetPlan(routers, limits, demand, seconds=seconds))
        begin = seconds - 4.0
        usages = [fleet.get_usage(name, begin, seconds) for name in fleet.arrivals]
        assert sum(usages) / len(usages) >= LEAST_USAGE, (routers, usages)


def test_no_limit_is_exceeded_while_routers_join_die_freeze_and_are_cut_off() -> None:
    for seed in range(12):
        source = random.Random(seed)
        routers = source.choice((2, 3, 6, 6, 12))
        plan = FleetPlan(
            routers,
            tuple(source.uniform(0.2, 12.0) for _ in range(source.randint(1, 5))),
            demand=source.uniform(0.5, 6.0),
            skew=source.choice((0.0, 0.5, 2.0)),
            shift_seconds=source.uniform(3.0, 20.0),
            faults=draw_faults(source, routers),
            seed=seed,
        )
        run_fleet(plan)


def test_part_of_an_idle_router_goes_to_those_that_need_it() -> None:
    plan = FleetPlan(6, (6.0,), demand=2.0, skew=8.0, shift_seconds=12.0, seconds=24.0)
    fleet = run_fleet(plan)
    assert fleet.get_usage("s0", 5.0, 12.0) >= LEAST_USAGE
    # The demand moves to another router at second 12.
    assert fleet.get_usage("s0", 14.0, 24.0) >= LEAST_USAGE, [
        fleet.get_usage("s0", float(second), second + 1.0) for second in range(24)
    ]


def test_router_alone_gets_the_whole_limit() -> None:
    fleet = run_fleet(FleetPlan(1, (0.5, 3.0), demand=2.0, seconds=30.0))
    assert min(fleet.get_usage(name, 4.0, 30.0) for name in fleet.arrivals) >= 0.9


def test_demand_that_moves_is_followed_within_two_seconds() -> None:
    arrivals = ArrivalRate()
    for step in range(100):
        arrivals.record(step * 0.1)
    assert 8.0 < arrivals.get(10.0) < 12.0
    assert arrivals.get(12.5) < 5.0


def test_router_that_was_frozen_sends_nothing_until_it_was_heard_again() -> None:
    shares = ServiceShares("a1")
    for step in range(10):
        shares.record_arrival(step * 0.2)
        shares.tell_demand(0.5, 2, step * 0.2)
    assert shares.get_allowance("s1/1", 4.0, 0.5, 1.8, even_part=0.5).rate > 0.0
    shares.tell_demand(0.5, 2, 9.0)
    assert not shares.get_allowance("s1/1", 4.0, 0.5, 9.1, even_part=0.5).rate


def test_requests_are_saved_up_to_a_bound_only() -> None:
    pacer = Pacer(0.0)
    pacer.set_rate(2.0, 3.0, 0.0)
    assert pacer.get_opening(0.0) == 0.5
    pacer.set_rate(2.0, 3.0, 100.0)
    for _ in range(3):
        assert pacer.get_opening(100.0) <= 100.0
        pacer.take()
    assert pacer.get_opening(100.0) == 100.5
