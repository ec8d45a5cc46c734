"""The exchange between an edge and a scheduler, over a memory network."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.blackboard.queues import QueueKey, Waiting
from sycamorehaven.blackboard.servers import ServerStatus
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.permits import PermitController
from sycamorehaven.controllers.scheduling import SchedulingController
from sycamorehaven.transport.messages.permits import (
    PermitAck,
    PermitGrant,
    PermitReturn,
)
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board
from tests.support.texts import ServerPlan, write_configuration

SERVERS = [
    ServerPlan("engine-1", "assistant", "127.0.0.1:1", slots=2),
    ServerPlan("booking-1", "bookings", "127.0.0.1:2", slots=1),
]


class Pair(NamedTuple):
    """
    One router that is an edge and the scheduler of every server.

    :ivar board: its state.
    :ivar link: its messages.
    :ivar edge: posts demand.
    :ivar scheduling: grants.
    """

    board: Blackboard
    link: MemoryLink
    edge: PermitController
    scheduling: SchedulingController


def create_pair(network: MemoryNetwork, clock: ManualClock) -> Pair:
    """Return a router that knows its servers to be idle."""
    board = create_board()
    link = MemoryLink(board, network)
    edge = PermitController(board, link, clock)
    scheduling = SchedulingController(board, link, clock)
    board.configuration.replace(accept_text(write_configuration(SERVERS).encode(), 1))
    clock.advance(0.1)
    for plan in SERVERS:
        status = ServerStatus(capacity=plan.slots, reported_at=clock.now)
        board.servers.put(plan.name, status)
    return Pair(board, link, edge, scheduling)


def wait(pair: Pair, service: str, clock: ManualClock) -> Waiting:
    """Queue a request."""
    waiting = Waiting(QueueKey(service, "oakcourt", "interactive"), clock.now, 0.004)
    pair.board.queues.push(waiting)
    return waiting


def count(pair: Pair, kind: type) -> int:
    """Return how many messages of a kind were sent."""
    return sum(isinstance(message, kind) for _, message in pair.link.sent)


async def test_services_of_one_scheduler_share_no_permit_number(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    pair = create_pair(network, clock)
    both = [wait(pair, name, clock) for name in ("assistant", "bookings")]
    pair.edge.report()
    network.deliver()
    assert all(waiting.permit.done() for waiting in both)


async def test_short_calls_run_under_one_permit(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    pair = create_pair(network, clock)
    calls = [wait(pair, "bookings", clock) for _ in range(8)]
    pair.edge.report()
    network.deliver()
    for call in calls:
        permit = call.permit.result()
        permit.used_runs += 1
        permit.cost += 0.004
        pair.edge.release(permit)
    network.deliver()
    assert count(pair, PermitGrant) == 1
    assert count(pair, PermitReturn) == 1
    assert abs(pair.board.counters.sum_service("bookings", "oakcourt") - 0.032) < 1e-9


async def test_lost_grant_and_lost_return_are_repeated(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    pair = create_pair(network, clock)
    call = wait(pair, "assistant", clock)
    pair.edge.report()
    network.deliver(1)
    network.pending.clear()
    clock.advance(0.06)
    pair.scheduling.resend_grants()
    pair.scheduling.resend_grants()
    network.deliver()
    permit = call.permit.result()
    permit.used_runs, permit.cost = 1, 30.0
    pair.edge.release(permit)
    network.pending.clear()
    clock.advance(0.06)
    pair.edge.repeat()
    pair.edge.repeat()
    network.deliver()
    assert pair.board.counters.sum_service("assistant", "oakcourt") == 30.0
    assert not pair.board.permits.list_settlements()
    pair.edge.repeat()
    assert not network.pending


async def test_grant_that_lay_in_a_buffer_is_not_used(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    pair = create_pair(network, clock)
    call = wait(pair, "assistant", clock)
    pair.edge.report()
    network.deliver(1)
    clock.advance(30.0)
    network.deliver()
    assert not call.permit.done()
    assert count(pair, PermitReturn) == 1


async def test_doubled_grant_is_used_once(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    pair = create_pair(network, clock)
    calls = [wait(pair, "bookings", clock) for _ in range(2)]
    pair.edge.report()
    network.deliver(1)
    network.pending *= 2
    network.deliver()
    assert [call.permit.done() for call in calls] == [True, False]
    assert count(pair, PermitAck) == 2
