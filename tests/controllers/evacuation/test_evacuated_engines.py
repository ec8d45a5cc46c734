"""Engines of an evacuated failure domain: prompts, copies and schedulers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.controllers.candidates import CandidateFinder, PendingRequest
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.decisions.placement import choose_engine
from sycamorehaven.decisions.prefix_cache import hash_prefixes
from sycamorehaven.exceptions.backends import ServerUnwilling
from sycamorehaven.routing.model import (
    EngineCapacity,
    Evacuation,
    RequestLimits,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    Snapshot,
)
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from tests.controllers.test_applications import RecordingAdmissions, build_request
from tests.support.doubles import ManualClock, create_board, create_recorder
from tests.support.gateway_harness import build_settings
from tests.support.published_routes import STREAMING_ROUTE

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.controllers.admissions import AdmissionAnswer
    from sycamorehaven.transport.messages.admissions import AdmissionRequest

ENGINES = tuple(
    ServerRecord(name, 1, "model", f"{name}:80", domain, 16, draining=False)
    for name, domain in (("s1", "a"), ("s2", "b"))
)


class ServerAdmissions(RecordingAdmissions):
    """
    Schedulers that answer when the test does.

    :ivar asked: the engine of each application.
    :ivar withdrawn: numbers of the applications that were withdrawn.
    """

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.asked: list[str] = []
        self.withdrawn: list[int] = []

    def apply(
        self,
        request: AdmissionRequest,
        server: ServerRecord,
        on_answer: Callable[[AdmissionAnswer], None],
    ) -> int:
        """Keep which engine was chosen."""
        self.asked.append(server.id)
        return super().apply(request, server, on_answer)

    def withdraw(self, number: int) -> None:
        """Keep which application was withdrawn."""
        self.withdrawn.append(number)


def build_board(clock: ManualClock) -> Blackboard:
    """Return the board of a router before an engine in each of two domains."""
    board = create_board()
    services = {"model": RoutedService("model", 64, EngineCapacity(16, 500_000, 1e6))}
    limits = RequestLimits(16_384, 100_000, 3.0, 15.0, 0.0)
    configuration = RoutingConfiguration(
        1, 1, (STREAMING_ROUTE,), services, limits, None
    )
    board.routing.apply_snapshot(Snapshot(1, configuration, ENGINES), clock())
    return board


def evacuate(board: Blackboard, clock: ManualClock) -> None:
    """Evacuate the failure domain of the engine ``s1``."""
    evacuations = (Evacuation("a", 2),)
    snapshot = Snapshot(2, None, ENGINES, evacuations=evacuations)
    board.routing.apply_snapshot(snapshot, clock())


async def test_prompts_are_copied_from_an_evacuated_engine_until_the_timeout(
    clock: ManualClock,
) -> None:
    board = build_board(clock)
    request = build_request(clock())
    prefixes = hash_prefixes("m", request.head.prompt_parts)
    future = asyncio.get_running_loop().create_future()
    pending = PendingRequest(request, prefixes, frozenset(), False, clock(), future)  # noqa: FBT003
    finder = CandidateFinder(board)
    finder.observe_service("model", clock())
    board.fleet_load.add_placements(prefixes, "s1")
    board.fleet_load.find_model("s1").prefix_cache.record_prompt(prefixes)
    evacuate(board, clock)
    recorder = create_recorder(board, clock)
    for passed, source in ((4.9, "s1:80"), (0.1, "")):
        clock.advance(passed)
        load = finder.observe_service("model", clock())
        best = choose_engine(finder.list_candidates(pending, load))
        assert best is not None
        assert (best.server.id, best.copy_source) == ("s2", source)
        recorder.check_open(best.server, best.copy_source)
    # A router that stood still sends what it had chosen before.
    is_copied = True
    try:
        recorder.check_open(ENGINES[1], "s1:80")
    except ServerUnwilling:
        is_copied = False
    assert not is_copied


def test_copies_end_with_the_timeout_of_the_settings(clock: ManualClock) -> None:
    settings = build_settings("127.0.0.1:1")
    assert settings.gateway is not None
    gateway = settings.gateway._replace(evacuation_timeout=1.0)
    board = Blackboard.from_settings(settings._replace(gateway=gateway))
    board.routing.apply_snapshot(Snapshot(1, None, ENGINES), clock())
    evacuate(board, clock)
    assert board.routing.allows_copies_from("s1:80", clock() + 0.9)
    assert not board.routing.allows_copies_from("s1:80", clock() + 1.0)


async def test_request_that_waits_for_an_evacuated_engine_goes_to_another_at_once(
    clock: ManualClock,
) -> None:
    board, admissions = build_board(clock), ServerAdmissions(clock)
    log = DecisionLog("a1", None)
    dispatcher = Dispatcher(board, log, GatewayMetrics(), clock, admissions)
    task = asyncio.create_task(dispatcher.acquire(build_request(clock())))
    await asyncio.sleep(0)
    first = admissions.asked[0]
    assert first == "s1"
    evacuate(board, clock)
    assert admissions.withdrawn == [1]
    clock.advance(0.03)
    dispatcher.dispatch_pending()
    assert admissions.asked == ["s1", "s2"]
    task.cancel()


# Requests that arrive during a pause are read before the store is.
async def test_request_after_a_pause_waits_for_a_snapshot(clock: ManualClock) -> None:
    settings = build_settings("127.0.0.1:1")
    assert settings.gateway is not None
    gateway = settings.gateway._replace(has_evacuations=True)
    board = Blackboard.from_settings(settings._replace(gateway=gateway))
    known = build_board(clock).routing.snapshot
    assert known is not None
    board.routing.apply_snapshot(known, clock())
    board.routing.recovery.beat(clock())
    clock.advance(6.0)
    recorder = create_recorder(board, clock)
    is_sent = True
    try:
        recorder.check_open(ENGINES[0])
    except ServerUnwilling:
        is_sent = False
    assert not is_sent
    dispatcher = Dispatcher(board, DecisionLog("a1", None), GatewayMetrics(), clock)
    task = asyncio.create_task(dispatcher.acquire(build_request(clock())))
    await asyncio.sleep(0)
    board.routing.recovery.beat(clock())
    dispatcher.dispatch_pending()
    await asyncio.sleep(0)
    assert not task.done()
    evacuate(board, clock)
    board.routing.recovery.record_read(clock())
    dispatcher.dispatch_pending()
    assert (await task).server.id == "s2"
