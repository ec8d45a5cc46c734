"""
Brings model engines to the configured state.

The router that schedules an engine reads its state and orders it to load what
the configuration demands.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sycamorehaven.decisions.engine_orders import (
    SentOrder,
    has_load_slot,
    is_managed,
    needs_weight_store,
    plan_order,
)
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.transport.engine_control import OrderFailed

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.decisions.engine_orders import EngineOrder, EngineState
    from sycamorehaven.transport.engine_control import EngineControl

ROUND_PERIOD_SECONDS = 2.0
"""Interval at which the state of each engine is read."""


class EngineOrderController(Service):
    """
    Compares the state of engines with the configuration and sends orders.

    :param board: the state of this router.
    :param engines: reads the state of engines and sends orders to them.
    :param clock: returns the monotonic time in seconds.
    :param wall_clock: returns seconds since the epoch; time slots for loading
        weights are counted from it.
    """

    def __init__(
        self,
        board: Blackboard,
        engines: EngineControl,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self._board = board
        self._engines = engines
        self._clock = clock
        self._wall_clock = wall_clock
        self._sent_orders: dict[str, SentOrder] = {}

    async def run_round(self) -> None:
        """
        Reconcile each engine that this router schedules.

        Nothing is ordered while the leaving states may be outdated.
        """
        configuration = self._board.configuration.current
        if configuration is None or self._board.departures.is_stale(self._clock()):
            return
        managed = [s for s in configuration.servers.values() if is_managed(s)]
        names = [server.name for server in managed]
        self._sent_orders = {
            n: sent for n, sent in self._sent_orders.items() if n in names
        }
        domains = self._board.members.map_failure_domains()
        own = self._board.identity.host
        await asyncio.gather(
            *(
                self._reconcile_engine(server, names)
                for server in managed
                if choose_scheduler(server, domains) == own
            )
        )

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.run_round()
            await self.sleep(ROUND_PERIOD_SECONDS)

    async def _reconcile_engine(
        self, server: BackendServer, managed: list[str]
    ) -> None:
        try:
            state = await self._engines.read_state(server)
            order = self._plan_order(server, state)
            if order is None:
                return
            may_load_weights = has_load_slot(server.name, managed, self._wall_clock())
            if needs_weight_store(order, state) and not may_load_weights:
                return
            self._record_sent_order(server.name, order)
            await self._engines.send_order(server, order)
        except OrderFailed as error:
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)

    def _plan_order(
        self, server: BackendServer, state: EngineState
    ) -> EngineOrder | None:
        """
        Return the order for a server by the configuration in force now.

        It may have changed while the engine's state was read.
        """
        configuration = self._board.configuration.current
        now = self._clock()
        if configuration is None or self._board.departures.is_stale(now):
            return None
        current = configuration.servers.get(server.name)
        if current is None or self._board.departures.is_leaving(server.name):
            return None
        sent = self._sent_orders.get(server.name)
        return plan_order(current, configuration.revision, state, sent, now)

    def _record_sent_order(self, server: str, order: EngineOrder) -> None:
        known = self._sent_orders.get(server)
        is_repeat = known is not None and known.order == order
        repeats = known.resend_count + 1 if known is not None and is_repeat else 0
        self._sent_orders[server] = SentOrder(order, self._clock(), repeats)
        logging.info("sending order %d to server %s", order.number, server)
