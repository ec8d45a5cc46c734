"""Answers of backend servers over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import aiohttp

from sycamorehaven.exceptions.backends import (
    AnswerInvalid,
    RunPreempted,
    ServerLost,
    ServerSilent,
)
from sycamorehaven.transport.headers import filter_answer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from sycamorehaven.transport.headers import Headers

BROKEN = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
    OSError,
)
"""What aiohttp raises when a connection breaks."""


class BackendAnswer(Protocol):
    """A backend server's answer, headers read, body to come."""

    @property
    def status(self) -> int:
        """HTTP status."""
        ...

    @property
    def headers(self) -> Headers:
        """Headers for the caller."""
        ...

    def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise ``BackendError`` if it breaks."""
        ...

    def interrupt(self) -> None:
        """Make the reader raise ``RunPreempted``."""
        ...

    def close(self) -> None:
        """Give the connection up, or back if the body was read."""
        ...


class HttpAnswer:
    """
    An answer over HTTP.

    :param response: headers read, body to come.
    :param timeout: seconds between two chunks.
    :param on_break: called if the connection breaks or goes silent.
    :param on_close: called once, when the answer is done with.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        timeout: float,
        on_break: Callable[[], None],
        on_close: Callable[[], None],
    ) -> None:
        self._response = response
        self._timeout = timeout
        self._on_break = on_break
        self._on_close = on_close
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self._scope: asyncio.Timeout | None = None
        self._interrupted = False
        self._closed = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """Headers for the caller."""
        return filter_answer(self._response.headers.items())

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes; raise ``BackendError`` if it breaks."""
        read = self._response.content.readany
        while chunk := await self._read(read):
            yield chunk

    def interrupt(self) -> None:
        """Make the reader raise ``RunPreempted``."""
        self._interrupted = True
        if self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Give the connection up, or back if the body was read."""
        if self._closed:
            return
        self._closed = True
        self._response.close()
        self._on_close()

    async def _read(self, read: Callable[[], Awaitable[bytes]]) -> bytes:
        if self._interrupted:
            raise RunPreempted
        try:
            async with asyncio.timeout(self._timeout) as self._scope:
                chunk = await read()
            if not chunk:
                self._check_end()
            return chunk
        except TimeoutError as error:
            if self._interrupted:
                raise RunPreempted from error
            self._on_break()
            raise ServerSilent("no chunk in time", sent=True) from error
        except BROKEN as error:
            self._on_break()
            raise ServerLost(repr(error), sent=True) from error
        except aiohttp.ClientError as error:
            raise AnswerInvalid(repr(error), sent=True) from error
        finally:
            self._scope = None

    def _check_end(self) -> None:
        """Raise if a body that ends with its connection was reset."""
        if self._protocol is None or self._protocol.transport is not None:
            return
        error = self._protocol.exception()
        if isinstance(error, aiohttp.ClientOSError):
            raise error
