"""
Bounds on fairness, utilisation, control traffic and the cost of a grant.

The scenarios run on a virtual clock with fixed seeds.
"""

from __future__ import annotations

from benchmarks.baselines import StaticSplit
from benchmarks.decision_cost import MAX_READS_PER_GRANT, SIZES, measure_cost
from benchmarks.fleet_plan import FleetPlan
from benchmarks.scenarios import (
    MAX_GAP_REQUESTS,
    Scenario,
    build_flood_flows,
    list_missed_bounds,
    list_scenarios,
)


def find_scenario(name: str) -> Scenario:
    """Return the first scenario whose name starts with ``name``."""
    return next(s for s in list_scenarios() if s.name.startswith(name))


def assert_within_bounds(name: str) -> None:
    """Run a scenario and check its figures against all bounds."""
    figures = find_scenario(name).run()
    assert list_missed_bounds(figures) == [], figures


def test_flood_through_all_routers() -> None:
    assert_within_bounds("flood through all routers")


def test_tenants_at_different_routers() -> None:
    assert_within_bounds("tenants at different routers")


def test_many_schedulers() -> None:
    assert_within_bounds("sixteen schedulers")


def test_workspaces_at_different_schedulers() -> None:
    scenario = find_scenario("one tenant behind")._replace(seconds=160.0)
    figures = scenario.run()
    assert list_missed_bounds(figures) == [], figures


def test_weights() -> None:
    assert_within_bounds("weights")


def test_routers_killed_and_restarted() -> None:
    assert_within_bounds("routers killed")


def test_domain_cut_and_healed() -> None:
    assert_within_bounds("domain cut")


def test_messages_lost_and_duplicated() -> None:
    assert_within_bounds("20 % lost, 10 % doubled")


def test_wrong_hints() -> None:
    assert_within_bounds("hints ten times too low")
    assert_within_bounds("hints wrong for one")


def test_static_split_exceeds_the_gap_bound() -> None:
    baseline = StaticSplit(FleetPlan(), build_flood_flows())
    baseline.run(120.0)
    assert baseline.meter.gap > MAX_GAP_REQUESTS


def test_grant_reads_few_totals_at_any_size() -> None:
    for size in SIZES:
        assert measure_cost(size).reads <= MAX_READS_PER_GRANT, size
