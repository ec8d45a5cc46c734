"""
Reply times during floods, and the completion of preempted reports.

The fleets run on a virtual clock with fixed seeds.
"""

from __future__ import annotations

from benchmarks.fleet_plan import FleetPlan
from benchmarks.promptness import (
    ALL_ROUTERS,
    FLOOD_FLOW,
    QUESTION_FLOW,
    REPORT_COST,
    REPORT_FLOW,
    PreemptingFleet,
    run_fleet,
)
from benchmarks.scenarios import MAX_GAP_REQUESTS, MIN_UTILISATION_RATIO
from benchmarks.workload import Flow
from sycamorehaven.call import BATCH
from sycamorehaven.decisions.preemption import MAX_PREEMPTIONS


def test_small_workspace_is_answered_as_promptly_during_floods() -> None:
    quiet = run_fleet().measure_replies(QUESTION_FLOW.workspace)
    bound = 2.0 * quiet.p99_seconds + quiet.mean_run_seconds
    for flood in (FLOOD_FLOW, REPORT_FLOW):
        fleet = run_fleet(flood)
        replies = fleet.measure_replies(QUESTION_FLOW.workspace)
        assert replies.answered > 0.9 * quiet.answered
        assert replies.p99_seconds <= bound, (flood, replies, quiet)
        assert fleet.summarise().utilisation >= MIN_UTILISATION_RATIO
        assert fleet.max_preemptions <= MAX_PREEMPTIONS


def test_reports_end_under_floods_of_their_own_workspace_and_of_others() -> None:
    own = Flow(
        "oakcourt", ALL_ROUTERS, queue_depth=20, smallest_cost=20.0, largest_cost=40.0
    )
    reports = Flow(
        "oakcourt", ALL_ROUTERS, rate=0.2, stop=9.0, smallest_cost=REPORT_COST
    )
    fleet = PreemptingFleet(FleetPlan(), [own, reports, FLOOD_FLOW, QUESTION_FLOW])
    fleet.run(150.0)
    asked = fleet.submitted_counts["oakcourt", BATCH]
    assert asked > 5
    assert fleet.measure_replies("oakcourt", BATCH).answered == asked
    assert fleet.max_preemptions <= MAX_PREEMPTIONS
    figures = fleet.summarise()
    assert figures.gap < MAX_GAP_REQUESTS
    assert figures.utilisation >= MIN_UTILISATION_RATIO
