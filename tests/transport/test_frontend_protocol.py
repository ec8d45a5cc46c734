"""Connections of clients whose requests are rejected early."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from sycamorehaven.transport.client_limits.check_connections import CHECK_LIMITS
from sycamorehaven.transport.client_limits.guard import ClientGuard
from sycamorehaven.transport.frontend_protocol import FrontendProtocol
from sycamorehaven.transport.request_framing import parse_arrived_request
from sycamorehaven.transport.time_gate import EarlyRejection

if TYPE_CHECKING:
    from collections.abc import Callable

REQUEST = b"GET /look/1 HTTP/1.1\r\nHost: fleet.example\r\n\r\n"
POST = b"POST /ask HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n"
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


def reject_all(data: bytes) -> EarlyRejection | None:
    """Return the rejection of a request of which the head has arrived."""
    request = parse_arrived_request(data)
    return EarlyRejection(REJECTION, request.remaining) if request else None


async def connect(
    reject: Callable[[bytes], EarlyRejection | None] = reject_all,
    arriving: set[FrontendProtocol] | None = None,
) -> tuple[FrontendProtocol, FakeTransport]:
    """Return a connection that waits for its first request."""

    async def hang(_request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.Event().wait()
        return web.Response()

    pool = ClientGuard().create_pool(lambda: CHECK_LIMITS)
    protocol = FrontendProtocol(
        pool,
        set() if arriving is None else arriving,
        lambda: None,
        reject,
        lambda _: None,
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


async def test_body_of_a_rejected_request_is_discarded() -> None:
    protocol, transport = await connect()
    protocol.data_received(POST + b"x" * 10)
    assert transport.written == [REJECTION]
    # The body looks like a request, which must not get a response of its own.
    protocol.data_received(REQUEST[:20])
    assert transport.written == [REJECTION]
    protocol.data_received(REQUEST)
    assert transport.written == [REJECTION] * 2
    protocol.connection_lost(None)


async def test_request_behind_a_discarded_body_is_read() -> None:
    protocol, transport = await connect()
    protocol.data_received(POST)
    protocol.data_received(b"x" * 30 + REQUEST)
    assert transport.written == [REJECTION] * 2
    protocol.connection_lost(None)


async def test_requests_that_have_not_begun_are_counted() -> None:
    arriving: set[FrontendProtocol] = set()
    protocol, _ = await connect(lambda _: None, arriving)
    # Clients that never send the rest of a head must not take the room.
    unfinished, _ = await connect(lambda _: None, arriving)
    unfinished.data_received(REQUEST[:-2])
    assert not arriving
    protocol.data_received(REQUEST)
    assert arriving == {protocol}
    protocol.begin_request()
    assert not arriving
    other, _ = await connect(lambda _: None, arriving)
    other.data_received(REQUEST)
    assert arriving == {other}
    for connection in (protocol, other, unfinished):
        connection.connection_lost(None)
    assert not arriving
