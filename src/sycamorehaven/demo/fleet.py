"""Runs the routers and the stand-in servers of the demo in one process."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from sycamorehaven.demo.plan import ENGINE_TOKEN_SECONDS, SERVER_SLOTS
from sycamorehaven.exceptions.console import ConsoleError
from sycamorehaven.router import Router
from sycamorehaven.standins.booking import BookingStandin
from sycamorehaven.standins.engine import EngineStandin
from sycamorehaven.standins.platform import PlatformStandin
from sycamorehaven.standins.serving import start_application
from sycamorehaven.telemetry.logs import configure_logging
from sycamorehaven.telemetry.tracing import Tracing

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

    from sycamorehaven.demo.plan import DemoPlan

START_TIMEOUT_SECONDS = 10.0
"""Time within which every router must be ready and know the others."""
READY_POLL_SECONDS = 0.02
"""Interval at which the readiness of the routers is checked."""


class DemoNotReady(ConsoleError):
    """The demo's fleet did not become ready in time."""

    code = "demo_not_ready"
    remedy = "end what uses the ports, or the machine's load, and run it again"


class DemoFleet:
    """
    The routers of the demo, its stand-in platform and its backend servers.

    :param plan: addresses and keys of the fleet.
    """

    def __init__(self, plan: DemoPlan) -> None:
        self._plan = plan
        self._platform = PlatformStandin()
        self._booking = BookingStandin(SERVER_SLOTS)
        self._engines = {
            name: EngineStandin(SERVER_SLOTS, token_time)
            for name, token_time in ENGINE_TOKEN_SECONDS.items()
        }
        settings = [plan.create_settings(router) for router in plan.routers]
        configure_logging(settings[0])
        # When the demo stops, connections to the stand-ins are closed during
        # answers; aiohttp would log each as an error.
        logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
        self._tracing = Tracing.from_settings(settings[0])
        self._tracing.install()
        self._routers = [
            Router.from_settings(router_settings, self._tracing.buffer)
            for router_settings in settings
        ]

    @property
    def plan(self) -> DemoPlan:
        """The addresses and keys of the fleet."""
        return self._plan

    @property
    def booking(self) -> BookingStandin:
        """The stand-in for the booking server."""
        return self._booking

    @property
    def routers(self) -> list[Router]:
        """The routers of the fleet."""
        return self._routers

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[DemoFleet]:
        """
        Run the fleet for the duration of a ``with`` block.

        :raises DemoNotReady: if the fleet does not become ready.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._tracing.close)
            await self._start_standins(stack)
            for router in self._routers:
                await router.start()
                stack.push_async_callback(router.stop)
            await self._wait_until_ready()
            yield self

    async def _start_standins(self, stack: contextlib.AsyncExitStack) -> None:
        self._platform.publish(self._plan.render_configuration().encode())
        applications: dict[str, web.Application] = {
            self._plan.platform_address: self._platform.build_application(),
            self._plan.server_addresses["booking-1"]: self._booking.build_application(),
        }
        for name, engine in self._engines.items():
            applications[self._plan.server_addresses[name]] = engine.build_application()
        for address, application in applications.items():
            try:
                runner = await start_application(application, address)
            except OSError as error:
                raise DemoNotReady(
                    f'cannot listen on "{address}": {error.strerror}'
                ) from error
            stack.push_async_callback(runner.cleanup)

    async def _wait_until_ready(self) -> None:
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                for router in self._routers:
                    while not self._has_joined_fleet(router):
                        await router.board.members.changed.wait(READY_POLL_SECONDS)
        except TimeoutError as error:
            raise DemoNotReady("the routers did not find each other in time") from error

    def _has_joined_fleet(self, router: Router) -> bool:
        member_count = len(router.board.members.list())
        return router.board.configuration.revision > 0 and member_count == len(
            self._routers
        )
