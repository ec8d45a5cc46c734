"""
The permit exchange between a router and its scheduler.

Both run in one process, and the test delivers, drops or repeats the messages
between them.
"""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.blackboard.queues import QueueKey, WaitingRequest
from sycamorehaven.blackboard.server_statuses import ServerStatus
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.permits import PermitController
from sycamorehaven.controllers.scheduling import SchedulingController
from sycamorehaven.transport.messages.permits import (
    PermitAck,
    PermitGrant,
    PermitReturn,
)
from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.doubles import ManualClock, MemoryLink, MemoryNetwork, create_board

SERVERS = [
    ServerPlan("engine-1", "assistant", "127.0.0.1:1", slots=2),
    ServerPlan("booking-1", "bookings", "127.0.0.1:2", slots=1),
]


class RouterUnderTest(NamedTuple):
    """
    A router that reports demand and is the scheduler of every server.

    :ivar board: its shared state.
    :ivar link: records the messages that it sends.
    :ivar edge: reports demand and binds grants.
    :ivar scheduling: grants permits.
    """

    board: Blackboard
    link: MemoryLink
    edge: PermitController
    scheduling: SchedulingController


def create_router(network: MemoryNetwork, clock: ManualClock) -> RouterUnderTest:
    """Return a router whose servers have all their slots free."""
    board = create_board()
    link = MemoryLink(board, network)
    edge = PermitController(board, link, clock)
    scheduling = SchedulingController(board, link, clock)
    board.configuration.replace(
        accept_text(build_configuration_text(SERVERS).encode(), 1)
    )
    clock.advance(0.1)
    for plan in SERVERS:
        status = ServerStatus(reported_slots=plan.slots, reported_at=clock.now)
        board.server_statuses.put(plan.name, status)
    return RouterUnderTest(board, link, edge, scheduling)


def queue_request(
    router: RouterUnderTest, service: str, clock: ManualClock
) -> WaitingRequest:
    """Queue a request."""
    waiting = WaitingRequest(
        QueueKey(service, "oakcourt", "interactive"), clock.now, 0.004
    )
    router.board.queues.push(waiting)
    return waiting


def count_sent(router: RouterUnderTest, message_type: type) -> int:
    """Return the number of messages of a type that were sent."""
    return sum(
        isinstance(message, message_type) for _, message in router.link.sent_messages
    )


async def test_permit_numbers_are_unique_across_services_of_one_scheduler(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    # Two grants with the same scheduler and number look like duplicates, so
    # the second of them would be ignored.
    router = create_router(network, clock)
    waiting_requests = [
        queue_request(router, name, clock) for name in ("assistant", "bookings")
    ]
    router.edge.send_reports()
    network.deliver()
    assert all(waiting.permit.done() for waiting in waiting_requests)


async def test_short_calls_run_under_one_permit(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    router = create_router(network, clock)
    calls = [queue_request(router, "bookings", clock) for _ in range(8)]
    router.edge.send_reports()
    network.deliver()
    for call in calls:
        permit = call.permit.result()
        permit.used_runs += 1
        permit.cost += 0.004
        router.edge.release(permit)
    network.deliver()
    assert count_sent(router, PermitGrant) == 1
    assert count_sent(router, PermitReturn) == 1
    assert abs(router.board.counters.sum_service("bookings", "oakcourt") - 0.032) < 1e-9


async def test_lost_grant_and_lost_return_are_resent(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    router = create_router(network, clock)
    call = queue_request(router, "assistant", clock)
    router.edge.send_reports()
    network.deliver(1)
    network.pending_deliveries.clear()
    clock.advance(0.06)
    router.scheduling.resend_grants()
    router.scheduling.resend_grants()
    network.deliver()
    permit = call.permit.result()
    permit.used_runs, permit.cost = 1, 30.0
    router.edge.release(permit)
    network.pending_deliveries.clear()
    clock.advance(0.06)
    router.edge.resend_returns()
    router.edge.resend_returns()
    network.deliver()
    assert router.board.counters.sum_service("assistant", "oakcourt") == 30.0
    assert not router.board.permits.list_unacknowledged_returns()
    router.edge.resend_returns()
    assert not network.pending_deliveries


async def test_grant_delivered_after_its_expiry_is_returned_unused(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    router = create_router(network, clock)
    call = queue_request(router, "assistant", clock)
    router.edge.send_reports()
    network.deliver(1)
    clock.advance(30.0)
    network.deliver()
    assert not call.permit.done()
    assert count_sent(router, PermitReturn) == 1


async def test_duplicate_grant_is_used_once(
    network: MemoryNetwork, clock: ManualClock
) -> None:
    router = create_router(network, clock)
    calls = [queue_request(router, "bookings", clock) for _ in range(2)]
    router.edge.send_reports()
    network.deliver(1)
    network.pending_deliveries *= 2
    network.deliver()
    assert [call.permit.done() for call in calls] == [True, False]
    assert count_sent(router, PermitAck) == 2
