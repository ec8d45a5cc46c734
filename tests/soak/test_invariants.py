"""Test that each check of the soak finds violations of its guarantee."""

from __future__ import annotations

from tests.soak import invariants
from tests.soak.backend import STREAM_EVENT_COUNT, build_body, build_event
from tests.soak.records import (
    SOAK_TARGET,
    CallerRequest,
    Disturbance,
    Run,
    SoakRecord,
)

REQUEST = CallerRequest(
    "c1-1",
    "look",
    "north1",
    "key-1",
    10.0,
    10.1,
    3.0,
    200,
    signed=True,
    body=build_body("c1-1"),
    outcome="whole",
)
RUN = Run("c1-1", "s1", "plain", "/look/c1-1", 10.02, 10.08)


def build_record(
    *requests: CallerRequest,
    runs: tuple[Run, ...] = (),
    disturbances: tuple[Disturbance, ...] = (),
) -> SoakRecord:
    return SoakRecord(list(requests), list(runs), list(disturbances), {}, [])


def list_failed_checks(record: SoakRecord) -> list[str]:
    """Return the names of the checks with findings."""
    checks = (check for check in invariants.CHECKS if list(check(record)))
    return [check.__name__ for check in checks]


def test_served_request_passes_every_check() -> None:
    assert not list_failed_checks(build_record(REQUEST, runs=(RUN,)))


def test_second_run_of_a_booking() -> None:
    run = RUN._replace(path="/book/c1-1")
    request = REQUEST._replace(route="book")
    record = build_record(request, runs=(run, run._replace(server="s2")))
    assert "check_single_runs" in list_failed_checks(record)
    assert "check_attempts" in list_failed_checks(record)


def test_refusal_of_a_request_that_ran() -> None:
    record = build_record(REQUEST._replace(status=503, signed=False), runs=(RUN,))
    assert "check_refusals" in list_failed_checks(record)


def test_run_at_another_service() -> None:
    record = build_record(REQUEST, runs=(RUN._replace(service="model"),))
    assert list_failed_checks(record) == ["check_services"]


def test_answer_of_another_request() -> None:
    record = build_record(REQUEST._replace(body=build_body("c1-2")))
    assert list_failed_checks(record) == ["check_answers"]


def test_partial_answer_that_looks_complete() -> None:
    events = b"".join(
        build_event("c1-1", number) for number in range(STREAM_EVENT_COUNT - 1)
    )
    request = REQUEST._replace(route="stream", body=events)
    assert list_failed_checks(build_record(request)) == ["check_answers"]
    assert not list_failed_checks(
        build_record(REQUEST, request._replace(outcome="broken"))
    )


def test_gap_in_a_stream() -> None:
    events = b"".join(build_event("c1-1", number) for number in (0, 1, 3))
    request = REQUEST._replace(route="stream", body=events, outcome="broken")
    assert "check_answers" in list_failed_checks(build_record(REQUEST, request))


def test_rejected_key_counts_unless_the_configuration_just_changed() -> None:
    denied = REQUEST._replace(status=401, signed=False)
    change = Disturbance("publish", "operator", 8.0, 8.0)
    assert "check_authorization" in list_failed_checks(build_record(denied, REQUEST))
    record = build_record(denied, disturbances=(change,))
    assert "check_authorization" not in list_failed_checks(record)


def test_late_answer_counts_unless_its_router_was_disturbed() -> None:
    late = REQUEST._replace(ended_at=14.0)
    pause = Disturbance("pause", "north1", 11.0, 12.0)
    assert list_failed_checks(build_record(late)) == ["check_deadlines"]
    record = build_record(late, REQUEST._replace(sent_at=30.0), disturbances=(pause,))
    assert not list_failed_checks(record)


def test_late_answer_counts_unless_the_soak_itself_stalled() -> None:
    late = REQUEST._replace(ended_at=14.0)
    stall = Disturbance("stall", SOAK_TARGET, 10.5, 13.9)
    record = build_record(late, REQUEST._replace(sent_at=30.0), disturbances=(stall,))
    assert not list_failed_checks(record)


def test_run_that_outlives_its_caller() -> None:
    gone = REQUEST._replace(outcome="cancelled", status=0, body=b"")
    late = RUN._replace(ended_at=11.0, cut=True)
    assert "check_cancellations" in list_failed_checks(
        build_record(gone, REQUEST, runs=(late,))
    )


def test_repeats_beyond_the_budget() -> None:
    runs = tuple(
        run
        for number in range(80)
        for run in (
            RUN._replace(attempt=f"c{number}", path=f"/look/c{number}"),
            RUN._replace(attempt=f"c{number}", path=f"/look/c{number}", server="s2"),
        )
    )
    assert list_failed_checks(build_record(REQUEST, runs=runs)) == [
        "check_retry_budget"
    ]


def test_request_at_a_server_that_has_left() -> None:
    drained = Disturbance("drain_server", "s1", 2.0, 20.0)
    record = build_record(
        REQUEST, REQUEST._replace(sent_at=25.0), runs=(RUN,), disturbances=(drained,)
    )
    assert list_failed_checks(record) == ["check_draining"]


def test_request_at_an_evacuated_domain() -> None:
    evacuated = Disturbance("evacuate", "south", 2.0, 20.0)
    run = RUN._replace(server="s3")
    later = REQUEST._replace(attempt="c1-2", sent_at=25.0, body=build_body("c1-2"))
    record = build_record(REQUEST, later, runs=(run,), disturbances=(evacuated,))
    assert list_failed_checks(record) == ["check_evacuation"]
    cut_off = Disturbance("harm_link", "store-link/north1", 5.0, 7.0)
    faults = evacuated, cut_off
    record = build_record(REQUEST, later, runs=(run,), disturbances=faults)
    assert not list_failed_checks(record)


def test_refusal_without_a_log_line() -> None:
    refused = REQUEST._replace(status=503, signed=False)
    record = build_record(refused, REQUEST)
    assert list_failed_checks(record) == ["check_refusal_logs"]
    record.log_events[refused.attempt] = ["turned_away"]
    assert not list_failed_checks(record)


def test_no_request_served_after_the_faults() -> None:
    lost = REQUEST._replace(status=0, outcome="broken")
    assert list_failed_checks(build_record(lost)) == ["check_recovery"]


def test_process_that_exits_unexpectedly() -> None:
    record = build_record(REQUEST)._replace(unexpected_exits=["north1 ended by itself"])
    assert list_failed_checks(record) == ["check_unexpected_exits"]
