"""Admission to a cold engine by the router that schedules it."""

from __future__ import annotations

from sycamorehaven.decisions.cold_servers.paces import (
    ColdAllowance,
    Pace,
    choose_scheduler_pace,
)
from sycamorehaven.decisions.engine_queue import EngineQueue, QueuedRequest
from sycamorehaven.decisions.load_shedding import PlacementRequest, is_hopeless
from tests.decisions.test_engine_queue import NOW, build_request, get_no_levels

PACE = Pace(8.0, 2.0)
SLOTS = 100


def build_queue() -> EngineQueue:
    """Return the queue of an idle engine that has just become cold."""
    queue = EngineQueue(SLOTS, 4.0)
    queue.set_pace(PACE, NOW)
    return queue


def build_waiting(
    number: int, max_wait: float = 0.5, *, resumes: bool = False
) -> QueuedRequest:
    """Return a request that comes after those of lower numbers."""
    request = build_request(number, max_wait=max_wait, resumes=resumes)
    return request._replace(asked_at=NOW + number / 1_000)


def test_requests_that_wait_are_let_through_when_the_engine_becomes_cold() -> None:
    queue = EngineQueue(1, 4.0)
    for number in range(5):
        queue.submit(build_waiting(number, max_wait=9.0), get_no_levels, NOW)
    queue.set_pace(PACE, NOW)
    queue.record_end(build_request(0).key, NOW + 0.01)
    assert queue.advance(get_no_levels, NOW + 0.01) == []
    soon = NOW + 1.01 / PACE.rate
    assert [key.number for key, _ in queue.advance(get_no_levels, soon)] == [1]


def test_resumed_streams_pass_the_pacing() -> None:
    queue = build_queue()
    verdicts = [
        queue.submit(build_waiting(n, resumes=True), get_no_levels, NOW)
        for n in range(9)
    ]
    assert "admitted" not in verdicts
    # Only as many wait as are admitted within half a second.
    assert verdicts.count("queued") == 4


def test_refused_request_returns_before_the_engine_takes_one() -> None:
    queue = build_queue()
    queue.submit(build_waiting(1), get_no_levels, NOW)
    verdict = queue.submit(build_waiting(2, max_wait=0.2), get_no_levels, NOW)
    assert verdict == "refused"
    assert queue.get_state(NOW).backlog_seconds == 2 / PACE.rate


def test_engine_stays_paced_after_it_was_cold() -> None:
    queue = build_queue()
    queue.set_pace(None, NOW + 3.0)
    verdicts = [
        queue.submit(build_request(n, tokens=1), get_no_levels, NOW + 3.0)
        for n in range(50)
    ]
    assert set(verdicts) == {"admitted"}


def test_request_gives_up_after_cold_engines_though_others_have_room() -> None:
    request = PlacementRequest(NOW, NOW, 0.8, NOW + 9.0, within_share=True)
    for refused, by_cold, expected in ((0, 11, False), (0, 12, True), (6, 0, True)):
        assert is_hopeless(request, refused, 0.0, 0.5, by_cold) is expected


def test_two_schedulers_exceed_the_bound_together() -> None:
    allowance, rate = ColdAllowance(1.5, 5.0), 8.8
    first = choose_scheduler_pace(rate, allowance, may_have_rival=False)
    second = choose_scheduler_pace(rate, allowance, may_have_rival=True)
    most = first.rate + first.burst + second.rate + second.burst
    assert most <= allowance.compute_bound(rate)
    alone = choose_scheduler_pace(rate, ColdAllowance(), may_have_rival=False)
    assert alone.rate + alone.burst <= rate
