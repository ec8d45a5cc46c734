"""Sends requests on published routes to backend servers."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from yarl import URL

from sycamorehaven.exceptions.backends import (
    AnswerInvalid,
    ServerLeaving,
    ServerLost,
    ServerOverloaded,
    ServerSilent,
)
from sycamorehaven.transport.answers import HttpAnswer
from sycamorehaven.transport.backends import classify
from sycamorehaven.transport.pools import ConnectionPools

if TYPE_CHECKING:
    import aiohttp

    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.routing.requests import (
        AnswerHead,
        RequestDialect,
        RoutedRequest,
        SendPlan,
    )
    from sycamorehaven.transport.generations import Generation
    from sycamorehaven.transport.headers import Headers

CONNECT_TIMEOUT = 0.5
"""Seconds to open a connection; failure domains are milliseconds apart."""
UNCERTAIN = frozenset({408, 421, 429, 503})
"""Statuses that tell a client that its request has not run."""


class RoutedAnswer:
    """
    A backend server's answer, headers read, body to come.

    :param head: what its headers say.
    :param answer: the answer.
    """

    def __init__(self, head: AnswerHead, answer: HttpAnswer) -> None:
        self._head = head
        self._answer = answer

    @property
    def head(self) -> AnswerHead:
        """What its headers say."""
        return self._head

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._answer.status

    @property
    def headers(self) -> Headers:
        """Headers for the client."""
        return self._answer.headers

    @property
    def body(self) -> HttpAnswer:
        """The body as it comes."""
        return self._answer

    def close(self) -> None:
        """Give the connection up, or back if the body was read."""
        self._answer.close()


class RoutedBackends:
    """
    Connections to the servers of published routes.

    A request that may run only once gets a connection of its own: a pooled
    one may have gone silent, or hold bytes of an earlier answer.

    :param dialect: headers of requests and answers.
    """

    def __init__(self, dialect: RequestDialect) -> None:
        self._dialect = dialect
        self._pools = ConnectionPools(CONNECT_TIMEOUT)

    async def send(
        self,
        send: SendPlan,
        request: RoutedRequest,
        *,
        left: float,
        silence: float,
    ) -> RoutedAnswer:
        """
        Send a request and return the answer once its headers are read.

        :param send: where it goes and how.
        :param left: seconds that the server may take.
        :param silence: seconds without a byte after which it is given up.
        :raises BackendError: if the attempt failed.
        """
        server, fresh = send.server, not request.route.repeatable
        generation = self._pools.find(server.address, fresh=fresh)
        generation.enter()
        response: aiohttp.ClientResponse | None = None
        headers = self._dialect.build_request(request, send, left)
        try:
            response = await _request(generation, server, request, headers, silence)
            head = self._dialect.read_answer(response.status, response.headers.items())
            check_answer(request, response.status, head)
        except BaseException as error:
            if response is not None:
                response.close()
            generation.leave()
            if isinstance(error, (ServerSilent, ServerLost)):
                self._pools.retire(server.address, generation)
            raise
        on_break = functools.partial(self._pools.retire, server.address, generation)
        answer = HttpAnswer(response, silence, on_break, generation.leave)
        return RoutedAnswer(head, answer)

    async def close(self) -> None:
        """Close every connection."""
        await self._pools.close()


async def _request(
    generation: Generation,
    server: ServerRecord,
    request: RoutedRequest,
    headers: Headers,
    silence: float,
) -> aiohttp.ClientResponse:
    try:
        async with asyncio.timeout(silence):
            return await generation.client.request(
                request.method,
                URL(f"http://{server.address}{request.target}", encoded=True),
                headers=headers,
                data=request.body or None,
                allow_redirects=False,
            )
    except Exception as error:
        raise classify(error) from error


def check_answer(request: RoutedRequest, status: int, head: AnswerHead) -> None:
    """
    Raise if an answer is not one that the client may get.

    :raises ServerOverloaded: if the server did not run the request.
    :raises ServerLeaving: if another server has the address.
    :raises AnswerInvalid: if it answers another request or promises too much.
    """
    if not head.executed:
        if status == 421 or head.closing:
            raise ServerLeaving(f"the server answered {status}", sent=False)
        raise ServerOverloaded(f"the server answered {status}", sent=False)
    if head.attempt != request.head.attempt:
        raise AnswerInvalid(f"the answer is for request {head.attempt!r}", sent=True)
    if status < 300 and not head.signed:
        raise AnswerInvalid("a success without a signature", sent=True)
    if status in UNCERTAIN:
        raise AnswerInvalid(f"status {status} from a server that ran", sent=True)
