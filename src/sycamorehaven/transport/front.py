"""The listener for clients of published routes."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Protocol

from absl import logging
from aiohttp import web
from mode import Service

from sycamorehaven.exceptions.base import SycamorehavenError
from sycamorehaven.exceptions.refusals import (
    BodyTooLarge,
    HeadersTooLarge,
    InternalError,
    InvalidWorkspaceKey,
    NotReady,
    Refusal,
    UnknownPath,
)
from sycamorehaven.routing.requests import RoutedRequest
from sycamorehaven.routing.table import choose_service
from sycamorehaven.settings import split_address
from sycamorehaven.telemetry.context import bind_request
from sycamorehaven.transport.callers import BACKLOG, SHUTDOWN_TIMEOUT, abort
from sycamorehaven.transport.headers import measure_headers
from sycamorehaven.transport.problems import (
    PROTOCOL_OPTIONS,
    ProblemProtocol,
    build_problem,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Answer
    from sycamorehaven.routing.model import Route, RoutingConfiguration
    from sycamorehaven.routing.requests import RequestDialect, RequestHead
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics

DEFAULT_IDLE_TIMEOUT = 60.0
"""Seconds that a connection may stay unused without a configuration."""
UNREADY_RETURN = 0.5
"""Seconds after which to come back to a router without a configuration."""


class RequestHandler(Protocol):
    """Answers requests on published routes."""

    async def answer(self, request: RoutedRequest) -> Answer:
        """Return the answer once its first bytes are there."""
        ...


class FrontProtocol(ProblemProtocol):
    """
    A client's connection.

    :ivar serving: whether a request on it is in progress.
    """

    serving = False

    def close_if_idle(self) -> None:
        """Close the connection unless a request on it is in progress."""
        if not self.serving and self.transport is not None:
            self.transport.close()

    def set_idle_timeout(self, timeout: float) -> None:
        """Close the connection after ``timeout`` seconds without a request."""
        self._keepalive_timeout = timeout


class FrontListener(Service):
    """
    Serves clients.

    :param board: the state of this router.
    :param settings: settings of this process.
    :param handler: answers requests.
    :param dialect: headers of requests.
    :param log: takes decisions.
    :param metrics: takes outcomes.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        settings: RouterSettings,
        handler: RequestHandler,
        dialect: RequestDialect,
        log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._handler = handler
        self._dialect = dialect
        self._decisions = log
        self._metrics = metrics
        self._clock = clock
        self._random = random.Random(board.identity.incarnation)
        self._server = web.Server(self._serve, handler_cancellation=True)
        self._listener: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Bind the listener."""
        host, port = split_address(self._settings.callers_address)
        self._listener = await asyncio.get_running_loop().create_server(
            self._create_protocol, host, port, backlog=BACKLOG
        )
        self._board.lifecycle.note_listening()

    def close_idle(self) -> None:
        """Take no further requests; those in progress end by themselves."""
        if self._listener is not None:
            self._listener.close()
        for connection in self._server.connections:
            if isinstance(connection, FrontProtocol):
                connection.close_if_idle()

    async def on_stop(self) -> None:
        """Close the listener and its connections."""
        if self._listener is not None:
            self._listener.close()
        await self._server.shutdown(SHUTDOWN_TIMEOUT)

    def _create_protocol(self) -> FrontProtocol:
        loop = asyncio.get_running_loop()
        protocol = FrontProtocol(self._server, loop=loop, **PROTOCOL_OPTIONS)
        protocol.set_idle_timeout(self._find_idle_timeout())
        return protocol

    def _find_idle_timeout(self) -> float:
        configuration = self._board.routing.configuration
        if configuration is None:
            return DEFAULT_IDLE_TIMEOUT
        return configuration.limits.idle_timeout

    async def _serve(self, request: BaseRequest) -> web.StreamResponse:
        received = self._clock()
        self._board.lifecycle.enter()
        protocol = request.protocol
        assert isinstance(protocol, FrontProtocol)
        protocol.serving = True
        try:
            protocol.set_idle_timeout(self._find_idle_timeout())
            response = await self._answer(request, received)
            if self._board.lifecycle.draining:
                response.force_close()
            return response
        finally:
            protocol.serving = False
            self._board.lifecycle.leave()

    async def _answer(
        self, request: BaseRequest, received: float
    ) -> web.StreamResponse:
        routed: RoutedRequest | None = None
        name = ""
        try:
            head = self._dialect.read_request(request.headers.items())
            name = head.attempt
            bind_request(name)
            routed = await self._read(request, head, received)
            answer = await self._handler.answer(routed)
        except Refusal as refusal:
            self._note_end(name, routed, received, refusal.status, refusal)
            return build_refusal(refusal, name)
        except asyncio.CancelledError:
            self._note_client_gone(name, received)
            raise
        except Exception:
            logging.exception("request %s failed", name)
            failure = InternalError("the router failed", was_run="unknown")
            self._note_end(name, routed, received, failure.status, failure)
            return build_problem(failure, name)
        return await self._stream(request, routed, answer, received)

    async def _read(
        self, request: BaseRequest, head: RequestHead, received: float
    ) -> RoutedRequest:
        configuration = self._board.routing.configuration
        if configuration is None:
            raise NotReady("no configuration yet", retry_after=UNREADY_RETURN)
        limits = configuration.limits
        if measure_headers(request.headers.items()) > limits.header_bytes:
            raise HeadersTooLarge(f"the limit is {limits.header_bytes} bytes")
        target = request.raw_path
        route = self._board.routing.table.find(
            request.headers.get("Host", ""), target.partition("?")[0]
        )
        if route is None:
            raise UnknownPath("no route has this host and path")
        workspace = find_workspace(configuration, route, head)
        body = await _read_body(request, limits.body_bytes)
        patience = head.patience if head.patience is not None else route.timeout
        return RoutedRequest(
            head=head,
            method=request.method,
            target=target,
            headers=self._dialect.filter_request(request.headers.items()),
            body=body,
            route=route,
            service=choose_service(route.splits, self._random.random()),
            workspace=workspace,
            received=received,
            deadline=received + min(patience, route.timeout),
        )

    async def _stream(
        self,
        request: BaseRequest,
        routed: RoutedRequest,
        answer: Answer,
        received: float,
    ) -> web.StreamResponse:
        first = self._clock() - received
        service, kind = routed.service, routed.route.kind
        self._metrics.latency.labels(service, kind).observe(first)
        response = web.StreamResponse(status=answer.status)
        for name, value in answer.headers:
            response.headers.add(name, value)
        problem: BaseException | None = None
        try:
            await response.prepare(request)
            async for chunk in answer.chunks:
                await response.write(chunk)
            await response.write_eof()
        except SycamorehavenError as error:
            problem = error
            abort(request)
        except (ConnectionError, asyncio.CancelledError) as error:
            problem = error
            abort(request)
            raise
        except BaseException as error:
            problem = error
            abort(request)
            raise
        finally:
            await answer.chunks.aclose()
            self._note_end(
                routed.head.attempt, routed, received, answer.status, problem, first
            )
        return response

    def _note_client_gone(self, name: str, received: float) -> None:
        self._decisions.record(
            "client_gone", request=name, after=round(self._clock() - received, 3)
        )

    def _note_end(
        self,
        name: str,
        routed: RoutedRequest | None,
        received: float,
        status: int,
        problem: BaseException | None,
        first: float | None = None,
    ) -> None:
        code = getattr(problem, "code", type(problem).__name__ if problem else "")
        service = routed.service if routed else ""
        kind = routed.route.kind if routed else ""
        outcome = code or ("answered" if status < 500 else "server_error")
        self._metrics.requests.labels(service, kind, outcome).inc()
        self._decisions.record(
            "request_ended",
            request=name,
            workspace=routed.workspace if routed else "",
            route=routed.route.name if routed else "",
            service=service,
            status=status,
            outcome=outcome,
            detail=str(problem) if problem else "",
            first_byte=round(first, 3) if first is not None else None,
            took=round(self._clock() - received, 3),
            target=routed.route.target if routed else None,
        )


def build_refusal(refusal: Refusal, request_id: str) -> web.Response:
    """Return the answer for a refusal, its ``Retry-After`` with fractions."""
    response = build_problem(refusal, request_id)
    if refusal.retry_after is not None:
        response.headers["Retry-After"] = f"{refusal.retry_after:.3f}"
    return response


def find_workspace(
    configuration: RoutingConfiguration, route: Route, head: RequestHead
) -> str:
    """
    Return the workspace of a request, "" on a public route.

    :raises InvalidWorkspaceKey: if the key is not known.
    """
    if route.public or configuration.keys is None:
        return ""
    workspace = configuration.keys.get(head.key)
    if workspace is None:
        raise InvalidWorkspaceKey("the key is not known")
    return workspace


async def _read_body(request: BaseRequest, limit: int) -> bytes:
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit:
            raise BodyTooLarge(f"the limit is {limit} bytes")
    return bytes(body)
