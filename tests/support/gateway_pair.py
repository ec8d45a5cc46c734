"""Two gateways of a failure domain in the test process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.gateway import Gateway
from sycamorehaven.telemetry.decision_log import DecisionLog
from tests.support.fixtures import async_fixture
from tests.support.gateway_client import send_request
from tests.support.gateway_harness import GatewayHarness, build_settings, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OWN_REQUESTS = 100_000
"""Requests in progress of a router that has no time for more."""
REQUEST_PAUSE_SECONDS = 0.02
"""Pause between two requests of a flood; routers have to hear of it."""


class GatewayPair(GatewayHarness):
    """
    A harness whose gateway has another one beside it.

    :ivar other: the other gateway.
    """

    def __init__(self) -> None:
        super().__init__()
        self.other: Gateway | None = None

    async def start(self) -> None:
        """Start everything, and wait until the gateways know each other."""
        await super().start()
        own = self.board.members.own
        settings = build_settings(self.store.address)
        settings = settings._replace(host="other", seeds=(own.address,))
        assert settings.gateway is not None
        log = DecisionLog("other", None)
        self.other = other = Gateway(settings, settings.gateway, log)
        other.board.routing.software_versions.assume_first_start()
        await other.start()
        await wait_until(lambda: other.board.routing.is_ready)
        await wait_until(lambda: self.board.members.count() == 2)
        await wait_until(lambda: other.board.members.count() == 2)

    async def stop(self) -> None:
        """Stop both gateways, the servers and the store."""
        if self.other is not None:
            await self.other.stop()
        await super().stop()

    def keep_busy(self) -> None:
        """Let the first gateway have no time for further requests."""
        for _ in range(OWN_REQUESTS):
            self.board.lifecycle.begin_request()

    async def flood(self, requests: int = 40) -> list[int]:
        """Send requests to the first gateway; return their statuses."""
        statuses = []
        for number in range(requests):
            status, _, _ = await send_request(self, "/look/x", attempt=f"f{number}")
            statuses.append(status)
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)
        return statuses


@async_fixture
async def gateway_pair() -> AsyncIterator[GatewayPair]:
    """Yield two gateways that have been started."""
    made = GatewayPair()
    try:
        await made.start()
        yield made
    finally:
        await made.stop()
