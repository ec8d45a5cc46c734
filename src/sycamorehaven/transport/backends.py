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
from sycamorehaven.transport.answers import BROKEN, HttpAnswer
from sycamorehaven.transport.pools import ConnectionPools

if TYPE_CHECKING:
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.answers import BackendAnswer
    from sycamorehaven.transport.generations import Generation

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


class HttpBackends:
    """
    A generation of pooled connections for each backend server.

    A call that is not idempotent gets a connection of its own: a pooled one
    may have gone silent.

    :param timeouts: progress timeouts.
    """

    def __init__(self, timeouts: ProgressTimeouts | None = None) -> None:
        self._timeouts = timeouts or ProgressTimeouts()
        self._pools = ConnectionPools(self._timeouts.connect)

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> HttpAnswer:
        """Send a call and return the answer once its headers are read."""
        fresh = not call.rule.idempotent
        generation = self._pools.find(server.address, fresh=fresh)
        generation.enter()
        response: aiohttp.ClientResponse | None = None
        try:
            response = await self._request(generation, server, call, resume_from)
            check_refusal(response, idempotent=call.rule.idempotent)
        except BaseException as error:
            if response is not None:
                response.close()
            generation.leave()
            if isinstance(error, (ServerSilent, ServerLost)):
                self._pools.retire(server.address, generation)
            raise
        on_break = functools.partial(self._pools.retire, server.address, generation)
        return HttpAnswer(response, self._timeouts.chunk, on_break, generation.leave)

    async def close(self) -> None:
        """Close every connection."""
        await self._pools.close()

    async def _request(
        self, generation: Generation, server: BackendServer, call: Call, resume: int
    ) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout(self._timeouts.first_byte):
                return await generation.client.request(
                    call.method,
                    URL(f"http://{server.address}{call.path}", encoded=True),
                    headers=build_headers(call, resume),
                    data=call.body or None,
                    allow_redirects=False,
                )
        except Exception as error:
            raise classify(error) from error


def build_headers(call: Call, resume_from: int) -> list[tuple[str, str]]:
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


def classify(error: Exception) -> Exception:
    """Return the failure of an attempt that an exception stands for."""
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return ConnectFailed(repr(error), sent=False)
    if isinstance(error, aiohttp.ClientConnectorError):
        return ConnectFailed(repr(error), sent=False)
    if isinstance(error, TimeoutError):
        return ServerSilent("no answer in time", sent=True)
    if isinstance(error, BROKEN):
        return ServerLost(repr(error), sent=True)
    if isinstance(error, aiohttp.ClientError):
        return AnswerInvalid(repr(error), sent=True)
    return error


def check_refusal(response: aiohttp.ClientResponse, *, idempotent: bool) -> None:
    """
    Raise if a server refused a call that may be tried elsewhere.

    Only the header ``Was-Run: no`` says that the call did not run. Without
    it, the 503 of a call that is not idempotent is the answer.

    :raises BackendError: if the call may be tried elsewhere.
    """
    if response.status != 503:
        return
    declared = response.headers.get(WAS_RUN_HEADER, "").lower() == "no"
    if not idempotent and not declared:
        return
    leaving = response.headers.get("Connection", "").lower() == "close"
    kind: type[BackendError] = ServerLeaving if leaving else ServerOverloaded
    raise kind("the server answered 503", sent=not declared)
