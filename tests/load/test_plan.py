"""Tests of load plans, of the arrivals drawn from them and of summaries."""

from __future__ import annotations

from sycamorehaven.exceptions.load_generator import LoadPlanError
from sycamorehaven.load.arrivals import draw_arrivals
from sycamorehaven.load.client import RequestResult
from sycamorehaven.load.plan import LoadPlan
from sycamorehaven.load.summary import LoadSummary

DOCUMENT = {
    "load": {"duration": 20.0, "seed": 7},
    "workloads": [
        {"workspace": "oakcourt", "key": "k", "rate": 50.0, "tokens": [4, 8]},
        {"workspace": "elmplace", "key": "k", "rate": 5.0, "kind": "booking"},
    ],
}


def test_arrivals_follow_the_seed_and_the_rates() -> None:
    plan = LoadPlan.from_document(DOCUMENT)
    arrivals = list(draw_arrivals(plan))
    assert arrivals == list(draw_arrivals(plan))
    assert arrivals != list(draw_arrivals(plan._replace(seed=8)))
    assert [a.start_offset for a in arrivals] == sorted(
        a.start_offset for a in arrivals
    )
    counts = [sum(a.workload_index == index for a in arrivals) for index in (0, 1)]
    assert 900 < counts[0] < 1_100
    assert 70 < counts[1] < 130
    assert {a.answer_tokens for a in arrivals if a.workload_index == 0} == {
        4,
        5,
        6,
        7,
        8,
    }


def test_run_is_bounded_in_requests_and_time() -> None:
    plan = LoadPlan.from_document(DOCUMENT)
    assert len(list(draw_arrivals(plan._replace(requests=10)))) == 10
    assert max(a.start_offset for a in draw_arrivals(plan)) <= 20.0


def test_every_fault_of_a_plan_is_listed() -> None:
    invalid_plan = {
        "load": {"duration": -1.0},
        "workloads": [
            {"workspace": "a", "rate": 1.0, "tokens": [9, 2]},
            {"workspace": "b", "key": "k"},
        ],
    }
    try:
        LoadPlan.from_document(invalid_plan)
    except LoadPlanError as error:
        paths = [fault.path for fault in error.faults]
    assert any(path.startswith("load") for path in paths)
    assert "workloads[0].tokens" in paths
    assert "workloads[0].key" in paths
    assert any(path.startswith("workloads[1]") for path in paths)


def test_summary_counts_refusals_apart_from_latencies() -> None:
    summary = LoadSummary(LoadPlan.from_document(DOCUMENT))
    for milliseconds in range(1, 101):
        seconds = milliseconds / 1_000
        summary.record(RequestResult(0, 200, "", seconds, 2 * seconds, 31))
    summary.record(RequestResult(0, 429, "queue_full", 9.0, 9.0, 0))
    summary.record(RequestResult(1, 201, "", 0.001, 0.001, 0))
    row = summary.build_document()["workloads"][0]
    assert row["sent"] == 101
    assert row["answered"] == 100
    assert row["tokens"] == 3_000
    assert row["share"] == 1.0
    assert row["refusals"] == {"queue_full": 1}
    assert abs(row["first_byte"]["p50"] - 0.050) < 0.001
    assert abs(row["total"]["p99"] - 0.198) < 0.002
