"""Simulated runs whose figures are checked against the bounds."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.fleet_plan import FleetPlan
from benchmarks.simulated_fleet import SimulatedFleet
from benchmarks.workload import Flow

if TYPE_CHECKING:
    from benchmarks.fairness_meter import RunFigures

MAX_GAP_REQUESTS = 4.0
"""
Bound on the difference of service between two backlogged workspaces.

The unit is the largest request.
"""
MIN_UTILISATION_RATIO = 0.95
"""Least ratio of slot time that is busy while requests wait."""
MAX_CONTROL_BYTES_PER_SECOND = 21_000.0
"""Bound on the control traffic that one router sends."""
ALL_ROUTERS = tuple(range(6))
HEAL_SETTLE_SECONDS = 5.0
"""Time after the end of a partition until gaps are measured again."""

FleetAction = Callable[[SimulatedFleet], None]


class Scenario(NamedTuple):
    """
    Description of one run.

    :ivar name: description for the table.
    :ivar plan: the fleet to build.
    :ivar flows: the requests that the workspaces send; the waiting times of
        the last flow's workspace are measured.
    :ivar actions: changes to the fleet, each with the seconds after the start
        at which it takes place.
    :ivar seconds: length of the run.
    """

    name: str
    plan: FleetPlan
    flows: list[Flow]
    actions: tuple[tuple[float, FleetAction], ...] = ()
    seconds: float = 120.0

    def run(self) -> RunFigures:
        """Run the scenario and return its figures."""
        fleet = SimulatedFleet(self.plan, self.flows)
        for after, action in self.actions:
            fleet.run(fleet.started_at + after - fleet.events.now)
            action(fleet)
        fleet.run(fleet.started_at + self.seconds - fleet.events.now)
        return fleet.summarise()


def list_missed_bounds(figures: RunFigures) -> list[str]:
    """Return the names of the bounds that a run misses."""
    checks = {
        "gap": figures.gap < MAX_GAP_REQUESTS,
        "utilisation": figures.utilisation >= MIN_UTILISATION_RATIO,
        "control": figures.control_bytes_per_second <= MAX_CONTROL_BYTES_PER_SECOND,
        "run twice": figures.repeated_requests == 0,
    }
    return [name for name, holds in checks.items() if not holds]


def build_flood_flows(hint_ratio: float = 1.0) -> list[Flow]:
    """Return flows of a workspace at all routers and of two at one each."""
    return [
        Flow("flood", ALL_ROUTERS, queue_depth=20, hint_ratio=hint_ratio),
        Flow("elmplace", (1,), queue_depth=6, start=10.0, hint_ratio=hint_ratio),
        Flow("oakcourt", (0,), queue_depth=6, start=10.0, hint_ratio=hint_ratio),
    ]


def build_spread_flows() -> list[Flow]:
    """Return flows of six workspaces, each at a router of its own."""
    return [Flow(f"tenant-{index}", (index,), queue_depth=20) for index in range(6)]


def build_two_router_flows() -> list[Flow]:
    """Return flows of two workspaces, each at one of two routers."""
    return [
        Flow("elmplace", (1,), queue_depth=20),
        Flow("oakcourt", (0,), queue_depth=20),
    ]


def list_scenarios() -> list[Scenario]:
    """Return every scenario."""
    return [*list_load_scenarios(), *list_failure_scenarios(), *list_hint_scenarios()]


def list_load_scenarios() -> list[Scenario]:
    """Return the scenarios without a failure."""
    plan = FleetPlan()
    return [
        Scenario("flood through all routers", plan, build_flood_flows()),
        Scenario("tenants at different routers", plan, build_spread_flows()),
        Scenario("two routers only", plan, build_two_router_flows()),
        Scenario(
            "sixteen schedulers, tenants apart",
            FleetPlan(24, 6, FleetPlan().server_speeds * 3 + (40.0,), 4),
            [Flow(f"tenant-{i}", (i,), queue_depth=12 + 8 * i) for i in range(8)],
            seconds=80.0,
        ),
        Scenario(
            "one tenant behind a third of the schedulers",
            FleetPlan(24, 6, FleetPlan().server_speeds * 4 + (40.0,) * 4, 3),
            [
                *(
                    Flow(f"tenant-{i}", tuple(range(24)), queue_depth=4)
                    for i in range(3)
                ),
                Flow("apart", (0,), queue_depth=40),
            ],
            seconds=80.0,
        ),
        Scenario(
            "large and small requests",
            plan,
            [
                Flow("long", ALL_ROUTERS, queue_depth=20, smallest_cost=1_000.0),
                Flow("short", (0,), queue_depth=20, largest_cost=50.0),
            ],
        ),
        Scenario(
            "weights 3 to 1",
            plan,
            [
                Flow("heavy", ALL_ROUTERS, queue_depth=20, weight=3.0),
                Flow("light", ALL_ROUTERS, queue_depth=20),
            ],
        ),
    ]


def list_failure_scenarios() -> list[Scenario]:
    """Return the scenarios in which routers or messages are lost."""
    plan = FleetPlan()
    return [
        Scenario(
            "routers killed and restarted",
            plan,
            build_flood_flows(),
            (
                (30.0, lambda fleet: fleet.kill_router(2, 5.0)),
                (50.0, lambda fleet: fleet.kill_router(3, 5.0)),
                (70.0, lambda fleet: fleet.kill_router(2)),
            ),
        ),
        Scenario(
            "domain cut and healed",
            plan,
            build_spread_flows(),
            (
                (30.0, lambda fleet: fleet.partition_domains({"domain-0"})),
                (60.0, lambda fleet: fleet.heal_partition()),
                (60.0 + HEAL_SETTLE_SECONDS, lambda fleet: fleet.meter.reset()),
            ),
            180.0,
        ),
        Scenario(
            "20 % of messages lost", plan._replace(loss_ratio=0.2), build_flood_flows()
        ),
        Scenario(
            "20 % lost, 10 % doubled, tenants apart",
            plan._replace(loss_ratio=0.2, duplication_ratio=0.1),
            build_spread_flows(),
        ),
    ]


def list_hint_scenarios() -> list[Scenario]:
    """Return the scenarios with wrong cost hints or little demand."""
    plan = FleetPlan()
    return [
        Scenario("hints ten times too high", plan, build_flood_flows(10.0)),
        Scenario("hints ten times too low", plan, build_flood_flows(0.1)),
        Scenario(
            "hints wrong for one workspace only",
            plan,
            [*build_flood_flows()[:2], build_flood_flows(0.1)[2]],
        ),
        Scenario(
            "small workspace that comes and goes",
            plan,
            [
                Flow("flood", ALL_ROUTERS, queue_depth=20),
                Flow("small", ALL_ROUTERS, rate=0.2, largest_cost=100.0),
            ],
        ),
    ]
