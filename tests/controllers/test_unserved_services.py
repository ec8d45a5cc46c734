"""
Refusal of queued calls whose service has no serving backend server.

Without it, such calls would wait in their queue until their deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.queues import QueueKey, WaitingRequest
from sycamorehaven.blackboard.server_statuses import ServerStatus
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.unserved_services import (
    REPORT_LIFETIME_SECONDS,
    UNSERVED_TIMEOUT_SECONDS,
    UnservedServiceController,
)
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.exceptions.refusals import NoBackendServer
from sycamorehaven.transport.messages.permits import ServiceUnserved
from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.doubles import MemoryLink, create_board

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock, MemoryNetwork

ASSISTANT = QueueKey("assistant", "oakcourt", "batch")
BOOKINGS = QueueKey("bookings", "oakcourt", "interactive")


async def test_queued_calls_are_refused_once_no_server_serves(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    board = create_board()
    plans = [
        ServerPlan("engine-1", "assistant", "127.0.0.1:1"),
        ServerPlan("booking-1", "bookings", "127.0.0.1:2"),
    ]
    board.configuration.replace(
        accept_text(build_configuration_text(plans).encode(), 1)
    )
    controller = UnservedServiceController(board, MemoryLink(board, network), clock)
    unserved, served = (
        WaitingRequest(key, clock(), 1.0) for key in (ASSISTANT, BOOKINGS)
    )
    board.queues.push(unserved)
    board.queues.push(served)
    board.server_statuses.put("engine-1", ServerStatus(down_until=clock() + 60))
    controller.refuse_unserved_calls()
    clock.advance(UNSERVED_TIMEOUT_SECONDS / 2)
    controller.refuse_unserved_calls()
    assert not unserved.permit.done()
    clock.advance(UNSERVED_TIMEOUT_SECONDS / 2)
    controller.refuse_unserved_calls()
    refusal = unserved.permit.exception()
    assert isinstance(refusal, NoBackendServer)
    assert refusal.was_run == "no"
    assert refusal.retry_after is not None
    assert not served.permit.done()
    assert board.queues.count_waiting("bookings", "oakcourt") == 1


async def test_pause_does_not_count_as_time_without_a_server(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    board = create_board()
    plans = [ServerPlan("engine-1", "assistant", "127.0.0.1:1")]
    board.configuration.replace(
        accept_text(build_configuration_text(plans).encode(), 1)
    )
    controller = UnservedServiceController(board, MemoryLink(board, network), clock)
    waiting = WaitingRequest(ASSISTANT, clock(), 1.0)
    board.queues.push(waiting)
    board.server_statuses.put("engine-1", ServerStatus(down_until=clock() + 60))
    controller.refuse_unserved_calls()
    clock.advance(10.0)
    controller.refuse_unserved_calls()
    assert not waiting.permit.done()
    for _ in range(4):
        clock.advance(UNSERVED_TIMEOUT_SECONDS / 4)
        controller.refuse_unserved_calls()
    assert isinstance(waiting.permit.exception(), NoBackendServer)


async def test_service_that_is_served_again_in_time_keeps_its_queue(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    board = create_board()
    plans = [ServerPlan("engine-1", "assistant", "127.0.0.1:1")]
    board.configuration.replace(
        accept_text(build_configuration_text(plans).encode(), 1)
    )
    controller = UnservedServiceController(board, MemoryLink(board, network), clock)
    waiting = WaitingRequest(ASSISTANT, clock(), 1.0)
    board.queues.push(waiting)
    for _ in range(4):
        status = ServerStatus(down_until=clock() + UNSERVED_TIMEOUT_SECONDS / 2)
        board.server_statuses.put("engine-1", status)
        controller.refuse_unserved_calls()
        clock.advance(UNSERVED_TIMEOUT_SECONDS / 2)
        controller.refuse_unserved_calls()
    assert not waiting.permit.done()


async def test_scheduler_report_counts_where_the_server_is_not_polled(
    clock: ManualClock, network: MemoryNetwork
) -> None:
    edge, scheduler = create_board("a1"), create_board("a2")
    plans = [ServerPlan("engine-1", "assistant", "127.0.0.1:1")]
    text = build_configuration_text(plans).encode()
    for board in (edge, scheduler):
        board.members.replace(
            {b.identity.host: b.members.own for b in (edge, scheduler)}
        )
        board.configuration.replace(accept_text(text, 1))
    scheduler_host = choose_scheduler(
        edge.configuration.current.servers["engine-1"],  # type: ignore[union-attr]
        edge.members.map_failure_domains(),
    )
    if scheduler_host == "a1":
        edge, scheduler = scheduler, edge
    controller = UnservedServiceController(edge, MemoryLink(edge, network), clock)
    scheduler_link = MemoryLink(scheduler, network)
    waiting = WaitingRequest(ASSISTANT, clock(), 1.0)
    edge.queues.push(waiting)
    for _ in range(5):
        scheduler_link.send(edge.identity.host, ServiceUnserved("assistant"))
        network.deliver()
        controller.refuse_unserved_calls()
        clock.advance(UNSERVED_TIMEOUT_SECONDS / 4)
    controller.refuse_unserved_calls()
    assert isinstance(waiting.permit.exception(), NoBackendServer)
    assert edge.unserved_services.services == {"assistant"}
    clock.advance(2 * REPORT_LIFETIME_SECONDS)
    controller.refuse_unserved_calls()
    assert edge.unserved_services.services == frozenset()
