"""Connections to backend servers."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, NamedTuple, Protocol

import aiohttp
from opentelemetry import propagate
from yarl import URL

from sycamorehaven.exceptions.backends import (
    AnswerInvalid,
    BackendError,
    ConnectFailed,
    ServerLeaving,
    ServerLost,
    ServerOverloaded,
    ServerSilent,
)
from sycamorehaven.transport.pool_manager import ConnectionPoolManager
from sycamorehaven.transport.responses import CONNECTION_ERRORS, HttpBackendResponse

if TYPE_CHECKING:
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.connection_pool import ConnectionPool
    from sycamorehaven.transport.responses import BackendResponse

WAS_RUN_HEADER = "Was-Run"
"""Header by which a server that answers 503 says that the call did not run."""


class ProgressTimeouts(NamedTuple):
    """
    How long a phase of an attempt may make no progress.

    :ivar connect: seconds to open a connection.
    :ivar first_byte: seconds from the request to the answer's headers.
    :ivar chunk: seconds between two chunks of the answer.
    """

    connect: float = 1.0
    first_byte: float = 30.0
    chunk: float = 10.0


class BackendClient(Protocol):
    """Sends calls to backend servers."""

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> BackendResponse:
        """
        Send a call and return the answer once its headers are read.

        :param resume_from: events that the caller already has.
        :raises BackendError: if the attempt failed.
        """
        ...


class HttpBackendClient:
    """
    A pool of pooled connections for each backend server.

    A call that is not idempotent gets a connection of its own: a pooled one
    may have gone silent.

    :param timeouts: progress timeouts.
    """

    def __init__(self, timeouts: ProgressTimeouts | None = None) -> None:
        self._timeouts = timeouts or ProgressTimeouts()
        self._pools = ConnectionPoolManager(self._timeouts.connect)

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> HttpBackendResponse:
        """Send a call and return the answer once its headers are read."""
        single_use = not call.rule.idempotent
        pool = self._pools.get_pool(server.address, single_use=single_use)
        pool.acquire()
        response: aiohttp.ClientResponse | None = None
        try:
            response = await self._request(pool, server, call, resume_from)
            raise_if_refused(response, idempotent=call.rule.idempotent)
        except BaseException as error:
            if response is not None:
                response.close()
            pool.release()
            if isinstance(error, (ServerSilent, ServerLost)):
                self._pools.retire(server.address, pool)
            raise
        on_connection_lost = functools.partial(self._pools.retire, server.address, pool)
        return HttpBackendResponse(
            response, self._timeouts.chunk, on_connection_lost, pool.release
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pools.close()

    async def _request(
        self, pool: ConnectionPool, server: BackendServer, call: Call, resume_from: int
    ) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout(self._timeouts.first_byte):
                return await pool.client.request(
                    call.method,
                    URL(f"http://{server.address}{call.path}", encoded=True),
                    headers=build_backend_headers(call, resume_from),
                    data=call.body or None,
                    allow_redirects=False,
                )
        except Exception as error:
            raise classify_error(error) from error


def build_backend_headers(call: Call, resume_from: int) -> list[tuple[str, str]]:
    """Return the headers of a call as a backend server gets them."""
    headers = list(call.headers)
    headers.append(("Request-Id", call.request_id))
    if resume_from:
        headers.append(("Resume-From", str(resume_from)))
    if call.token:
        headers.append(("Idempotency-Key", call.token))
    carrier: dict[str, str] = {}
    propagate.inject(carrier)
    headers.extend(carrier.items())
    return headers


def classify_error(error: Exception) -> Exception:
    """Return the failure of an attempt that an exception stands for."""
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return ConnectFailed(repr(error), sent=False)
    if isinstance(error, aiohttp.ClientConnectorError):
        return ConnectFailed(repr(error), sent=False)
    if isinstance(error, TimeoutError):
        return ServerSilent("no answer in time", sent=True)
    if isinstance(error, CONNECTION_ERRORS):
        return ServerLost(repr(error), sent=True)
    if isinstance(error, aiohttp.ClientError):
        return AnswerInvalid(repr(error), sent=True)
    return error


def raise_if_refused(response: aiohttp.ClientResponse, *, idempotent: bool) -> None:
    """
    Raise if a server refused a call that may be tried elsewhere.

    Only the header ``Was-Run: no`` says that the call did not run. Without
    it, the 503 of a call that is not idempotent is the answer.

    :raises BackendError: if the call may be tried elsewhere.
    """
    if response.status != 503:
        return
    declared_not_run = response.headers.get(WAS_RUN_HEADER, "").lower() == "no"
    if not idempotent and not declared_not_run:
        return
    is_leaving = response.headers.get("Connection", "").lower() == "close"
    error_type: type[BackendError] = ServerLeaving if is_leaving else ServerOverloaded
    raise error_type("the server answered 503", sent=not declared_not_run)
