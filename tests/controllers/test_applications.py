"""What follows from the answers of the schedulers of engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.controllers.admissions import AdmissionAnswer, AdmissionController
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.routing.model import (
    EngineCapacity,
    RequestLimits,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
)
from sycamorehaven.routing.requests import PromptPart, RequestHead, RoutedRequest
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.support.doubles import (
    ManualClock,
    MemoryLink,
    MemoryNetwork,
    create_board,
)
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.transport.messages.admissions import AdmissionRequest

SERVER = ServerRecord("s1", 1, "model", "s1:80", "a", 16, draining=False)
REFUSED = AdmissionAnswer("refused", None, None)


class RecordingAdmissions(AdmissionController):
    """
    Schedulers that answer when the test does.

    :ivar answers: takes the answer of each application, in order.
    """

    def __init__(self, clock: ManualClock) -> None:
        board = create_board()
        link = MemoryLink(board, MemoryNetwork())
        super().__init__(board, link, DecisionLog("a1", None), GatewayMetrics(), clock)
        self.answers: list[Callable[[AdmissionAnswer], None]] = []

    def find_scheduler(self, server: ServerRecord, now: float) -> str | None:  # noqa: ARG002
        """Return that every engine has a scheduler."""
        return "a0"

    def apply(
        self,
        request: AdmissionRequest,  # noqa: ARG002
        server: ServerRecord,  # noqa: ARG002
        on_answer: Callable[[AdmissionAnswer], None],
    ) -> int:
        """Keep where the answer goes."""
        self.answers.append(on_answer)
        return len(self.answers)


def create_dispatcher(
    clock: ManualClock, admissions: AdmissionController
) -> Dispatcher:
    """Return the dispatcher of a router before one engine."""
    board = create_board()
    services = {"model": RoutedService("model", 64, EngineCapacity(16, 0, 0.0))}
    limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
    configuration = RoutingConfiguration(
        1, 1, (STREAMING_ROUTE,), services, limits, None
    )
    board.routing.apply_snapshot(Snapshot(1, configuration, (SERVER,)), clock())
    log = DecisionLog("a1", None)
    return Dispatcher(board, log, GatewayMetrics(), clock, admissions)


def build_request(now: float) -> RoutedRequest:
    """Return a request with a prompt."""
    parts = (PromptPart("p", 3_000),)
    head = RequestHead("x1", 12.0, "", "m", parts, 3_000, 100, None)
    route, deadline = STREAMING_ROUTE, now + 12.0
    return RoutedRequest(
        head, "POST", "/", (), b"", route, "model", "w1", now, deadline
    )


# Each pass compares all engines, too much for a small host at each refusal.
async def test_refusal_begins_a_pass_of_its_own(clock: ManualClock) -> None:
    admissions = RecordingAdmissions(clock)
    dispatcher = create_dispatcher(clock, admissions)
    task = asyncio.create_task(dispatcher.acquire(build_request(clock())))
    await asyncio.sleep(0)
    assert len(admissions.answers) == 1
    clock.advance(0.01)
    admissions.answers[0](REFUSED)
    assert len(admissions.answers) == 1
    dispatcher.dispatch_pending()
    assert len(admissions.answers) == 2
    task.cancel()


async def test_request_that_waits_for_its_answer_is_asked_for_again(
    clock: ManualClock,
) -> None:
    admissions = RecordingAdmissions(clock)
    dispatcher = create_dispatcher(clock, admissions)
    task = asyncio.create_task(dispatcher.acquire(build_request(clock())))
    await asyncio.sleep(0)
    dispatcher.dispatch_pending()
    assert len(admissions.answers) == 1
    task.cancel()
