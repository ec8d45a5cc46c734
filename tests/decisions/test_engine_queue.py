"""Admission to one engine by the router that schedules it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.engine_queue import (
    ADOPTION_GRACE_SECONDS,
    RESERVATION_SECONDS,
    AdmissionKey,
    EngineQueue,
    QueuedRequest,
)
from sycamorehaven.decisions.prefill_rate import INITIAL_TOKENS_PER_SECOND
from sycamorehaven.identity import RouterId
from tests.support.fixtures import fixture

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

NOW = 1_000.0
"""Monotonic seconds at which the tests begin."""
SLOTS = 4
"""Requests that the engine runs at a time."""
SECOND_OF_TOKENS = int(INITIAL_TOKENS_PER_SECOND)
"""Prompt tokens that it is assumed to read in a second."""
ROUTER = RouterId("a1", 1)


@fixture
def queue() -> Iterator[EngineQueue]:
    """Yield the queue of an idle engine."""
    yield EngineQueue(SLOTS, 4.0)


def get_no_levels(workspaces: Collection[str]) -> dict[str, float]:
    """Return that no workspace has received anything."""
    return dict.fromkeys(workspaces, 0.0)


def build_request(
    number: int,
    workspace: str = "w1",
    tokens: int = 100,
    max_wait: float = 0.5,
    *,
    resumes: bool = False,
    router: RouterId = ROUTER,
    is_over_share: bool = False,
) -> QueuedRequest:
    """Return a request that is asked for at ``NOW``."""
    return QueuedRequest(
        AdmissionKey(router, number),
        workspace,
        tokens,
        float(tokens),
        resumes,
        NOW,
        NOW + max_wait,
        is_over_share,
    )


def fill(queue: EngineQueue) -> None:
    """Admit as many small requests as the engine has slots for."""
    for number in range(SLOTS):
        assert queue.submit(build_request(number), get_no_levels, NOW) == "admitted"


def test_full_engine_admits_no_request_beyond_its_slots(queue: EngineQueue) -> None:
    fill(queue)
    request = build_request(SLOTS, max_wait=1.0)
    assert queue.submit(request, get_no_levels, NOW) == "queued"
    assert queue.advance(get_no_levels, NOW) == []
    queue.record_end(AdmissionKey(ROUTER, 0), NOW)
    assert queue.advance(get_no_levels, NOW) == [(request.key, "admitted")]


def test_request_waits_here_while_the_engine_has_much_to_read(
    queue: EngineQueue,
) -> None:
    queue.submit(build_request(1, tokens=SECOND_OF_TOKENS // 2), get_no_levels, NOW)
    waiting = build_request(2, max_wait=1.0)
    assert queue.submit(waiting, get_no_levels, NOW) == "queued"
    assert queue.advance(get_no_levels, NOW + 0.3) == []
    assert queue.advance(get_no_levels, NOW + 0.45) == [(waiting.key, "admitted")]


def test_request_whose_turn_comes_too_late_is_refused_at_once(
    queue: EngineQueue,
) -> None:
    queue.submit(build_request(1, tokens=SECOND_OF_TOKENS), get_no_levels, NOW)
    assert queue.submit(build_request(2), get_no_levels, NOW) == "refused"


def test_workspace_that_received_least_is_admitted_first(queue: EngineQueue) -> None:
    fill(queue)
    levels = {"large": 0.6, "small": 0.01}
    large = build_request(10, "large", max_wait=3.0)
    small = build_request(11, "small", max_wait=3.0)
    for request in (large, small):
        assert queue.submit(request, lambda _: levels, NOW) == "queued"
    queue.record_end(AdmissionKey(ROUTER, 0), NOW)
    assert queue.advance(lambda _: levels, NOW) == [(small.key, "admitted")]


def test_what_this_engine_gave_counts_before_the_news_tell_it(
    queue: EngineQueue,
) -> None:
    fill(queue)
    first = build_request(10, "w1", max_wait=3.0)
    other = build_request(11, "w2", max_wait=3.0)
    for request in (first, other):
        queue.submit(request, get_no_levels, NOW)
    queue.record_end(AdmissionKey(ROUTER, 0), NOW)
    assert queue.advance(get_no_levels, NOW) == [(other.key, "admitted")]


def test_resumed_stream_goes_before_all_others(queue: EngineQueue) -> None:
    fill(queue)
    new = build_request(10, "w2", max_wait=3.0)
    resumed = build_request(11, "w1", max_wait=3.0, resumes=True)
    for request in (new, resumed):
        queue.submit(request, get_no_levels, NOW)
    queue.record_end(AdmissionKey(ROUTER, 0), NOW)
    assert queue.advance(get_no_levels, NOW) == [(resumed.key, "admitted")]


def test_waiting_request_is_refused_once_it_would_be_late(queue: EngineQueue) -> None:
    fill(queue)
    request = build_request(10, max_wait=1.0)
    queue.submit(request, get_no_levels, NOW)
    assert queue.advance(get_no_levels, NOW + 1.1) == [(request.key, "refused")]
    assert queue.get_state(NOW + 1.1).waiting == 0


def test_idle_engine_refuses_nobody(queue: EngineQueue) -> None:
    levels = {"flood": 0.9}
    request = build_request(1, "flood", max_wait=0.0)
    assert queue.submit(request, lambda _: levels, NOW) == "admitted"


def test_requests_of_a_router_that_died_free_their_slots(queue: EngineQueue) -> None:
    fill(queue)
    queue.retain_routers({RouterId("a1", 2)})
    assert queue.get_state(NOW).running == 0


def test_end_that_was_lost_is_made_up_for_by_the_next_list(queue: EngineQueue) -> None:
    fill(queue)
    later = NOW + ADOPTION_GRACE_SECONDS
    queue.reconcile(ROUTER, [(1, 100, True)], later)
    assert queue.get_state(later).running == 1


def test_admission_that_is_younger_than_the_list_is_kept(queue: EngineQueue) -> None:
    fill(queue)
    queue.reconcile(ROUTER, [], NOW + ADOPTION_GRACE_SECONDS / 2)
    assert queue.get_state(NOW).running == SLOTS


def test_new_scheduler_takes_over_what_routers_hold(queue: EngineQueue) -> None:
    tokens = SECOND_OF_TOKENS // 2
    queue.reconcile(ROUTER, [(7, tokens, False), (8, 100, True)], NOW)
    state = queue.get_state(NOW)
    assert state.running == 2
    assert abs(state.backlog_seconds - 0.5) < 1e-6


def test_slow_engine_is_known_by_its_first_tokens(queue: EngineQueue) -> None:
    for number in range(20):
        key = build_request(number, tokens=10_000).key
        queue.submit(build_request(number, tokens=10_000), get_no_levels, NOW)
        queue.record_begin(key, 0.57, NOW)
        queue.record_end(key, NOW)
    assert abs(queue.get_state(NOW).prefill_rate / 20_000 - 1.0) < 0.1


def test_first_token_tells_what_is_left_to_read(queue: EngineQueue) -> None:
    first = build_request(1, tokens=4_000)
    queue.submit(first, get_no_levels, NOW)
    queue.submit(build_request(2, tokens=4_000), get_no_levels, NOW)
    assert abs(queue.get_state(NOW).backlog_seconds - 0.16) < 1e-6
    queue.record_begin(first.key, 0.15, NOW + 0.15)
    assert queue.get_state(NOW + 0.15).backlog_seconds < 0.05


# Nobody waits at the engine whose slot it takes; the others wait elsewhere.
def test_workspace_above_its_share_takes_the_slots_of_those_that_are_due(
    queue: EngineQueue,
) -> None:
    fill(queue)
    assert queue.submit(build_request(10, "due", max_wait=0.0), get_no_levels, NOW) == (
        "refused"
    )
    queue.record_end(AdmissionKey(ROUTER, 0), NOW)
    large = build_request(11, "large", max_wait=0.0, is_over_share=True)
    assert queue.submit(large, get_no_levels, NOW) == "refused"
    assert queue.submit(build_request(12, "due"), get_no_levels, NOW) == "admitted"


def test_workspace_above_its_share_uses_every_slot_once_nobody_is_denied(
    queue: EngineQueue,
) -> None:
    fill(queue)
    queue.submit(build_request(10, "due", max_wait=0.0), get_no_levels, NOW)
    queue.record_end(AdmissionKey(ROUTER, 0), NOW)
    large = build_request(11, "large", is_over_share=True)
    later = NOW + RESERVATION_SECONDS
    assert queue.submit(large, get_no_levels, later) == "admitted"


def test_workspace_within_its_share_goes_before_one_above_it(
    queue: EngineQueue,
) -> None:
    fill(queue)
    levels = {"due": 0.3, "large": 0.1}
    large = build_request(10, "large", max_wait=3.0, is_over_share=True)
    due = build_request(11, "due", max_wait=3.0)
    for request in (large, due):
        assert queue.submit(request, lambda _: levels, NOW) == "queued"
    queue.record_end(AdmissionKey(ROUTER, 0), NOW)
    assert queue.advance(lambda _: levels, NOW) == [(due.key, "admitted")]


# The queue is looked at a hundred times a second.
def test_full_engine_compares_those_that_wait_again_and_again(
    queue: EngineQueue,
) -> None:
    fill(queue)
    queue.submit(build_request(10, max_wait=3.0), get_no_levels, NOW)

    def fail(workspaces: Collection[str]) -> dict[str, float]:
        raise AssertionError(workspaces)

    assert queue.advance(fail, NOW) == []


def test_cause_of_a_denial_is_what_the_request_lacks(queue: EngineQueue) -> None:
    fill(queue)
    request = build_request(SLOTS)
    assert queue.find_denial_cause(request, NOW) == "slots"
    queue.record_end(AdmissionKey(ROUTER, 0), NOW)
    assert queue.find_denial_cause(request, NOW) == "order"
    queue.submit(build_request(9, tokens=SECOND_OF_TOKENS), get_no_levels, NOW)
    queue.record_end(AdmissionKey(ROUTER, 1), NOW)
    assert queue.find_denial_cause(request, NOW) == "reading"
