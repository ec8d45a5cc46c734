"""The HTTP listener for callers of services."""

from __future__ import annotations

import asyncio
import secrets
import ssl
import time
from typing import TYPE_CHECKING, Protocol

from absl import logging
from aiohttp import web
from mode import Service
from opentelemetry import propagate, trace

from sycamorehaven.exceptions.base import SycamorehavenError
from sycamorehaven.exceptions.refusals import (
    Draining,
    InternalError,
    NotReady,
    Refusal,
)
from sycamorehaven.settings import split_address
from sycamorehaven.telemetry.request_context import bind_request_id
from sycamorehaven.transport.call_reader import (
    IDEMPOTENCY_TOKEN_HEADER,
    CallReader,
    authenticate,
    check_request_head,
)
from sycamorehaven.transport.client_limits.caller_protocol import (
    CallerProtocol,
    create_caller_limits,
)
from sycamorehaven.transport.client_limits.guard import ClientGuard
from sycamorehaven.transport.listening import (
    SHUTDOWN_TIMEOUT_SECONDS,
    abort_connection,
    open_listener,
)
from sycamorehaven.transport.problem_details import (
    PROTOCOL_OPTIONS,
    build_problem_response,
    handle_expect_header,
    problem_middleware,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Answer, Call
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.client_limits.pool import ConnectionPool

FORWARDED_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
"""Methods that are forwarded to backend servers."""
CLOSING_GRACE_SECONDS = 0.3
"""Seconds in which requests on the connections accepted last are answered."""

tracer = trace.get_tracer("sycamorehaven")


class CallHandler(Protocol):
    """Handles the calls that the listener has read."""

    async def answer(self, call: Call) -> Answer:
        """
        Return the answer to a call once its status and headers are known.

        :raises Refusal: if the call is refused.
        """
        ...


class RouteSet(Protocol):
    """A group of further routes of the callers' interface."""

    def register(self, application: web.Application) -> None:
        """Add the routes to the callers' application."""
        ...


class CallerListener(Service):
    """
    Reads calls from HTTP requests and streams their answers back.

    :param board: the shared state of this router.
    :param settings: the settings of this process.
    :param handler: answers calls.
    :param route_sets: further routes to serve on the same address.
    :param clock: returns monotonic time, seconds.
    :param guard: holds callers to limits of memory and time.
    """

    def __init__(
        self,
        board: Blackboard,
        settings: RouterSettings,
        handler: CallHandler,
        route_sets: Sequence[RouteSet] = (),
        clock: Callable[[], float] = time.monotonic,
        guard: ClientGuard | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._handler = handler
        self._route_sets = route_sets
        self._clock = clock
        self._reader = CallReader(settings.body_limit)
        self._guard = guard or ClientGuard()
        self._limits = create_caller_limits()
        self._pool: ConnectionPool | None = None
        self._listener: asyncio.Server | None = None
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Start listening on the callers' address."""
        application = web.Application(
            client_max_size=self._settings.body_limit + 1,
            middlewares=[problem_middleware],
        )
        for route_set in self._route_sets:
            route_set.register(application)
        for method in FORWARDED_METHODS:
            application.router.add_route(
                method,
                "/v1/services/{service}/{path:.*}",
                self._serve,
                expect_handler=handle_expect_header,
            )
        self._runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._runner.setup()
        self._pool = self._guard.create_pool(lambda: self._limits)
        host, port = split_address(self._settings.callers_address)
        self._listener = await open_listener(
            self._create_protocol, host, port, self._create_tls_context()
        )
        self._board.lifecycle.mark_listening()

    async def on_stop(self) -> None:
        """Close the listener and its connections."""
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def _create_protocol(self) -> web.RequestHandler:
        server = self._runner.server if self._runner else None
        assert server is not None
        assert self._pool is not None
        loop = asyncio.get_running_loop()
        return CallerProtocol(self._pool, server, loop=loop, **PROTOCOL_OPTIONS)

    def _create_tls_context(self) -> ssl.SSLContext | None:
        if not self._settings.certificate:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(self._settings.certificate, self._settings.private_key)
        return context

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = secrets.token_hex(8)
        bind_request_id(request_id)
        self._board.lifecycle.begin_request()
        try:
            with tracer.start_as_current_span(
                "edge",
                context=propagate.extract(request.headers),
                kind=trace.SpanKind.SERVER,
                attributes={"request.id": request_id},
            ):
                response = await self._answer(request, request_id)
                if self._board.lifecycle.is_draining:
                    response.force_close()
                return response
        finally:
            self._board.lifecycle.end_request()

    async def _answer(
        self, request: web.Request, request_id: str
    ) -> web.StreamResponse:
        workspace, call = "", None
        try:
            check_request_head(request)
            call = await self._read_call(request, request_id)
            workspace = call.workspace.name
            answer = await self._handler.answer(call)
        except Refusal as refusal:
            self._board.outcomes.count_refusal(workspace, refusal.code)
            return build_problem_response(refusal, request_id)
        except Exception:
            logging.exception("request %s failed", request_id)
            failure = InternalError(
                "the router failed while it handled the request",
                was_run="unknown" if call else "no",
            )
            self._board.outcomes.count_refusal(workspace, failure.code)
            return build_problem_response(failure, request_id)
        return await self._stream(request, answer, request_id)

    async def _stream(
        self, request: web.Request, answer: Answer, request_id: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=answer.status)
        for name, value in answer.headers:
            response.headers.add(name, value)
        response.headers["Request-Id"] = request_id
        try:
            await response.prepare(request)
            async for chunk in answer.chunks:
                await response.write(chunk)
            if request.transport is not None:
                # The request counts as finished only once the operating
                # system has taken the whole answer.
                request.transport.set_write_buffer_limits(high=0)
            await response.write_eof()
        except SycamorehavenError as error:
            logging.warning("the answer to request %s broke off: %s", request_id, error)
            abort_connection(request)
        except BaseException:
            abort_connection(request)
            raise
        finally:
            await answer.chunks.aclose()
        return response

    async def _read_call(self, request: web.Request, request_id: str) -> Call:
        """
        Return the call of a request.

        An earlier request with the same idempotency token may have run, so
        the refusal of a request with a token doesn't say that it did not run.
        """
        try:
            return await self._authenticate_and_read(request, request_id)
        except Refusal as refusal:
            if IDEMPOTENCY_TOKEN_HEADER in request.headers:
                refusal.mark_outcome_uncertain()
            raise

    async def _authenticate_and_read(
        self, request: web.Request, request_id: str
    ) -> Call:
        configuration = self._board.configuration.current
        if (
            self._board.lifecycle.is_draining
            and IDEMPOTENCY_TOKEN_HEADER not in request.headers
        ):
            raise Draining("the router is shutting down", retry_after=0.0)
        if configuration is None:
            raise NotReady("no configuration yet", retry_after=1.0)
        workspace = authenticate(request, configuration)
        return await self._reader.read(
            request, request_id, workspace, configuration, self._clock()
        )
