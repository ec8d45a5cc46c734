"""Responses of backend servers."""

from __future__ import annotations

import asyncio
import errno
import math
from typing import TYPE_CHECKING, Literal, Protocol

import aiohttp

from sycamorehaven.exceptions.backends import (
    AnswerInvalid,
    ConnectFailed,
    ConnectRefused,
    RunPreempted,
    ServerLost,
    ServerSilent,
)
from sycamorehaven.transport.headers import filter_response_headers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from sycamorehaven.transport.headers import Headers

CONNECTION_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    OSError,
)
"""Exceptions that aiohttp raises when a connection breaks."""


FINAL_STATUSES = range(200, 600)
"""Statuses that a final response may have (RFC 9110 section 15)."""


class BodyDeadlinePassed(TimeoutError):
    """A body did not end before its deadline."""


BodyFraming = Literal["length", "chunks", "connection"]
"""What marks the end of a body (RFC 9112 section 6.3): the length in the head,
the last chunk, or the end of the connection."""


class BackendResponse(Protocol):
    """A backend server's response, whose body is yet to be read."""

    @property
    def status(self) -> int:
        """The HTTP status."""
        ...

    @property
    def headers(self) -> Headers:
        """The headers that are passed on to the caller."""
        ...

    @property
    def framing(self) -> BodyFraming:
        """What marks the end of the body."""
        ...

    def read_chunks(self) -> AsyncIterator[bytes]:
        """
        Yield the chunks of the body as they arrive.

        :raises BackendError: if the body breaks off.
        """
        ...

    def interrupt(self) -> None:
        """Make ``read_chunks`` raise ``RunPreempted``."""
        ...

    def close(self) -> None:
        """Return the connection to its pool, or close it mid-body."""
        ...


class HttpBackendResponse:
    """
    A response over HTTP.

    :param response: the response whose body is yet to be read.
    :param chunk_timeout: most seconds between two chunks of the body.
    :param on_connection_lost: called if the connection breaks or goes silent.
    :param on_close: called once, when the response is closed.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        chunk_timeout: float,
        on_connection_lost: Callable[[], None],
        on_close: Callable[[], None],
    ) -> None:
        self._response = response
        self._chunk_timeout = chunk_timeout
        self._on_connection_lost = on_connection_lost
        self._on_close = on_close
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self._loop = asyncio.get_running_loop()
        self._deadline = math.inf
        self._waiting_since: float | None = None
        self._bytes_before_wait = 0
        self._timer: asyncio.TimerHandle | None = None
        self._interrupted = False
        self._closed = False

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """The headers that are passed on to the caller."""
        return filter_response_headers(self._response.headers.items())

    @property
    def framing(self) -> BodyFraming:
        """What marks the end of the body."""
        if "chunked" in self._response.headers.get("Transfer-Encoding", "").lower():
            return "chunks"
        if "Content-Length" in self._response.headers:
            return "length"
        return "connection"

    @property
    def chunk_timeout(self) -> float:
        """Longest time between two chunks of the body, in seconds."""
        return self._chunk_timeout

    def set_chunk_timeout(self, seconds: float) -> None:
        """Replace the longest time between two chunks of the body."""
        self._chunk_timeout = seconds

    def set_deadline(self, deadline: float) -> None:
        """
        Limit the time until the end of the body.

        :param deadline: time of the event loop, in seconds.
        """
        self._deadline = deadline
        if self._timer is not None and deadline < self._timer.when():
            self._timer.cancel()
            self._timer = self._loop.call_at(deadline, self._handle_timer)

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """
        Yield the chunks of the body as they arrive.

        :raises BackendError: if the body breaks off.
        """
        while chunk := await self.read_chunk():
            yield chunk

    async def read_chunk(self) -> bytes:
        """
        Return all bytes of the body that have arrived, nothing at its end.

        :raises BackendError: if the body breaks off.
        :raises BodyDeadlinePassed: if it does not end before the deadline.
        """
        if self._interrupted:
            raise RunPreempted
        try:
            self._start_waiting()
            chunk = await self._response.content.readany()
            if not chunk:
                self._check_body_end()
            return chunk
        except ServerSilent:
            self._on_connection_lost()
            raise
        except BodyDeadlinePassed:
            raise
        except CONNECTION_ERRORS as error:
            self._on_connection_lost()
            raise ServerLost(repr(error), was_sent=True) from error
        except aiohttp.ClientError as error:
            raise AnswerInvalid(repr(error), was_sent=True) from error
        finally:
            self._waiting_since = None

    def interrupt(self) -> None:
        """Make ``read_chunks`` raise ``RunPreempted``."""
        self._interrupted = True
        if self._waiting_since is not None:
            self._response.content.set_exception(RunPreempted())

    def close(self) -> None:
        """Return the connection to its pool, or close it mid-body."""
        if self._closed:
            return
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._response.close()
        self._on_close()

    def _start_waiting(self) -> None:
        self._waiting_since = self._loop.time()
        if self._waiting_since >= self._deadline:
            raise BodyDeadlinePassed
        self._bytes_before_wait = self._response.content.total_bytes
        if self._timer is None:
            self._set_timer(self._waiting_since)

    def _set_timer(self, waiting_since: float) -> None:
        # One timer serves all reads. It is moved only when it expires.
        expires_at = min(waiting_since + self._chunk_timeout, self._deadline)
        self._timer = self._loop.call_at(expires_at, self._handle_timer)

    def _handle_timer(self) -> None:
        """End a read that has taken too long."""
        self._timer = None
        if self._waiting_since is None:
            return
        content, now = self._response.content, self._loop.time()
        has_arrived = content.total_bytes != self._bytes_before_wait
        is_late = now >= self._deadline
        is_silent = now >= self._waiting_since + self._chunk_timeout
        if is_late:
            content.set_exception(BodyDeadlinePassed())
        elif has_arrived or content.is_eof() or not is_silent:
            self._set_timer(now if has_arrived else self._waiting_since)
        else:
            content.set_exception(
                ServerSilent(
                    "no chunk of the response within the time limit", was_sent=True
                )
            )

    def _check_body_end(self) -> None:
        """
        Raise the reset of a connection that looked like the end of the body.

        A body without a length ends when its connection closes. aiohttp
        reports a reset as the same end, so the protocol's exception tells
        whether the body is whole.
        """
        if self._protocol is None or self._protocol.transport is not None:
            return
        error = self._protocol.exception()
        if isinstance(error, aiohttp.ClientOSError):
            raise error


def classify_error(error: Exception) -> Exception:
    """
    Return the ``BackendError`` for an exception raised while sending.

    An exception that is no failure of the server or its connection is
    returned unchanged.
    """
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return ConnectFailed(repr(error), was_sent=False)
    if isinstance(error, aiohttp.ClientConnectorError):
        if error.os_error.errno == errno.ECONNREFUSED:
            return ConnectRefused(repr(error), was_sent=False)
        return ConnectFailed(repr(error), was_sent=False)
    if isinstance(error, TimeoutError):
        return ServerSilent("no response headers within the time limit", was_sent=True)
    if isinstance(error, CONNECTION_ERRORS):
        return ServerLost(repr(error), was_sent=True)
    if isinstance(error, aiohttp.ClientError):
        return AnswerInvalid(repr(error), was_sent=True)
    return error


def check_final_status(status: int) -> None:
    """
    Check that a response may end a request.

    :raises AnswerInvalid: if its status is none of a final response.
    """
    if status not in FINAL_STATUSES:
        raise AnswerInvalid(
            f"the response has the status {status:03}, which is no final status",
            was_sent=True,
        )
