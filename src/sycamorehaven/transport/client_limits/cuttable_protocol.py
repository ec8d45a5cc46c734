"""A connection that is cut when its client does not keep to the limits."""

from __future__ import annotations

import math
import secrets
from typing import TYPE_CHECKING, Any

from sycamorehaven.decisions.client_limits.evictions import UnfinishedRequest
from sycamorehaven.exceptions.refusals import BodyTimeout, HeadTimeout
from sycamorehaven.transport.client_limits.held_bytes import HeldBytes
from sycamorehaven.transport.client_limits.parser import (
    MAX_PARSED_REQUESTS,
    create_parser,
    empty_message,
)
from sycamorehaven.transport.client_limits.write_progress import WriteProgress
from sycamorehaven.transport.problem_details import (
    ProblemProtocol,
    build_refusal_response,
    render_refusal,
)

if TYPE_CHECKING:
    import asyncio

    from aiohttp import StreamReader, web
    from aiohttp.web_request import BaseRequest

    from sycamorehaven.exceptions.refusals import Refusal
    from sycamorehaven.transport.client_limits.pool import (
        ConnectionLimits,
        ConnectionPool,
        CutReason,
    )

MAX_KEPT_FIELDS = 256
"""Header fields of a request whose connection is kept for another one."""
MAX_READ_BYTES = 65_536
"""Bytes that are read at a time; asyncio reads four times as many, which many
clients at once make the process hold."""


class CuttableProtocol(ProblemProtocol):
    """
    The aiohttp protocol of a connection that can be cut at any time.

    :param pool: the connections of the listener.
    :ivar write_timeout: seconds for which the client may take nothing of a
        response.
    :ivar request_timeout: seconds after which the request in progress can no
        longer be served.
    :ivar write_stall: seconds for which the client has taken nothing of its
        answer, at the last check.
    :ivar idle_since: when the connection was last used, in the time of the
        event loop.
    """

    def __init__(self, pool: ConnectionPool, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._pool = pool
        # aiohttp has no parameter for the length of the queue.
        self._max_msg_queue_size = MAX_PARSED_REQUESTS
        self._msg_queue_resume_size = MAX_PARSED_REQUESTS // 2
        self._parser = create_parser(self, self._loop, self._read_bufsize)
        self._client_transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self._held = HeldBytes()
        # Bytes that are released when the connection has been closed.
        self._leaving = 0
        self._is_closing = False
        # The incomplete body of the last request, and that of the one that
        # is being answered.
        self._payload: StreamReader | None = None
        self._current: StreamReader | None = None
        self._is_chunked = False
        self._began_at = self._progressed_at = 0.0
        self._received = self._empty_bytes = 0
        self._refusal: Refusal | None = None
        self._is_cut = False
        self.write_timeout = 0.0
        self._writing = WriteProgress()
        self.write_stall = 0.0
        self.request_timeout = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection."""
        super().connection_made(transport)
        if hasattr(transport, "max_size"):
            transport.max_size = MAX_READ_BYTES
        self._client_transport = self.transport
        self.write_timeout = self._pool.limits.write_timeout
        self.idle_since = self._loop.time()
        self._pool.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection."""
        self._pool.remove(self)
        self._pool.guard.expect(-self._leaving)
        self._pool.guard.draw(self, self._held.clear())
        super().connection_lost(exc)

    async def finish_response(
        self, request: BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, the last one if the connection is to be closed."""
        if self._is_cut or len(request.raw_headers) > MAX_KEPT_FIELDS:
            # The parser keeps the fields while the connection is open.
            self._lingering_time = 0.0
            self._is_closing = True
            resp.force_close()
        return await super().finish_response(request, resp, start_time)

    async def _refuse(self, _request: BaseRequest) -> web.StreamResponse:
        assert self._refusal is not None
        return build_refusal_response(self._refusal, secrets.token_hex(8))

    def mark_idle(self) -> None:
        """Record that the connection has no request any more."""
        self.idle_since = self._loop.time()
        self._pool.mark_idle(self)

    def describe_progress(self, connection: int) -> UnfinishedRequest:
        """Return what has arrived of the incomplete request."""
        return UnfinishedRequest(
            connection, self._began_at, self._progressed_at, self._received
        )

    def close_unused(self) -> bool:
        """
        Close the connection unless it has a request.

        :return: whether it had none, and is being closed.
        """
        transport = self._client_transport
        if transport is None or transport.is_closing() or self._held.has_requests:
            return False
        if self in self._pool.unfinished or transport.get_write_buffer_size():
            return False
        transport.close()
        return True

    def make_way(self) -> bool:
        """
        Disconnect a client whose request is incomplete for another client.

        :return: whether it is disconnected; a request that waits behind one
            in progress stays.
        """
        if self._is_cut or (
            self._held.has_requests and self._payload is not self._current
        ):
            return False
        self.cut(
            BodyTimeout("the request was sent more slowly than those of others"),
            "descriptors",
        )
        return True

    def check_progress(self, now: float, limits: ConnectionLimits) -> None:
        """Disconnect the client if it has made no progress for too long."""
        self._check_writing(now)
        if self._is_cut or self not in self._pool.unfinished:
            return
        if self._payload is None:
            seconds, limit = now - self._began_at, limits.header_timeout
            if seconds >= limit and not self._held.has_requests:
                detail = f"the head was not complete within {limit:.1f} s"
                self.cut(HeadTimeout(detail), "header_timeout")
        elif not self._held.has_requests or self._payload is self._current:
            seconds, limit = now - self._progressed_at, limits.body_timeout
            if seconds >= limit:
                detail = f"nothing of the body arrived for {limit:.1f} s"
                self.cut(BodyTimeout(detail), "body_stalled")
            elif now - self._began_at >= self.request_timeout:
                detail = "the body was not complete before the deadline"
                self.cut(BodyTimeout(detail), "body_late")

    def _check_writing(self, now: float) -> None:
        """Disconnect a client that takes nothing of what is written."""
        if self._client_transport is not None:
            self.write_stall = self._writing.measure_stall(self._client_transport, now)
        if self.write_stall >= self.write_timeout:
            self.abort_unread("write_stalled")

    def abort_unread(self, reason: CutReason) -> bool:
        """
        Disconnect a client without delivering what it does not take.

        :return: whether it was connected.
        """
        transport = self._client_transport
        if transport is None or not transport.get_write_buffer_size():
            return False
        if not self._is_cut:
            self._pool.guard.count_cut(reason)
        self._is_cut = True
        transport.abort()
        return True

    def cut(self, refusal: Refusal, reason: CutReason) -> None:
        """
        Refuse what the client has not sent completely, and disconnect it.

        A request in progress that was received whole is answered first.

        :param refusal: the response, if the client can still be sent one.
        """
        if self._is_cut:
            return
        self._is_cut = True
        self._pool.guard.count_cut(reason)
        self._pool.unfinished.pop(self, None)
        if self._current is not None and self._current is not self._payload:
            # What has been parsed stays in memory until the answer ends.
            self.close()
            return
        if self._current is None and self._held.has_requests:
            self._refuse_queued(refusal)
            self._pool.guard.draw(self, self._held.clear())
            return
        self._leaving = self._held.total
        self._pool.guard.expect(self._leaving)
        if self._current is not None:
            self._current.set_exception(refusal)
        elif self._payload is not None:
            # The request was answered before its body had arrived.
            self.force_close()
        else:
            self._send_last(refusal)

    def _refuse_queued(self, refusal: Refusal) -> None:
        """Refuse a request that has yet to begin, and free its memory now."""
        self._refusal = refusal
        last = empty_message(self._messages[-1])
        self._messages.clear()
        self._messages.append(last)
        # The parser keeps the last head.
        self._parser = create_parser(self, self._loop, self._read_bufsize)

    def _send_last(self, refusal: Refusal) -> None:
        """Send a response to a request that the HTTP server has not seen."""
        request_id = secrets.token_hex(8)
        response = render_refusal(refusal, request_id, closes_connection=True)
        if self.transport is not None:
            self.transport.write(response)
        self.force_close()
