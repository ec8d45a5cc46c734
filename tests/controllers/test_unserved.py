from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.queues import QueueKey, Waiting
from sycamorehaven.blackboard.servers import ServerStatus
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.unserved import UNSERVED_LIMIT, UnservedController
from sycamorehaven.exceptions.refusals import NoBackendServer
from tests.support.doubles import create_board
from tests.support.texts import ServerPlan, write_configuration

if TYPE_CHECKING:
    from tests.support.doubles import ManualClock

ASSISTANT = QueueKey("assistant", "oakcourt", "batch")
BOOKINGS = QueueKey("bookings", "oakcourt", "interactive")


async def test_queued_calls_are_refused_once_no_server_serves(
    clock: ManualClock,
) -> None:
    board = create_board()
    plans = [
        ServerPlan("engine-1", "assistant", "127.0.0.1:1"),
        ServerPlan("booking-1", "bookings", "127.0.0.1:2"),
    ]
    board.configuration.replace(accept_text(write_configuration(plans).encode(), 1))
    controller = UnservedController(board, clock)
    lost, served = (Waiting(key, clock(), 1.0) for key in (ASSISTANT, BOOKINGS))
    board.queues.push(lost)
    board.queues.push(served)
    board.servers.put("engine-1", ServerStatus(down_until=clock() + 60))
    controller.refuse()
    clock.advance(UNSERVED_LIMIT / 2)
    controller.refuse()
    assert not lost.permit.done()
    clock.advance(UNSERVED_LIMIT / 2)
    controller.refuse()
    refusal = lost.permit.exception()
    assert isinstance(refusal, NoBackendServer)
    assert refusal.was_run == "no"
    assert refusal.retry_after is not None
    assert not served.permit.done()
    assert board.queues.count("bookings", "oakcourt") == 1


async def test_service_that_is_served_again_in_time_keeps_its_queue(
    clock: ManualClock,
) -> None:
    board = create_board()
    plans = [ServerPlan("engine-1", "assistant", "127.0.0.1:1")]
    board.configuration.replace(accept_text(write_configuration(plans).encode(), 1))
    controller = UnservedController(board, clock)
    waiting = Waiting(ASSISTANT, clock(), 1.0)
    board.queues.push(waiting)
    for _ in range(4):
        status = ServerStatus(down_until=clock() + UNSERVED_LIMIT / 2)
        board.servers.put("engine-1", status)
        controller.refuse()
        clock.advance(UNSERVED_LIMIT / 2)
        controller.refuse()
    assert not waiting.permit.done()
