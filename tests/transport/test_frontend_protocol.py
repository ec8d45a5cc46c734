"""Connections of clients whose requests are rejected early."""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from aiohttp import web

from sycamorehaven.transport.frontend_protocol import FrontendProtocol

REQUEST = b"GET /look/1 HTTP/1.1\r\nHost: fleet.example\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Keep some bytes."""
        self.written.append(bytes(data))

    def close(self) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        """Return that it is open."""
        return False


async def connect() -> tuple[FrontendProtocol, FakeTransport]:
    """Return a connection that waits for its first request."""

    async def hang(_request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.Event().wait()
        return web.Response()

    protocol = FrontendProtocol(
        OrderedDict(),
        lambda: None,
        lambda _: REJECTION,
        web.Server(hang),
        loop=asyncio.get_running_loop(),
    )
    transport = FakeTransport()
    protocol.connection_made(transport)
    await asyncio.sleep(0)
    return protocol, transport


async def test_requests_on_an_idle_connection_are_rejected_early() -> None:
    protocol, transport = await connect()
    for _ in range(3):
        protocol.data_received(REQUEST)
    assert transport.written == [REJECTION] * 3
    protocol.connection_lost(None)


async def test_rejections_for_a_client_that_does_not_read_do_not_pile_up() -> None:
    protocol, transport = await connect()
    protocol.pause_writing()
    protocol.data_received(REQUEST)
    assert not transport.written
    protocol.connection_lost(None)


async def test_response_never_overtakes_that_of_an_earlier_request() -> None:
    protocol, transport = await connect()
    protocol.pause_writing()
    protocol.data_received(REQUEST)
    protocol.resume_writing()
    await asyncio.sleep(0)
    protocol.data_received(REQUEST)
    assert not transport.written
    protocol.connection_lost(None)


async def test_rest_of_a_request_is_not_taken_for_another_one() -> None:
    protocol, transport = await connect()
    protocol.pause_writing()
    protocol.data_received(REQUEST[:-4])
    protocol.resume_writing()
    protocol.data_received(REQUEST)
    assert not transport.written
    protocol.connection_lost(None)
