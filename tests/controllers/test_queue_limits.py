"""Refusals of calls that the queues cannot serve, with a simulated clock."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.queues import WaitingRequest
from sycamorehaven.call import Call
from sycamorehaven.configuration.model import CallRule, Service, Workspace
from sycamorehaven.controllers.admission import AdmissionController
from sycamorehaven.controllers.queue_limits import QueueLimits, get_queue_key
from sycamorehaven.decisions.admission import MAX_QUEUED_BYTES, MAX_RETRY_AFTER_SECONDS
from sycamorehaven.exceptions.refusals import (
    DeadlineUnreachable,
    QueueFull,
    QueueMemoryFull,
    Refusal,
)
from tests.support.doubles import ManualClock, create_board

if TYPE_CHECKING:
    from sycamorehaven.blackboard.permits import Permit

RULE = CallRule("POST", "/v1/completions", True, True)
SERVICE = Service("assistant", "model", (), (RULE,), 16.0, 2_000.0, 0.2)
BODY_BYTES = 1_000_000


def create_call(
    clock: ManualClock, workspace: str = "oakcourt", **changes: object
) -> Call:
    """Return a call of a workspace that may queue 100 requests."""
    call = Call(
        request_id="1",
        workspace=Workspace(workspace, "", 1.0, 100),
        service=SERVICE,
        rule=RULE,
        method="POST",
        path="/v1/completions",
        headers=(),
        body=b"",
        priority="interactive",
        deadline=clock.now + 600.0,
        cost_hint=0.0,
        token="",
    )
    return call._replace(**changes)  # type: ignore[arg-type]


class QueueHarness:
    """Queue limits, their queues and the requests that wait in them."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.board = create_board()
        self.limits = QueueLimits(self.board, clock)

    def queue(self, call: Call) -> WaitingRequest:
        """Check a call and queue it."""
        self.limits.check_call(call)
        waiting = WaitingRequest(get_queue_key(call), self.clock.now, 16.0)
        self.board.queues.push(waiting)
        self.limits.track_request(call, waiting)
        return waiting

    async def drain(self, call: Call, seconds: float, seconds_per_grant: float) -> None:
        """
        Grant a permit and queue another call at regular intervals.

        :param call: the call that is queued after each grant.
        :param seconds: total simulated time.
        :param seconds_per_grant: time between two grants.
        """
        for _ in range(round(seconds / seconds_per_grant)):
            self.clock.advance(seconds_per_grant)
            waiting = self.board.queues.pop(get_queue_key(call))
            assert waiting is not None
            waiting.permit.set_result(None)  # type: ignore[arg-type]
            await asyncio.sleep(0)
            self.queue(call)

    def get_refusal(self, call: Call) -> Refusal:
        """Return the refusal of a call; fail if the call is queued."""
        try:
            self.queue(call)
        except Refusal as error:
            refusal = error
        else:
            raise AssertionError("the call was queued instead of refused")
        assert refusal.was_run == "no"
        return refusal


async def test_full_queue_sets_retry_after_from_the_drain_rate(
    clock: ManualClock,
) -> None:
    harness = QueueHarness(clock)
    call = create_call(clock)
    for _ in range(99):
        harness.queue(call)
    await harness.drain(call, 30.0, 0.25)
    harness.queue(call)
    refusal = harness.get_refusal(call)
    assert isinstance(refusal, QueueFull)
    assert refusal.retry_after is not None
    assert 20.0 <= refusal.retry_after <= 30.0
    harness.queue(create_call(clock, "elmplace"))


async def test_queue_that_does_not_drain_gives_the_longest_retry_after(
    clock: ManualClock,
) -> None:
    harness = QueueHarness(clock)
    for _ in range(100):
        harness.queue(create_call(clock))
    clock.advance(10.0)
    assert (
        harness.get_refusal(create_call(clock)).retry_after == MAX_RETRY_AFTER_SECONDS
    )


async def test_unreachable_deadline_is_refused_at_once(clock: ManualClock) -> None:
    harness = QueueHarness(clock)
    call = create_call(clock)
    for _ in range(50):
        harness.queue(call)
    await harness.drain(call, 30.0, 0.5)
    refusal = harness.get_refusal(create_call(clock, deadline=clock.now + 5.0))
    assert isinstance(refusal, DeadlineUnreachable)
    assert refusal.retry_after is not None
    assert 15.0 <= refusal.retry_after <= 35.0
    harness.queue(create_call(clock, deadline=clock.now + 30.0))
    harness.queue(create_call(clock, "elmplace", deadline=clock.now + 1.0))


async def test_large_bodies_of_one_workspace_leave_memory_for_others(
    clock: ManualClock,
) -> None:
    harness = QueueHarness(clock)
    large_call = create_call(clock, body=bytes(BODY_BYTES))
    queued = []
    for _ in range(100):
        try:
            queued.append(harness.queue(large_call))
        except QueueMemoryFull:
            break
    assert harness.board.admission.total_waiting_bytes <= MAX_QUEUED_BYTES / 2
    harness.queue(create_call(clock, "elmplace", body=bytes(10 * BODY_BYTES)))
    for waiting in queued:
        waiting.permit.cancel()
    await asyncio.sleep(0)
    assert harness.board.admission.total_waiting_bytes == 10 * BODY_BYTES
    harness.queue(large_call)


async def test_batch_cannot_fill_the_queue_of_interactive_requests(
    clock: ManualClock,
) -> None:
    harness = QueueHarness(clock)
    batch_call = create_call(clock, priority="batch")
    for _ in range(75):
        harness.queue(batch_call)
    assert isinstance(harness.get_refusal(batch_call), QueueFull)
    harness.queue(create_call(clock))


async def test_retried_request_keeps_its_queue_position(clock: ManualClock) -> None:
    harness = QueueHarness(clock)
    call = create_call(clock)
    first_arrival = clock.now
    new_requests = []
    for _ in range(3):
        clock.advance(1.0)
        new_requests.append(harness.queue(call))
    retried = [
        WaitingRequest(get_queue_key(call), first_arrival + age, 16.0)
        for age in (0.0, 0.1)
    ]
    for waiting in retried:
        harness.board.queues.push(waiting, is_retry=True)
    order = [harness.board.queues.pop(get_queue_key(call)) for _ in range(5)]
    assert order == [*retried, *new_requests]


class UnusedPermitReleaser:
    """Stands in for the permit controller where no permit may be released."""

    def release(self, permit: Permit) -> None:
        """Fail, because no permit was granted."""
        raise AssertionError(permit)


async def test_deadline_that_passes_in_the_queue_refuses_the_call(
    clock: ManualClock,
) -> None:
    board = create_board()
    admission = AdmissionController(board, UnusedPermitReleaser(), clock)
    call = create_call(clock, deadline=clock.now + 0.01)
    try:
        await admission.wait_for_permit(call, at_front=False, arrived_at=clock.now)
    except DeadlineUnreachable as error:
        refusal = error
    else:
        raise AssertionError("the call got a permit, although none was granted")
    assert refusal.retry_after is not None
    assert board.queues.count_waiting("assistant", "oakcourt") == 0
    await asyncio.sleep(0)
    assert board.admission.total_waiting_bytes == 0
