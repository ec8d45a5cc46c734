"""Routers that leave the balancer's rotation, and where their load is then."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp

from sycamorehaven.decisions.rotation import MIN_ABSENCE_SECONDS, MIN_REJECTIONS
from sycamorehaven.gateway import Gateway
from sycamorehaven.telemetry.decision_log import DecisionLog
from tests.support.fixtures import async_fixture
from tests.support.gateway_client import send_request
from tests.support.gateway_harness import (
    API_KEY,
    ROUTE_HOST,
    GatewayHarness,
    build_settings,
    wait_until,
)
from tests.transport.test_time_gate import make_late

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CLIENTS = 8
"""Clients that send one request after the other."""
PAUSE_SECONDS = 0.02
"""Pause of each client between two requests."""


class RouterPair:
    """
    Two routers of one failure domain.

    :ivar first: the router that is overloaded.
    :ivar second: the router that gets its load.
    """

    def __init__(self) -> None:
        self.first = GatewayHarness()
        self.second = GatewayHarness()

    async def start(self) -> None:
        """Start both routers and wait until the first knows the second."""
        await self.first.start()
        settings = build_settings(self.first.store.address)._replace(
            host="router2", seeds=(self.first.board.members.own.address,)
        )
        assert settings.gateway is not None
        self.second.callers_address = settings.callers_address
        self.second.readiness_address = settings.gateway.readiness
        self.second.gateway = Gateway(
            settings, settings.gateway, DecisionLog("router2", None)
        )
        await self.second.gateway.start()
        await wait_until(lambda: self.second.board.routing.is_ready)
        await wait_until(lambda: self.first.board.members.count() == 2)

    async def stop(self) -> None:
        """Stop both routers."""
        await self.second.stop()
        await self.first.stop()


@async_fixture
async def router_pair() -> AsyncIterator[RouterPair]:
    """Yield two routers that know each other."""
    pair = RouterPair()
    try:
        await pair.start()
        yield pair
    finally:
        await pair.stop()


async def is_ready(harness: GatewayHarness) -> bool:
    """Return what a router answers the balancer."""
    async with (
        aiohttp.ClientSession() as client,
        client.get(f"http://{harness.readiness_address}/readyz") as response,
    ):
        return response.status == 200


async def becomes_ready(harness: GatewayHarness, seconds: float) -> bool:
    """Return whether a router is ready within some time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while not await is_ready(harness):  # noqa: ASYNC110
                await asyncio.sleep(0.1)
            return True
    return False


async def overload(harness: GatewayHarness) -> None:
    """Let a router reject so much that it leaves the rotation."""
    assert (await send_request(harness, "/look/1"))[0] == 200
    assert await is_ready(harness)
    make_late(harness)
    for number in range(2 * MIN_REJECTIONS):
        await send_request(harness, "/look/1", attempt=f"late{number}")
        await asyncio.sleep(0.005)
    assert not await is_ready(harness)


@contextlib.asynccontextmanager
async def send_flood(harness: GatewayHarness) -> AsyncIterator[None]:
    """Send far more requests a second than make a router leave."""

    async def send_on(client: aiohttp.ClientSession, worker: int) -> None:
        number = 0
        while True:
            headers = {
                "Host": ROUTE_HOST,
                "Sycamorehaven-Attempt-Id": f"w{worker}-{number}",
                "Sycamorehaven-Key": API_KEY,
            }
            url = f"http://{harness.callers_address}/look/1"
            async with client.get(url, headers=headers) as response:
                await response.read()
            number += 1
            await asyncio.sleep(PAUSE_SECONDS)

    async with aiohttp.ClientSession() as client:
        workers = [
            asyncio.create_task(send_on(client, worker)) for worker in range(CLIENTS)
        ]
        try:
            yield
        finally:
            for worker in workers:
                worker.cancel()
            await asyncio.gather(*workers, return_exceptions=True)


# A router that comes back by a timer takes its load from one that carries it.
async def test_overloaded_router_comes_back_while_its_load_is_elsewhere(
    router_pair: RouterPair,
) -> None:
    async with send_flood(router_pair.second):
        await overload(router_pair.first)
        await asyncio.sleep(MIN_ABSENCE_SECONDS + 1.5)
        assert not await is_ready(router_pair.first)
    assert await becomes_ready(router_pair.first, 10.0)


async def test_overloaded_router_comes_back_once_its_load_is_gone(
    router_pair: RouterPair,
) -> None:
    await overload(router_pair.first)
    assert await becomes_ready(router_pair.first, MIN_ABSENCE_SECONDS + 6.0)
