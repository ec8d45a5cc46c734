"""Each check of the soak finds what breaks its promise."""

from __future__ import annotations

from tests.soak import promises
from tests.soak.backend import EVENTS, write_body, write_event
from tests.soak.records import SOAK, Record, Run, Sending, Trouble

SENDING = Sending(
    "c1-1",
    "look",
    "north1",
    "key-1",
    10.0,
    10.1,
    3.0,
    200,
    signed=True,
    body=write_body("c1-1"),
    outcome="whole",
)
RUN = Run("c1-1", "s1", "plain", "/look/c1-1", 10.02, 10.08)


def build_record(
    *sendings: Sending, runs: tuple[Run, ...] = (), troubles: tuple[Trouble, ...] = ()
) -> Record:
    return Record(list(sendings), list(runs), list(troubles), {}, [])


def list_broken(record: Record) -> list[str]:
    """Return the names of the checks that found something."""
    checks = (check for check in promises.CHECKS if list(check(record)))
    return [check.__name__ for check in checks]


def test_served_request_breaks_nothing() -> None:
    assert not list_broken(build_record(SENDING, runs=(RUN,)))


def test_second_run_of_a_booking() -> None:
    run = RUN._replace(path="/book/c1-1")
    sending = SENDING._replace(route="book")
    record = build_record(sending, runs=(run, run._replace(server="s2")))
    assert "check_once" in list_broken(record)
    assert "check_attempts" in list_broken(record)


def test_refusal_of_a_request_that_ran() -> None:
    record = build_record(SENDING._replace(status=503, signed=False), runs=(RUN,))
    assert "check_refusals" in list_broken(record)


def test_run_at_another_service() -> None:
    record = build_record(SENDING, runs=(RUN._replace(service="model"),))
    assert list_broken(record) == ["check_services"]


def test_answer_of_another_request() -> None:
    record = build_record(SENDING._replace(body=write_body("c1-2")))
    assert list_broken(record) == ["check_answers"]


def test_part_that_looks_whole() -> None:
    events = b"".join(write_event("c1-1", number) for number in range(EVENTS - 1))
    sending = SENDING._replace(route="stream", body=events)
    assert list_broken(build_record(sending)) == ["check_answers"]
    assert not list_broken(build_record(SENDING, sending._replace(outcome="broken")))


def test_gap_in_a_stream() -> None:
    events = b"".join(write_event("c1-1", number) for number in (0, 1, 3))
    sending = SENDING._replace(route="stream", body=events, outcome="broken")
    assert "check_answers" in list_broken(build_record(SENDING, sending))


def test_denial_counts_away_from_changes_of_the_configuration() -> None:
    denied = SENDING._replace(status=401, signed=False)
    change = Trouble("publish", "operator", 8.0, 8.0)
    assert "check_denials" in list_broken(build_record(denied, SENDING))
    record = build_record(denied, troubles=(change,))
    assert "check_denials" not in list_broken(record)


def test_late_answer_counts_at_routers_without_trouble() -> None:
    late = SENDING._replace(done_at=14.0)
    pause = Trouble("pause", "north1", 11.0, 12.0)
    assert list_broken(build_record(late)) == ["check_patience"]
    record = build_record(late, SENDING._replace(sent_at=30.0), troubles=(pause,))
    assert not list_broken(record)


def test_late_answer_counts_unless_the_soak_itself_stood_still() -> None:
    late = SENDING._replace(done_at=14.0)
    stall = Trouble("stall", SOAK, 10.5, 13.9)
    record = build_record(late, SENDING._replace(sent_at=30.0), troubles=(stall,))
    assert not list_broken(record)


def test_run_that_outlives_its_caller() -> None:
    gone = SENDING._replace(outcome="cancelled", status=0, body=b"")
    late = RUN._replace(ended_at=11.0, cut=True)
    assert "check_cancellations" in list_broken(
        build_record(gone, SENDING, runs=(late,))
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
    assert list_broken(build_record(SENDING, runs=runs)) == ["check_budget"]


def test_request_at_a_server_that_has_left() -> None:
    drained = Trouble("drain_server", "s1", 2.0, 20.0)
    record = build_record(
        SENDING, SENDING._replace(sent_at=25.0), runs=(RUN,), troubles=(drained,)
    )
    assert list_broken(record) == ["check_draining"]


def test_refusal_without_a_line() -> None:
    refused = SENDING._replace(status=503, signed=False)
    record = build_record(refused, SENDING)
    assert list_broken(record) == ["check_lines"]
    record.lines[refused.attempt] = ["turned_away"]
    assert not list_broken(record)


def test_nobody_served_after_the_faults() -> None:
    lost = SENDING._replace(status=0, outcome="broken")
    assert list_broken(build_record(lost)) == ["check_recovery"]


def test_process_that_ends_by_itself() -> None:
    record = build_record(SENDING)._replace(ends=["north1 ended by itself"])
    assert list_broken(record) == ["check_ends"]
