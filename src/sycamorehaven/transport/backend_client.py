"""Sends calls to backend servers over HTTP."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, NamedTuple, Protocol

from opentelemetry import propagate
from yarl import URL

from sycamorehaven.exceptions.backends import (
    BackendError,
    ServerLeaving,
    ServerLost,
    ServerOverloaded,
    ServerSilent,
)
from sycamorehaven.transport.pool_manager import ConnectionPoolManager
from sycamorehaven.transport.responses import (
    HttpBackendResponse,
    check_final_status,
    classify_error,
)

if TYPE_CHECKING:
    import aiohttp

    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.connection_pool import ConnectionPool
    from sycamorehaven.transport.responses import BackendResponse

WAS_RUN_HEADER = "Was-Run"
"""Header of a 503 response; ``no`` says that the call did not run."""


class ProgressTimeouts(NamedTuple):
    """
    Time limits of the phases of an attempt, seconds.

    :ivar connect: limit for opening a connection.
    :ivar first_byte: limit from the request to the response's headers.
    :ivar chunk: limit between two chunks of the response's body.
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
        Send a call and return the response once its headers are read.

        :param resume_from: number of events of the stream that the caller
            already has, which the server leaves out.
        :raises BackendError: if the attempt failed.
        """
        ...


class HttpBackendClient:
    """
    Sends calls over pooled connections.

    A call that is not idempotent gets a new connection of its own, because a
    pooled connection may have gone silent.

    :param timeouts: time limits of an attempt, ``None`` for the defaults.
    """

    def __init__(self, timeouts: ProgressTimeouts | None = None) -> None:
        self._timeouts = timeouts or ProgressTimeouts()
        self._pools = ConnectionPoolManager(self._timeouts.connect)

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> HttpBackendResponse:
        """Send a call and return the response once its headers are read."""
        single_use = not call.rule.idempotent
        pool = self._pools.get_pool(server.address, single_use=single_use)
        pool.acquire()
        response: aiohttp.ClientResponse | None = None
        try:
            response = await self._request(pool, server, call, resume_from)
            check_final_status(response.status)
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
    """
    Return the headers of the request to a backend server.

    :param resume_from: number of events that the server leaves out.
    """
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


def raise_if_refused(response: aiohttp.ClientResponse, *, idempotent: bool) -> None:
    """
    Raise if a server refused a call that may be sent to another server.

    Only the header ``Was-Run: no`` proves that the call did not run. Without
    it, a 503 response to a call that is not idempotent is passed on to the
    caller.

    :raises BackendError: if the call may be sent to another server.
    """
    if response.status != 503:
        return
    declared_not_run = response.headers.get(WAS_RUN_HEADER, "").lower() == "no"
    if not idempotent and not declared_not_run:
        return
    is_leaving = response.headers.get("Connection", "").lower() == "close"
    error_type: type[BackendError] = ServerLeaving if is_leaving else ServerOverloaded
    raise error_type(
        "the server refused the call with the status 503", was_sent=not declared_not_run
    )
