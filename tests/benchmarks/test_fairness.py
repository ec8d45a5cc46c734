"""The stated bounds on the given-clock bench, fixed seeds."""

from __future__ import annotations

from benchmarks.baselines import StaticSplit
from benchmarks.decision_cost import MOST_READS, SIZES, measure_cost
from benchmarks.plan import Plan
from benchmarks.scenarios import (
    LARGEST_GAP,
    Scenario,
    flood,
    list_misses,
    list_scenarios,
)


def find_scenario(name: str) -> Scenario:
    """Return the scenario whose name begins so."""
    return next(s for s in list_scenarios() if s.name.startswith(name))


def check(name: str) -> None:
    """Run a scenario and hold it against the bounds."""
    figures = find_scenario(name).run()
    assert list_misses(figures) == [], figures


def test_flood_through_all_routers() -> None:
    check("flood through all routers")


def test_tenants_at_different_routers() -> None:
    check("tenants at different routers")


def test_many_schedulers() -> None:
    check("sixteen schedulers")


def test_workspaces_at_different_schedulers() -> None:
    scenario = find_scenario("one tenant behind")._replace(seconds=160.0)
    figures = scenario.run()
    assert list_misses(figures) == [], figures


def test_weights() -> None:
    check("weights")


def test_routers_killed_and_restarted() -> None:
    check("routers killed")


def test_domain_cut_and_healed() -> None:
    check("domain cut")


def test_messages_lost_and_doubled() -> None:
    check("20 % lost, 10 % doubled")


def test_wrong_hints() -> None:
    check("hints ten times too low")
    check("hints wrong for one")


def test_bound_tells_fair_sharing_from_none() -> None:
    baseline = StaticSplit(Plan(), flood())
    baseline.run(120.0)
    assert baseline.meter.gap > LARGEST_GAP


def test_grant_reads_few_totals_at_any_size() -> None:
    for size in SIZES:
        assert measure_cost(size).reads <= MOST_READS, size
