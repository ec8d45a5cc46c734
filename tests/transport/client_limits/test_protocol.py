"""Test connections that are held to limits, without a network."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from sycamorehaven.exceptions.refusals import Refusal
from sycamorehaven.transport.client_limits.guard import ClientGuard
from sycamorehaven.transport.client_limits.pool import ConnectionLimits
from sycamorehaven.transport.client_limits.protocol import LimitedProtocol
from sycamorehaven.transport.problem_details import (
    PROTOCOL_OPTIONS,
    build_refusal_response,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web_request import BaseRequest

    from sycamorehaven.transport.client_limits.pool import ConnectionPool

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
BODY_BYTES = 400_000
LIMITS = ConnectionLimits(
    connections=3,
    head_bytes=20_000,
    header_timeout=3.0,
    body_timeout=5.0,
    write_timeout=4.0,
)


class FakeTransport(asyncio.Transport):
    """A transport that keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.unwritten_size = 0
        self.is_closed = self.is_aborted = self.is_paused = False
        self.protocol: LimitedProtocol | None = None

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Keep some bytes."""
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the client has not taken."""
        return self.unwritten_size

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return nothing, since there is no socket."""
        return default if name != "socket" else None

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Record that reading goes on."""
        self.is_paused = False

    def close(self) -> None:
        """Close the connection in the next turn of the event loop."""
        if not self.is_closed and self.protocol is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)
        self.is_closed = True

    def abort(self) -> None:
        """Record that the connection is aborted."""
        self.is_aborted = True

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self.is_closed or self.is_aborted


class Listener:
    """
    A pool of connections whose requests a test answers.

    :ivar bodies: lengths of the bodies that were read.
    :ivar may_answer: set to answer the requests.
    """

    def __init__(self, memory: float = 4.0) -> None:
        self.guard = ClientGuard(memory=memory)
        self.pool: ConnectionPool = self.guard.create_pool(lambda: LIMITS)
        self.bodies: list[int] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        handler: Callable[[BaseRequest], Awaitable[web.StreamResponse]] = self._answer
        self._server = web.Server(handler)

    def connect(self) -> tuple[LimitedProtocol, FakeTransport]:
        """Return a new connection."""
        loop = asyncio.get_running_loop()
        protocol = LimitedProtocol(
            self.pool, self._server, loop=loop, **PROTOCOL_OPTIONS
        )
        transport = FakeTransport()
        transport.protocol = protocol
        protocol.connection_made(transport)
        self.pool.make_room()
        return protocol, transport

    async def _answer(self, request: BaseRequest) -> web.StreamResponse:
        size = 0
        try:
            async for chunk in request.content.iter_any():
                size += len(chunk)
        except Refusal as refusal:
            return build_refusal_response(refusal, "r1")
        self.bodies.append(size)
        await self.may_answer.wait()
        return web.Response()


async def let_run() -> None:
    """Let the connections handle what they have received."""
    for _ in range(10):
        await asyncio.sleep(0)


def build_head(length: int) -> bytes:
    """Return the head of a request with a body."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % length


async def test_memory_of_a_request_is_released_when_it_ends() -> None:
    listener = Listener()
    protocol, transport = listener.connect()
    protocol.data_received(build_head(BODY_BYTES))
    for _ in range(BODY_BYTES // 50_000):
        protocol.data_received(b"x" * 50_000)
    assert listener.guard.budget.total > BODY_BYTES
    await let_run()
    assert transport.written.startswith(b"HTTP/1.1 200")
    assert listener.guard.budget.total == 0
    assert list(listener.pool.idle) == [protocol]


async def test_chunked_body_is_counted_and_its_end_is_no_new_head() -> None:
    # Guards against taking the framing of chunks for an incomplete head,
    # which would be cut.
    listener = Listener()
    protocol, _ = listener.connect()
    protocol.data_received(HEAD + b"Transfer-Encoding: chunked\r\n\r\n3e8\r\n")
    protocol.data_received(b"x" * 1_000 + b"\r\n0\r\n\r\n")
    await let_run()
    assert listener.bodies == [1_000]
    assert not listener.pool.unfinished
    assert listener.guard.budget.total == 0


async def test_trailers_draw_on_the_memory_and_have_a_limit() -> None:
    # Guards against trailers, which the parser keeps and nothing reads.
    listener = Listener(memory=20.0)
    protocol, transport = listener.connect()
    protocol.data_received(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    protocol.data_received(b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 1_000)
    assert listener.guard.budget.total > 500_000
    protocol.data_received(b"b:\r\n" * 5_000)
    await let_run()
    assert transport.written.startswith(b"HTTP/1.1 431")
    assert listener.guard.budget.total == 0


async def test_body_without_progress_makes_way_when_memory_is_short() -> None:
    listener = Listener()
    stalled, stalled_transport = listener.connect()
    stalled.data_received(build_head(BODY_BYTES * 3) + b"x" * BODY_BYTES)
    await let_run()
    stalled._progressed_at -= 2.0
    protocol, transport = listener.connect()
    for _ in range(2):
        protocol.data_received(build_head(BODY_BYTES) + b"x" * BODY_BYTES)
    await let_run()
    assert stalled_transport.written.startswith(b"HTTP/1.1 408")
    assert stalled_transport.is_closed
    assert transport.written.count(b"HTTP/1.1 200") == 2
    assert listener.bodies == [BODY_BYTES] * 2


async def test_new_body_is_refused_unrun_when_all_others_progress() -> None:
    listener = Listener()
    listener.may_answer.clear()
    first, _ = listener.connect()
    first.data_received(build_head(BODY_BYTES * 2) + b"x" * BODY_BYTES * 2)
    await let_run()
    second, transport = listener.connect()
    second.data_received(build_head(BODY_BYTES) + b"x" * BODY_BYTES)
    await let_run()
    assert transport.written.startswith(b"HTTP/1.1 503")
    assert b'"was_run":"no"' in transport.written
    assert transport.is_closed
    assert listener.bodies == [BODY_BYTES * 2]


async def test_head_that_never_ends_is_refused() -> None:
    listener = Listener()
    protocol, transport = listener.connect()
    protocol.data_received(HEAD)
    for number in range(30):
        protocol.data_received(b"x%d: %b\r\n" % (number, b"y" * 1_000))
    assert transport.written.startswith(b"HTTP/1.1 431")
    await let_run()
    assert listener.guard.budget.total == 0


async def test_short_fields_draw_on_the_memory_while_they_arrive() -> None:
    listener = Listener()
    protocol, _ = listener.connect()
    protocol.data_received(HEAD + b"a:\r\n" * 1_000)
    assert listener.guard.budget.total > 500_000


async def test_slow_head_and_stalled_body_are_cut_in_time() -> None:
    listener = Listener()
    head, head_transport = listener.connect()
    head.data_received(HEAD)
    body, body_transport = listener.connect()
    body.data_received(build_head(10) + b"x")
    await let_run()
    now = asyncio.get_running_loop().time()
    listener.pool.check(now + LIMITS.header_timeout - 1.0)
    assert not head_transport.written
    listener.pool.check(now + LIMITS.header_timeout + 1.0)
    assert head_transport.written.startswith(b"HTTP/1.1 408")
    assert not body_transport.written
    listener.pool.check(now + LIMITS.body_timeout + 1.0)
    await let_run()
    assert body_transport.written.startswith(b"HTTP/1.1 408")


async def test_client_is_cut_only_while_nothing_can_be_written() -> None:
    # Guards against cutting a client that waits for its stream, or that reads
    # slowly.
    listener = Listener()
    listener.may_answer.clear()
    protocol, transport = listener.connect()
    protocol.data_received(GET)
    await let_run()
    now = asyncio.get_running_loop().time()
    for second in range(20):
        listener.pool.check(now + second)
    transport.unwritten_size = 100_000
    for second in range(20, 40):
        transport.unwritten_size -= 10
        listener.pool.check(now + second)
    assert not transport.is_aborted
    for second in range(40, 45):
        listener.pool.check(now + second)
    assert transport.is_aborted


async def test_pipelined_requests_are_read_ahead_only_up_to_a_limit() -> None:
    listener = Listener(memory=100.0)
    listener.may_answer.clear()
    protocol, transport = listener.connect()
    protocol.data_received(GET * 20)
    await let_run()
    assert transport.is_paused
    assert len(protocol._messages) <= 8
    listener.may_answer.set()
    await asyncio.sleep(0.05)
    assert not transport.is_paused
    assert len(listener.bodies) == 20
    assert listener.guard.budget.total == 0


async def test_pipelined_bodies_wait_outside_the_process() -> None:
    listener = Listener(memory=100.0)
    listener.may_answer.clear()
    protocol, transport = listener.connect()
    protocol.data_received(GET)
    await let_run()
    protocol.data_received(build_head(BODY_BYTES) + b"x" * 100_000)
    assert transport.is_paused
    listener.may_answer.set()
    await let_run()
    assert not transport.is_paused
    protocol.data_received(b"x" * (BODY_BYTES - 100_000))
    await let_run()
    assert listener.bodies == [0, BODY_BYTES]


async def test_incomplete_requests_make_way_for_new_connections() -> None:
    listener = Listener()
    connections = [listener.connect() for _ in range(LIMITS.connections)]
    for protocol, _ in connections:
        protocol.data_received(HEAD)
    protocol, transport = listener.connect()
    protocol.data_received(GET)
    await let_run()
    assert transport.written.startswith(b"HTTP/1.1 200")
    assert [t.is_closed for _, t in connections].count(True) == 1


async def test_empty_lines_between_requests_are_no_head() -> None:
    listener = Listener()
    protocol, transport = listener.connect()
    protocol.data_received(GET)
    await let_run()
    protocol.data_received(b"\r\n")
    listener.pool.check(asyncio.get_running_loop().time() + 10.0)
    assert not transport.is_closed
    assert list(listener.pool.idle) == [protocol]
