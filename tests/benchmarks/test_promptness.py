"""Prompt replies under floods, and reports that end, on the given clock."""

from __future__ import annotations

from benchmarks.plan import Plan
from benchmarks.promptness import (
    EVERYWHERE,
    FLOOD,
    QUESTIONS,
    REPORT,
    REPORTS,
    StreamFleet,
    run,
)
from benchmarks.scenarios import LARGEST_GAP, LEAST_UTILISATION
from benchmarks.workload import Flow
from sycamorehaven.call import BATCH
from sycamorehaven.decisions.preemption import MAX_PREEMPTIONS


def test_small_workspace_is_answered_as_promptly_during_floods() -> None:
    quiet = run().measure(QUESTIONS.workspace)
    bound = 2.0 * quiet.late + quiet.service
    for flood in (FLOOD, REPORTS):
        fleet = run(flood)
        replies = fleet.measure(QUESTIONS.workspace)
        assert replies.answered > 0.9 * quiet.answered
        assert replies.late <= bound, (flood, replies, quiet)
        assert fleet.summarise().utilisation >= LEAST_UTILISATION
        assert fleet.most_preemptions <= MAX_PREEMPTIONS


def test_reports_end_under_floods_of_their_own_workspace_and_of_others() -> None:
    own = Flow("oakcourt", EVERYWHERE, depth=20, smallest=20.0, largest=40.0)
    reports = Flow("oakcourt", EVERYWHERE, rate=0.2, stop=9.0, smallest=REPORT)
    fleet = StreamFleet(Plan(), [own, reports, FLOOD, QUESTIONS])
    fleet.run(150.0)
    asked = fleet.asked["oakcourt", BATCH]
    assert asked > 5
    assert fleet.measure("oakcourt", BATCH).answered == asked
    assert fleet.most_preemptions <= MAX_PREEMPTIONS
    figures = fleet.summarise()
    assert figures.gap < LARGEST_GAP
    assert figures.utilisation >= LEAST_UTILISATION
