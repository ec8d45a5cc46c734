"""Connections of clients to the listener for published routes."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from sycamorehaven.exceptions.refusals import NotReady
from sycamorehaven.platform.header_codec import PlatformHeaderCodec
from sycamorehaven.settings import split_address
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.frontend_listener import (
    FrontendListener,
    choose_max_connections,
    choose_max_requests,
)
from tests.support.doubles import create_board
from tests.support.gateway_harness import build_settings

if TYPE_CHECKING:
    from sycamorehaven.call import Answer
    from sycamorehaven.routing.requests import RoutedRequest
    from sycamorehaven.settings import RouterSettings

DESCRIPTORS = 10
MAX_CONNECTIONS = choose_max_connections(DESCRIPTORS)
REQUEST = b"GET /look/1 HTTP/1.1\r\nHost: fleet.example\r\n\r\n"


class RefusingHandler:
    """A ``RoutedRequestHandler`` that refuses every request."""

    async def answer(self, request: RoutedRequest) -> Answer:
        """Refuse a request."""
        raise NotReady(f"no answer to {request.target}")


def create_listener(
    settings: RouterSettings, metrics: GatewayMetrics | None = None
) -> FrontendListener:
    return FrontendListener(
        create_board(),
        settings,
        RefusingHandler(),
        PlatformHeaderCodec(),
        DecisionLog("a1", None),
        metrics or GatewayMetrics(),
        descriptors=DESCRIPTORS,
    )


async def test_idle_connections_do_not_use_up_the_descriptors() -> None:
    settings, metrics = build_settings("127.0.0.1:1"), GatewayMetrics()
    listener = create_listener(settings, metrics)
    await listener.start()
    try:
        address = split_address(settings.callers_address)
        # The kernel has all connections before the listener accepts the first.
        sockets = [
            socket.create_connection(address) for _ in range(3 * MAX_CONNECTIONS)
        ]
        connections = [await asyncio.open_connection(sock=sock) for sock in sockets]
        reader, writer = connections[-1]
        writer.write(REQUEST)
        assert (await reader.readline()).startswith(b"HTTP/1.1 503")
        for closed, _ in connections[:-MAX_CONNECTIONS]:
            assert await asyncio.wait_for(closed.read(), 1.0) == b""
        assert not connections[-2][0].at_eof()
        for _, writer in connections:
            writer.close()
    finally:
        await listener.stop()


async def test_connection_in_use_is_closed_after_unused_ones() -> None:
    settings = build_settings("127.0.0.1:1")
    listener = create_listener(settings)
    await listener.start()
    try:
        address = split_address(settings.callers_address)
        connections = [await asyncio.open_connection(*address)]
        connections += [
            await asyncio.open_connection(*address) for _ in range(MAX_CONNECTIONS - 1)
        ]
        reader, writer = connections[0]
        writer.write(REQUEST)
        assert (await reader.readuntil(b"}")).startswith(b"HTTP/1.1 503")
        connections.append(await asyncio.open_connection(*address))
        async with asyncio.timeout(5.0):
            assert await connections[1][0].read() == b""
        writer.write(REQUEST)
        assert (await reader.readuntil(b"}")).startswith(b"HTTP/1.1 503")
        for _, open_writer in connections:
            open_writer.close()
    finally:
        await listener.stop()


async def test_received_request_is_answered_while_connections_are_limited() -> None:
    settings = build_settings("127.0.0.1:1")
    listener = create_listener(settings)
    await listener.start()
    try:
        address = split_address(settings.callers_address)
        connections = [
            await asyncio.open_connection(*address) for _ in range(MAX_CONNECTIONS)
        ]
        await asyncio.sleep(0.05)
        protocols = list(listener.list_idle_connections())
        assert len(protocols) == MAX_CONNECTIONS
        # The handler of a request begins only after data has been received.
        protocols[0].data_received(REQUEST)
        assert not protocols[0].close_if_idle()
        connections.append(await asyncio.open_connection(*address))
        reader, _ = connections[0]
        assert (await reader.readuntil(b"}")).startswith(b"HTTP/1.1 503")
        for _, writer in connections:
            writer.close()
    finally:
        await listener.stop()


# Servers that answer slowly keep more requests in progress than the 260 that a
# router with as many descriptors had in a flood.
def test_clients_leave_descriptors_to_a_router_that_relays_a_flood() -> None:
    descriptors, reserved = 1_638, 200
    routers = 70
    server_connections = choose_max_requests(descriptors)
    # A socket to a router, one from it, and the event descriptor of ZeroMQ.
    other_routers = 3 * routers
    used = choose_max_connections(descriptors) + other_routers + server_connections
    assert used <= descriptors - reserved
