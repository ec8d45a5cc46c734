"""Test the listeners for short requests, on the loopback interface."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from sycamorehaven.transport.client_limits.check_connections import (
    CHECK_LIMITS,
    open_check_listener,
)
from sycamorehaven.transport.client_limits.guard import ClientGuard
from tests.support.fleet import allocate_port

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

CHECK = b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer(_request: BaseRequest) -> web.StreamResponse:
    """Answer a readiness check."""
    return web.Response()


async def exchange(port: int, data: bytes) -> bytes:
    """Send data on a connection of its own; return all until it is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(10.0):
        received = await reader.read()
    writer.close()
    return received


async def test_checks_are_answered_beside_more_connections_than_allowed() -> None:
    # Guards against a balancer that finds the router not ready.
    port, server = allocate_port(), web.Server(answer)
    listener = await open_check_listener(server, ClientGuard(), "127.0.0.1", port)
    writers = []
    for number in range(2 * CHECK_LIMITS.connections):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(CHECK[:10] if number % 2 else b"")
        writers.append(writer)
    closing = CHECK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    assert (await exchange(port, closing)).startswith(b"HTTP/1.1 200")
    for writer in writers:
        writer.close()
    listener.close()
    await server.shutdown(1.0)


async def test_connection_with_a_body_is_closed_after_its_answer() -> None:
    # Guards against reading bodies that nothing uses.
    port, server = allocate_port(), web.Server(answer)
    listener = await open_check_listener(server, ClientGuard(), "127.0.0.1", port)
    head = CHECK.replace(b"\r\n\r\n", b"\r\nContent-Length: 100\r\n\r\n")
    assert (await exchange(port, head + b"x")).startswith(b"HTTP/1.1 200")
    listener.close()
    await server.shutdown(1.0)
