"""
HTTP client protocol that ends answers without end before they cost much.

A faulty server may send chunks of one byte, interim responses or header lines
until the caller closes. Parsing these takes a hundred times as long as their
content is worth, and the process has time for nothing else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    import asyncio

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

MAX_READ_BYTES = 8_192
"""Bytes that are parsed at a time; other connections get their turn then."""
MAX_INTERIM_RESPONSES = 16
"""Interim responses that a server may send before its answer."""
MAX_HEAD_BYTES = 65_536
"""Size of the head of an answer with its interim responses; twice the longest
header line."""
MAX_FRAMING_EXCESS_BYTES = 4_096
"""Bytes by which the framing of a body may exceed its content at a time. That
is the case for chunks of less than six bytes."""
FRAMING_EXCESS_BYTES_PER_SECOND = 32_768.0
"""Rate at which the framing may always exceed the content: 8,000 chunks of one
byte a second."""


class AnswerOverhead(aiohttp.ClientError):
    """An answer costs more to read than its content is worth."""


class MeteredResponseHandler(ResponseHandler):
    """
    Protocol of a connection that closes it when an answer has no content.

    :param loop: event loop of the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._response_count = 0
        self._head_bytes = 0
        self._measured_body: StreamReader | None = None
        self._content_bytes = 0
        self._framing_excess = 0.0
        self._measured_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the bytes that are read at a time."""
        super().connection_made(transport)
        if hasattr(transport, "max_size"):
            transport.max_size = MAX_READ_BYTES

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the next answer on this connection."""
        self._response_count = self._head_bytes = 0
        self._measured_body = None
        super().set_response_params(**parameters)

    def resume_reading(self, resume_parser: bool = True) -> None:  # noqa: FBT001, FBT002
        """Go on reading, if it was paused; aiohttp asks after each chunk."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Count and pass on the head of a response."""
        self._response_count += 1
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they are of no use."""
        received = len(data)
        super().data_received(data)
        body = self._payload
        if body is None or self._response_count == 0:
            self._head_bytes += received
            if self._head_bytes > MAX_HEAD_BYTES:
                self._reject(f"its head exceeds {MAX_HEAD_BYTES} bytes")
        elif self._response_count > MAX_INTERIM_RESPONSES:
            self._reject(f"it begins with {self._response_count} interim responses")
        elif not body.is_eof():
            self._measure_body(body, received)

    def _measure_body(self, body: StreamReader, received: int) -> None:
        now = self._loop.time()
        if body is not self._measured_body:
            self._measured_body = body
            self._content_bytes = body.total_bytes
            self._framing_excess, self._measured_at = 0.0, now
            return
        self._framing_excess += received
        # The parser holds back bytes that it has not looked at while paused.
        if self._reading_paused:
            return
        content = body.total_bytes - self._content_bytes
        self._content_bytes = body.total_bytes
        allowed = FRAMING_EXCESS_BYTES_PER_SECOND * (now - self._measured_at)
        self._measured_at = now
        self._framing_excess = max(self._framing_excess - 2 * content - allowed, 0.0)
        if self._framing_excess > MAX_FRAMING_EXCESS_BYTES:
            self._reject(
                "the framing of its body exceeds the content by"
                f" {MAX_FRAMING_EXCESS_BYTES} bytes"
            )

    def _reject(self, reason: str) -> None:
        body, self._payload = self._payload, None
        error = AnswerOverhead(f"the answer is ended: {reason}")
        self.abort()
        self.set_exception(error)
        if body is not None and not body.is_eof():
            body.set_exception(error)
