"""Runs whose figures are held against the stated bounds."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.fleet import Fleet
from benchmarks.plan import Plan
from benchmarks.workload import Flow

if TYPE_CHECKING:
    from benchmarks.meter import Figures

LARGEST_GAP = 4.0
"""Largest requests by which two backlogged workspaces may differ."""
LEAST_UTILISATION = 0.95
"""Busy slot time per slot time while work waits."""
MOST_CONTROL = 21_000.0
"""Bytes per second that a router may send."""
EVERYWHERE = tuple(range(6))
SETTLED = 5.0
"""Seconds after a cut is healed from which gaps are measured again."""

Action = Callable[[Fleet], None]


class Scenario(NamedTuple):
    """
    A run.

    :ivar name: what it shows.
    :ivar plan: the fleet.
    :ivar flows: what workspaces ask for; the last one's waits are measured.
    :ivar actions: what happens, and after how many seconds.
    :ivar seconds: how long it runs.
    """

    name: str
    plan: Plan
    flows: list[Flow]
    actions: tuple[tuple[float, Action], ...] = ()
    seconds: float = 120.0

    def run(self) -> Figures:
        """Run it and return its figures."""
        fleet = Fleet(self.plan, self.flows)
        for after, action in self.actions:
            fleet.run(fleet.start + after - fleet.events.now)
            action(fleet)
        fleet.run(fleet.start + self.seconds - fleet.events.now)
        return fleet.summarise()


def list_misses(figures: Figures) -> list[str]:
    """Return which of the stated bounds a run misses."""
    checks = {
        "gap": figures.gap < LARGEST_GAP,
        "utilisation": figures.utilisation >= LEAST_UTILISATION,
        "control": figures.control <= MOST_CONTROL,
        "run twice": figures.twice == 0,
    }
    return [name for name, holds in checks.items() if not holds]


def flood(hint: float = 1.0) -> list[Flow]:
    """Return one workspace at every router and two at one router each."""
    return [
        Flow("flood", EVERYWHERE, depth=20, hint=hint),
        Flow("elmplace", (1,), depth=6, start=10.0, hint=hint),
        Flow("oakcourt", (0,), depth=6, start=10.0, hint=hint),
    ]


def spread() -> list[Flow]:
    """Return six workspaces, each at a router of its own."""
    return [Flow(f"tenant-{index}", (index,), depth=20) for index in range(6)]


def narrow() -> list[Flow]:
    """Return two workspaces at two of the routers."""
    return [Flow("elmplace", (1,), depth=20), Flow("oakcourt", (0,), depth=20)]


def list_scenarios() -> list[Scenario]:
    """Return every scenario."""
    return [*list_loads(), *list_failures(), *list_hints()]


def list_loads() -> list[Scenario]:
    """Return the scenarios without a failure."""
    plan = Plan()
    return [
        Scenario("flood through all routers", plan, flood()),
        Scenario("tenants at different routers", plan, spread()),
        Scenario("two routers only", plan, narrow()),
        Scenario(
            "sixteen schedulers, tenants apart",
            Plan(24, 6, Plan().speeds * 3 + (40.0,), 4),
            [Flow(f"tenant-{i}", (i,), depth=12 + 8 * i) for i in range(8)],
            seconds=80.0,
        ),
        Scenario(
            "one tenant behind a third of the schedulers",
            Plan(24, 6, Plan().speeds * 4 + (40.0,) * 4, 3),
            [
                *(Flow(f"tenant-{i}", tuple(range(24)), depth=4) for i in range(3)),
                Flow("apart", (0,), depth=40),
            ],
            seconds=80.0,
        ),
        Scenario(
            "large and small requests",
            plan,
            [
                Flow("long", EVERYWHERE, depth=20, smallest=1_000.0),
                Flow("short", (0,), depth=20, largest=50.0),
            ],
        ),
        Scenario(
            "weights 3 to 1",
            plan,
            [
                Flow("heavy", EVERYWHERE, depth=20, weight=3.0),
                Flow("light", EVERYWHERE, depth=20),
            ],
        ),
    ]


def list_failures() -> list[Scenario]:
    """Return the scenarios in which routers or messages are lost."""
    plan = Plan()
    return [
        Scenario(
            "routers killed and restarted",
            plan,
            flood(),
            (
                (30.0, lambda fleet: fleet.kill(2, 5.0)),
                (50.0, lambda fleet: fleet.kill(3, 5.0)),
                (70.0, lambda fleet: fleet.kill(2)),
            ),
        ),
        Scenario(
            "domain cut and healed",
            plan,
            spread(),
            (
                (30.0, lambda fleet: fleet.cut({"domain-0"})),
                (60.0, lambda fleet: fleet.heal()),
                (60.0 + SETTLED, lambda fleet: fleet.meter.reset()),
            ),
            180.0,
        ),
        Scenario("20 % of messages lost", plan._replace(loss=0.2), flood()),
        Scenario(
            "20 % lost, 10 % doubled, tenants apart",
            plan._replace(loss=0.2, doubling=0.1),
            spread(),
        ),
    ]


def list_hints() -> list[Scenario]:
    """Return the scenarios with wrong hints or little demand."""
    plan = Plan()
    return [
        Scenario("hints ten times too high", plan, flood(10.0)),
        Scenario("hints ten times too low", plan, flood(0.1)),
        Scenario(
            "hints wrong for one workspace only",
            plan,
            [*flood()[:2], flood(0.1)[2]],
        ),
        Scenario(
            "small workspace that comes and goes",
            plan,
            [
                Flow("flood", EVERYWHERE, depth=20),
                Flow("small", EVERYWHERE, rate=0.2, largest=100.0),
            ],
        ),
    ]
