"""Refusals at once, on a given clock."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.queues import Waiting
from sycamorehaven.call import Call
from sycamorehaven.configuration.model import CallRule, Service, Workspace
from sycamorehaven.controllers.admission import Admission
from sycamorehaven.controllers.queue_limits import QueueLimits, find_queue
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
SIZE = 1_000_000


def make_call(
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


class Edge:
    """Queue limits, their queues and what waits in them."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.board = create_board()
        self.limits = QueueLimits(self.board, clock)

    def queue(self, call: Call) -> Waiting:
        """Admit a call and queue it."""
        self.limits.check(call)
        waiting = Waiting(find_queue(call), self.clock.now, 16.0)
        self.board.queues.push(waiting)
        self.limits.watch(call, waiting)
        return waiting

    async def drain(self, call: Call, seconds: float, gap: float) -> None:
        """Grant a permit every ``gap`` seconds."""
        for _ in range(round(seconds / gap)):
            self.clock.advance(gap)
            waiting = self.board.queues.pop(find_queue(call))
            assert waiting is not None
            waiting.permit.set_result(None)  # type: ignore[arg-type]
            await asyncio.sleep(0)
            self.queue(call)

    def refuse(self, call: Call) -> Refusal:
        """Return the refusal of a call."""
        try:
            self.queue(call)
        except Refusal as error:
            refusal = error
        else:
            raise AssertionError("the call was admitted")
        assert refusal.was_run == "no"
        return refusal


async def test_full_queue_is_refused_with_the_measured_drain(
    clock: ManualClock,
) -> None:
    edge = Edge(clock)
    call = make_call(clock)
    for _ in range(99):
        edge.queue(call)
    await edge.drain(call, 30.0, 0.25)
    edge.queue(call)
    refusal = edge.refuse(call)
    assert isinstance(refusal, QueueFull)
    assert refusal.retry_after is not None
    assert 20.0 <= refusal.retry_after <= 30.0
    edge.queue(make_call(clock, "elmplace"))


async def test_nothing_drains_is_said_so(clock: ManualClock) -> None:
    edge = Edge(clock)
    for _ in range(100):
        edge.queue(make_call(clock))
    clock.advance(10.0)
    assert edge.refuse(make_call(clock)).retry_after == MAX_RETRY_AFTER_SECONDS


async def test_deadline_out_of_reach_is_refused_at_once(clock: ManualClock) -> None:
    edge = Edge(clock)
    call = make_call(clock)
    for _ in range(50):
        edge.queue(call)
    await edge.drain(call, 30.0, 0.5)
    late = edge.refuse(make_call(clock, deadline=clock.now + 5.0))
    assert isinstance(late, DeadlineUnreachable)
    assert late.retry_after is not None
    assert 15.0 <= late.retry_after <= 35.0
    edge.queue(make_call(clock, deadline=clock.now + 30.0))
    edge.queue(make_call(clock, "elmplace", deadline=clock.now + 1.0))


async def test_flood_of_bodies_leaves_room_for_others(clock: ManualClock) -> None:
    edge = Edge(clock)
    flood = make_call(clock, body=bytes(SIZE))
    queued = []
    for _ in range(100):
        try:
            queued.append(edge.queue(flood))
        except QueueMemoryFull:
            break
    assert edge.board.admission.all_bytes <= MAX_QUEUED_BYTES / 2
    edge.queue(make_call(clock, "elmplace", body=bytes(10 * SIZE)))
    for waiting in queued:
        waiting.permit.cancel()
    await asyncio.sleep(0)
    assert edge.board.admission.all_bytes == 10 * SIZE
    edge.queue(flood)


async def test_batch_cannot_fill_the_queue_of_interactive_requests(
    clock: ManualClock,
) -> None:
    edge = Edge(clock)
    report = make_call(clock, priority="batch")
    for _ in range(75):
        edge.queue(report)
    assert isinstance(edge.refuse(report), QueueFull)
    edge.queue(make_call(clock))


async def test_retried_request_keeps_its_place(clock: ManualClock) -> None:
    edge = Edge(clock)
    call = make_call(clock)
    first = clock.now
    fresh = []
    for _ in range(3):
        clock.advance(1.0)
        fresh.append(edge.queue(call))
    again = [Waiting(find_queue(call), first + age, 16.0) for age in (0.0, 0.1)]
    for waiting in again:
        edge.board.queues.push(waiting, first=True)
    order = [edge.board.queues.pop(find_queue(call)) for _ in range(5)]
    assert order == [*again, *fresh]


class NoPermits:
    """Takes back permits that never come."""

    def release(self, permit: Permit) -> None:
        """Fail: none was granted."""
        raise AssertionError(permit)


async def test_deadline_that_passes_in_the_queue_is_answered_without_a_grant(
    clock: ManualClock,
) -> None:
    board = create_board()
    admission = Admission(board, NoPermits(), clock)
    call = make_call(clock, deadline=clock.now + 0.01)
    try:
        await admission.wait_for_permit(call, first=False, since=clock.now)
    except DeadlineUnreachable as error:
        refusal = error
    else:
        raise AssertionError("a permit came from nowhere")
    assert refusal.retry_after is not None
    assert board.queues.count("assistant", "oakcourt") == 0
    await asyncio.sleep(0)
    assert board.admission.all_bytes == 0
