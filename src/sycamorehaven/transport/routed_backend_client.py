"""Sends requests on published routes to backend servers."""

from __future__ import annotations

import asyncio
import functools
import time
from typing import TYPE_CHECKING, Protocol

from yarl import URL

from sycamorehaven.exceptions.backends import (
    AnswerInvalid,
    ServerLeaving,
    ServerLost,
    ServerOverloaded,
    ServerReplaced,
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

    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.routing.requests import (
        HeaderCodec,
        ResponseHead,
        RoutedRequest,
        SendPlan,
        ServerStatement,
    )
    from sycamorehaven.transport.connection_pool import ConnectionPool
    from sycamorehaven.transport.headers import Headers

CONNECT_TIMEOUT_SECONDS = 0.5
"""Time limit for opening a connection. The round trip between two failure
domains takes milliseconds."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which a client concludes that its request has not run."""


class StatementObserver(Protocol):
    """Records what servers say of themselves, and tells what follows."""

    def check_open(self, server: ServerRecord, copy_source: str = "") -> None:
        """
        Check that a request may still be handed to a server's connection.

        :param copy_source: address of the server to copy from, or "".
        :raises ServerUnwilling: if it may not be sent there any more.
        """
        ...

    def record_response(
        self,
        server: ServerRecord,
        request: str,
        statement: ServerStatement,
        sent_at: float,
    ) -> None:
        """
        Record what a server says of itself in a response.

        :param request: attempt id of the request that it answers.
        :param sent_at: when the request was sent, in monotonic seconds.
        """
        ...


class RoutedBackendResponse:
    """
    A backend server's response on a published route.

    :param head: the values read from the response's headers.
    :param response: the response, whose body is yet to be read.
    """

    def __init__(self, head: ResponseHead, response: HttpBackendResponse) -> None:
        self._head = head
        self._response = response

    @property
    def head(self) -> ResponseHead:
        """The values read from the response's headers."""
        return self._head

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """The headers that are passed on to the client."""
        return self._response.headers

    @property
    def body(self) -> HttpBackendResponse:
        """The response whose body is yet to be read."""
        return self._response

    def close(self) -> None:
        """Return the connection to its pool, or close it mid-body."""
        self._response.close()


class RoutedBackendClient:
    """
    Sends requests to the servers of published routes over pooled connections.

    A request that may run only once gets a new connection of its own, because
    a pooled connection may have gone silent, or may hold bytes of an earlier
    response. So does one that is sent to a server again, because a refusal of
    the first time has the same id.

    :param header_codec: writes and reads the platform's headers.
    :param observer: records what servers say of themselves.
    """

    def __init__(self, header_codec: HeaderCodec, observer: StatementObserver) -> None:
        self._header_codec = header_codec
        self._observer = observer
        self._pools = ConnectionPoolManager(CONNECT_TIMEOUT_SECONDS)

    async def send(
        self,
        plan: SendPlan,
        request: RoutedRequest,
        *,
        remaining: float,
        silence_timeout: float,
    ) -> RoutedBackendResponse:
        """
        Send a request and return the response once its headers are read.

        :param plan: the server to send to and the options of the attempt.
        :param request: the client's request.
        :param remaining: seconds that the server may take.
        :param silence_timeout: seconds without a byte that end the attempt.
        :raises BackendError: if the attempt failed.
        """
        server = plan.server
        single_use = plan.is_repeat or not request.route.is_repeatable
        pool = self._pools.get_pool(server.address, single_use=single_use)
        pool.acquire()
        response: aiohttp.ClientResponse | None = None
        headers = self._header_codec.build_request_headers(request, plan, remaining)
        sent_at = time.monotonic()
        try:
            response = await self._request(
                pool, plan, request, headers, silence_timeout
            )
            head = self._header_codec.parse_response_headers(
                response.status, response.headers.items()
            )
            if head.statement is not None and is_answer_to(request, head):
                self._observer.record_response(
                    server, request.head.attempt_id, head.statement, sent_at
                )
            check_response(request, response.status, head)
        except BaseException as error:
            if response is not None:
                response.close()
            pool.release()
            if isinstance(error, (ServerSilent, ServerLost)):
                self._pools.retire(server.address, pool)
            raise
        on_connection_lost = functools.partial(self._pools.retire, server.address, pool)
        backend_response = HttpBackendResponse(
            response, silence_timeout, on_connection_lost, pool.release
        )
        return RoutedBackendResponse(head, backend_response)

    async def close(self) -> None:
        """Close every connection."""
        await self._pools.close()

    async def _request(
        self,
        pool: ConnectionPool,
        plan: SendPlan,
        request: RoutedRequest,
        headers: Headers,
        silence_timeout: float,
    ) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout(silence_timeout):
                return await pool.client.request(
                    request.method,
                    URL(f"http://{plan.server.address}{request.target}", encoded=True),
                    headers=headers,
                    data=request.body or None,
                    allow_redirects=False,
                    trace_request_ctx=functools.partial(
                        self._observer.check_open,
                        plan.server,
                        plan.prompt_cache_source,
                    ),
                )
        except Exception as error:
            raise classify_error(error) from error


def is_answer_to(request: RoutedRequest, head: ResponseHead) -> bool:
    """Return whether a response belongs to a request, as far as it tells."""
    # A refusal without an id is one of a request whose id was not read.
    is_refusal_without_id = not head.was_executed and not head.attempt_id
    return head.attempt_id == request.head.attempt_id or is_refusal_without_id


def check_response(request: RoutedRequest, status: int, head: ResponseHead) -> None:
    """
    Raise if a response must not be passed on to the client.

    :raises ServerOverloaded: if the server did not run the request.
    :raises ServerReplaced: if another server has the address now.
    :raises ServerLeaving: if the server closes its connections.
    :raises AnswerInvalid: if the response belongs to another request, reports
        a success without a signature, or has a status that no final response
        has, or from which the client would wrongly conclude that the request
        has not run.
    """
    check_final_status(status)
    if not is_answer_to(request, head):
        raise AnswerInvalid(
            f"the response belongs to request {head.attempt_id!r}", was_sent=True
        )
    if not head.was_executed:
        if status == 421:
            raise ServerReplaced("another process has the address", was_sent=False)
        if head.closes_connection:
            raise ServerLeaving(
                f"the server returned the status {status}", was_sent=False
            )
        raise ServerOverloaded(
            f"the server returned the status {status}", was_sent=False
        )
    if status < 300 and not head.is_signed:
        raise AnswerInvalid("the successful response has no signature", was_sent=True)
    if status in NOT_RUN_STATUSES:
        raise AnswerInvalid(
            f"the server ran the request but returned the status {status}",
            was_sent=True,
        )
