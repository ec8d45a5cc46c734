"""
Engines reach the configured state, with and without fencing.

An engine that checks fencing numbers refuses orders that are older than its
last one. Without the check, a router with an outdated configuration could
make an engine load weights over and over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

from aiohttp import web

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.engine_orders import EngineOrderController
from sycamorehaven.decisions.engine_orders import build_order
from sycamorehaven.standins.orders import EngineOrderStandin
from sycamorehaven.standins.serving import start_application
from sycamorehaven.transport.engine_control import HttpEngineControl, OrderRefused
from tests.support.configuration_texts import ServerPlan, build_configuration_text
from tests.support.doubles import ManualClock, create_board
from tests.support.fixtures import async_fixture
from tests.support.fleet import allocate_address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sycamorehaven.blackboard.board import Blackboard


class EngineHarness:
    """A stand-in engine and routers that send it orders."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.address = allocate_address()
        self.control = HttpEngineControl()
        self.standin = EngineOrderStandin(load_time=0.0)

    async def serve(self, *, checks_fencing: bool) -> None:
        """Start the engine, with or without a check of fencing numbers."""
        self.checks_fencing = checks_fencing
        self.standin = EngineOrderStandin(checks_fencing, load_time=0.0)
        application = web.Application()
        self.standin.add_routes(application)
        self.runner = await start_application(application, self.address)

    def create_router(
        self, host: str, model: str, revision: int
    ) -> EngineOrderController:
        """Return an order controller whose router schedules the engine."""
        board = create_board(host, "a", revision)
        self.configure(board, model, revision)
        return EngineOrderController(board, self.control, self.clock, self.clock)

    def configure(self, board: Blackboard, model: str, revision: int) -> None:
        """Put a configuration in force that demands a model of the engine."""
        plan = ServerPlan("engine-1", "assistant", self.address)
        text = build_configuration_text([plan])
        text += f'models = ["{model}"]\nversion = "v1"\n'
        text += f"checks_fencing = {str(self.checks_fencing).lower()}\n"
        board.configuration.replace(accept_text(text.encode(), revision))

    def list_numbers(self) -> list[int]:
        """Return the fencing numbers of the orders that were accepted."""
        return [order["number"] for order in self.standin.accepted_orders]


@async_fixture
async def engine() -> AsyncIterator[EngineHarness]:
    """Return a harness whose engine is not started yet."""
    harness = EngineHarness(ManualClock())
    yield harness
    await harness.control.close()
    await harness.runner.cleanup()


async def test_an_engine_is_ordered_once_to_load_what_is_configured(
    engine: EngineHarness,
) -> None:
    await engine.serve(checks_fencing=True)
    router = engine.create_router("r1", "small", 3)
    for _ in range(5):
        await router.run_round()
    assert engine.list_numbers() == [3]
    assert engine.standin.models == ["small"]
    assert engine.standin.version == "v1"


async def test_an_engine_that_checks_fencing_numbers_refuses_an_older_order(
    engine: EngineHarness,
) -> None:
    await engine.serve(checks_fencing=True)
    outdated = engine.create_router("r1", "small", 3)
    server = accept_text(
        build_configuration_text(
            [ServerPlan("engine-1", "assistant", engine.address)]
        ).encode(),
        1,
    ).servers["engine-1"]
    current = engine.create_router("r2", "large", 4)
    await current.run_round()
    with TestCase().assertRaises(OrderRefused):
        await engine.control.send_order(server, build_order(server, 3))
    assert engine.standin.refused_count == 1
    for _ in range(5):
        await outdated.run_round()
        engine.clock.advance(100.0)
    assert engine.list_numbers() == [4]
    assert engine.standin.models == ["large"]


async def test_conflicting_orders_to_an_engine_without_fencing_are_rare(
    engine: EngineHarness,
) -> None:
    await engine.serve(checks_fencing=False)
    outdated = engine.create_router("r1", "small", 3)
    current = engine.create_router("r2", "large", 4)
    for _ in range(1_800):
        await outdated.run_round()
        await current.run_round()
        engine.clock.advance(2.0)
    orders = len(engine.list_numbers())
    assert 2 <= orders <= 30
    engine.configure(outdated._board, "large", 4)
    engine.clock.advance(1_000.0)
    await outdated.run_round()
    await current.run_round()
    assert engine.standin.models == ["large"]
    assert len(engine.list_numbers()) <= orders + 1
    engine.standin.models = []
    engine.clock.advance(1_000.0)
    await current.run_round()
    assert engine.standin.models == ["large"]


async def test_no_order_is_sent_while_the_leaving_state_is_outdated(
    engine: EngineHarness,
) -> None:
    await engine.serve(checks_fencing=False)
    router = engine.create_router("r1", "small", 3)
    router._board.departures.mark_stale()
    await router.run_round()
    assert engine.list_numbers() == []
    router._board.departures.mark_updated(engine.clock())
    await router.run_round()
    assert engine.list_numbers() == [3]
