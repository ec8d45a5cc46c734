"""The connection of a client that may not keep to the limits of HTTP."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

from sycamorehaven.exceptions.refusals import HeadersTooLarge
from sycamorehaven.transport.client_limits.cuttable_protocol import CuttableProtocol
from sycamorehaven.transport.client_limits.held_bytes import find_rest, find_trailers
from sycamorehaven.transport.client_limits.kernel_buffers import limit_received

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader, web
    from aiohttp.web_request import BaseRequest

MAX_AHEAD_BYTES = 65_536
"""Bytes behind the request in progress at which reading pauses."""
MAX_EMPTY_BYTES = 4_096
"""Bytes of empty lines that may come before a request; some clients send one
line."""


class LimitedProtocol(CuttableProtocol):
    """
    The aiohttp protocol of a connection that is held to limits.

    What it has received of requests draws on the memory for them until they
    have ended.
    """

    def data_received(self, data: bytes) -> None:
        """Handle data, unless the client is being disconnected."""
        if self._is_cut:
            return
        count, payload = self._request_count, self._payload
        consumed = payload.total_bytes if payload is not None else 0
        super().data_received(data)
        if self.transport is None:
            return
        self._progressed_at = self._loop.time()
        self._received += len(data)
        if self._request_count != count:
            self._count_requests(self._request_count - count, data)
        elif payload is not None:
            self._count_body(payload, payload.total_bytes - consumed, data)
        elif data:
            self._count_head(data)
        if self._held.has_requests or self in self._pool.unfinished:
            self._pool.idle.pop(self, None)
        self._limit_reading_ahead()

    def _count_requests(self, new: int, data: bytes) -> None:
        """Account for requests whose heads are now complete."""
        self._empty_bytes = 0
        queued = list(itertools.islice(reversed(self._messages), new))
        message, payload = queued[0]
        grown = self._held.add_requests([message for message, _ in queued], data)
        self._is_chunked = getattr(message, "chunked", False)
        self._payload = None if payload.is_eof() else payload
        self._set_unfinished(self._payload is not None)
        self._pool.guard.draw(self, grown)
        if self._is_chunked:
            self._count_head(find_trailers(data) if self._payload else b"")
        elif self._payload is None:
            self._count_head(find_rest(data, payload.total_bytes))

    def _count_body(self, payload: StreamReader, consumed: int, data: bytes) -> None:
        """Account for bytes of an incomplete body."""
        self._pool.guard.draw(self, self._held.add_body(consumed))
        if not payload.is_eof():
            if self._is_chunked:
                self._count_head(find_trailers(data) if consumed else data)
            return
        self._payload = None
        self._pool.guard.draw(self, self._held.clear_head())
        self._set_unfinished(False)
        if not self._held.has_requests:
            self.mark_idle()
        if not self._is_chunked:
            self._count_head(data[consumed:])

    def _count_head(self, data: bytes) -> None:
        """Account for bytes of an incomplete head, or of trailers."""
        if self._is_cut:
            return
        if not self._held.head_size and not data.strip(b"\r\n"):
            self._count_empty_lines(len(data))
            return
        if len(self._messages) >= self._max_msg_queue_size:
            # They are not parsed, and may hold more than one head.
            self._pool.guard.draw(self, self._held.add_body(len(data)))
            return
        self._set_unfinished(True)
        self._pool.guard.draw(self, self._held.add_head(data, self.max_headers))
        limit = self._pool.limits.head_bytes
        if self._held.head_size > limit:
            self.cut(
                HeadersTooLarge(f"the head exceeds the limit of {limit} bytes"),
                "header_bytes",
            )

    def _count_empty_lines(self, size: int) -> None:
        """Account for empty lines, which belong to no request."""
        self._empty_bytes += size
        if self._empty_bytes > MAX_EMPTY_BYTES:
            detail = f"more than {MAX_EMPTY_BYTES} bytes of empty lines"
            self.cut(HeadersTooLarge(detail), "header_bytes")

    def _set_unfinished(self, is_unfinished: bool) -> None:
        """Record whether the last request is incomplete."""
        if not is_unfinished:
            self._pool.unfinished.pop(self, None)
        elif self not in self._pool.unfinished:
            self._began_at, self._received = self._progressed_at, 0
            self._pool.unfinished[self] = None

    def _limit_reading_ahead(self) -> None:
        """Stop reading while much waits behind the request in progress."""
        if self._current is None or not self._current.is_eof() or self._buffer_paused:
            return
        if self._held.ahead <= MAX_AHEAD_BYTES:
            return
        self._pause_reading_for_buffer()
        # The kernel keeps what is not read, which is memory as well.
        limit_received(self.transport, MAX_AHEAD_BYTES)

    async def _handle_request(
        self,
        request: BaseRequest,
        start_time: float | None,
        request_handler: Callable[[BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Answer the next request, and account for its end."""
        self._current, self.request_timeout = request.content, math.inf
        handler = request_handler if self._refusal is None else self._refuse
        if self._payload is self._current:
            # Its body may have waited behind another request.
            self._began_at = self._progressed_at = self._loop.time()
        try:
            return await super()._handle_request(request, start_time, handler)
        finally:
            self._current = None
            self._end_request()

    def _end_request(self) -> None:
        """Release the memory of a request that has ended."""
        if self._is_cut or self._is_closing:
            # It is free when the connection and its parser are.
            return
        self._pool.guard.draw(self, self._held.end_request())
        if self.transport is None:
            return
        if self._held.head_size:
            self._began_at = self._loop.time()
        elif not self._held.has_requests and self._payload is None:
            self.mark_idle()
        if self._buffer_paused and not self._messages:
            self._resume_reading_if_drained()
