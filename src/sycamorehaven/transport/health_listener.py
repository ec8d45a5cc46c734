"""The HTTP listeners for readiness checks and for metrics."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from aiohttp import web
from mode import Service

from sycamorehaven.settings import split_address
from sycamorehaven.transport.client_limits.check_connections import open_check_listener
from sycamorehaven.transport.client_limits.guard import ClientGuard
from sycamorehaven.transport.listening import SHUTDOWN_TIMEOUT_SECONDS

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.gateway_settings import GatewaySettings
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics


class HealthListener(Service):
    """
    Answers readiness checks and serves the metrics, each on its own address.

    :param board: the shared state of this router.
    :param settings: the settings that hold both addresses.
    :param decision_log: records changes of readiness.
    :param metrics: the metrics to serve.
    :param clock: returns monotonic time, seconds.
    :param is_short_of_time: returns whether new connections should go to other
        routers.
    :param guard: holds clients to limits of memory and time.
    """

    def __init__(
        self,
        board: Blackboard,
        settings: GatewaySettings,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
        is_short_of_time: Callable[[], bool] = lambda: False,
        guard: ClientGuard | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._is_short_of_time = is_short_of_time
        self._ready = False
        self._guard = guard or ClientGuard()
        self._servers: list[web.Server] = []
        self._listeners: list[asyncio.Server] = []

    async def on_start(self) -> None:
        """Start both listeners."""
        await self._bind(self._settings.readiness, self._answer_readiness)
        await self._bind(self._settings.metrics, self._answer_metrics)

    async def on_stop(self) -> None:
        """Close both listeners."""
        for listener in self._listeners:
            listener.close()
        for server in self._servers:
            await server.shutdown(SHUTDOWN_TIMEOUT_SECONDS)

    async def _bind(
        self, address: str, handler: Callable[[BaseRequest], web.StreamResponse]
    ) -> None:
        async def handle(request: BaseRequest) -> web.StreamResponse:
            return handler(request)

        server = web.Server(handle)
        self._servers.append(server)
        self._listeners.append(
            await open_check_listener(server, self._guard, *split_address(address))
        )

    def _answer_readiness(self, _request: BaseRequest) -> web.StreamResponse:
        is_short_of_time = self._is_short_of_time()
        ready = (
            self._board.routing.is_ready
            and not self._board.lifecycle.is_draining
            and not is_short_of_time
        )
        if ready != self._ready:
            self._ready = ready
            self._decision_log.record(
                "ready" if ready else "not_ready",
                draining=self._board.lifecycle.is_draining,
                snapshot=self._board.routing.revision,
                short_of_time=is_short_of_time,
            )
        return web.Response(status=200 if ready else 503)

    def _answer_metrics(self, _request: BaseRequest) -> web.StreamResponse:
        age = self._clock() - self._board.routing.read_at
        self._metrics.snapshot_age.set(age)
        return web.Response(body=self._metrics.render(), content_type="text/plain")
