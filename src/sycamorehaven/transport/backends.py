"""Connections to backend servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import aiohttp
from yarl import URL

from sycamorehaven.exceptions.backends import (
    ConnectFailed,
    ServerLeaving,
    ServerLost,
    ServerOverloaded,
    ServerSilent,
)
from sycamorehaven.transport.headers import filter_answer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.headers import Headers

CONNECT_TIMEOUT = 1.0
"""Seconds to open a connection."""
FIRST_BYTE_TIMEOUT = 30.0
"""Seconds to the answer's headers."""
CHUNK_TIMEOUT = 5.0
"""Seconds between two chunks of an answer."""


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

    def close(self) -> None:
        """Give the connection up, or back if the body was read."""
        ...


class Backends(Protocol):
    """Sends calls to backend servers."""

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> BackendAnswer:
        """
        Send a call and return the answer once its headers are read.

        :param resume_from: events that the caller already has.
        :raises BackendError: if the attempt failed.
        """
        ...


class HttpAnswer:
    """An answer over HTTP."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response

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
        chunks = self._response.content.iter_any()
        while True:
            try:
                async with asyncio.timeout(CHUNK_TIMEOUT):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError as error:
                raise ServerSilent("no chunk in time", sent=True) from error
            except (aiohttp.ClientError, OSError) as error:
                raise ServerLost(repr(error), sent=True) from error
            yield chunk

    def close(self) -> None:
        """Give the connection up, or back if the body was read."""
        self._response.close()


class HttpBackends:
    """
    A pool of connections for each backend server.

    A call that is not idempotent gets a connection of its own: a pooled one
    may have gone silent.
    """

    def __init__(self) -> None:
        self._clients: dict[str, aiohttp.ClientSession] = {}

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> HttpAnswer:
        """Send a call and return the answer once its headers are read."""
        client = self._find_client(server, fresh=not call.rule.idempotent)
        headers = list(call.headers)
        if resume_from:
            headers.append(("Resume-From", str(resume_from)))
        if call.token:
            headers.append(("Idempotency-Key", call.token))
        url = URL(f"http://{server.address}{call.path}", encoded=True)
        try:
            async with asyncio.timeout(FIRST_BYTE_TIMEOUT):
                response = await client.request(
                    call.method,
                    url,
                    headers=headers,
                    data=call.body or None,
                    allow_redirects=False,
                )
        except TimeoutError as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                raise ConnectFailed(repr(error), sent=False) from error
            raise ServerSilent("no answer in time", sent=True) from error
        except aiohttp.ClientConnectorError as error:
            raise ConnectFailed(repr(error), sent=False) from error
        except (aiohttp.ClientError, OSError) as error:
            raise ServerLost(repr(error), sent=True) from error
        finally:
            if not call.rule.idempotent:
                client.detach()
        self._check_refusal(response)
        return HttpAnswer(response)

    async def close(self) -> None:
        """Close every connection."""
        for client in self._clients.values():
            await client.close()

    def _check_refusal(self, response: aiohttp.ClientResponse) -> None:
        if response.status != 503:
            return
        leaving = response.headers.get("Connection", "").lower() == "close"
        response.close()
        if leaving:
            raise ServerLeaving("the server is leaving", sent=False)
        raise ServerOverloaded("the server is at capacity", sent=False)

    def _find_client(
        self, server: BackendServer, *, fresh: bool
    ) -> aiohttp.ClientSession:
        if fresh:
            return self._create_client(force_close=True)
        client = self._clients.get(server.address)
        if client is None:
            client = self._clients[server.address] = self._create_client()
        return client

    def _create_client(self, *, force_close: bool = False) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(limit=0, force_close=force_close)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
        return aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
