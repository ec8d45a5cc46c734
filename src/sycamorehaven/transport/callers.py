"""The HTTP interface for callers."""

from __future__ import annotations

import hashlib
import hmac
import secrets
import time
from typing import TYPE_CHECKING, Protocol

from aiohttp import web
from mode import Service

from sycamorehaven.call import BATCH, INTERACTIVE, Answer, Call
from sycamorehaven.exceptions.refusals import (
    BadRequest,
    BodyTooLarge,
    Draining,
    InvalidWorkspaceKey,
    NotReady,
    Refusal,
    UnknownService,
)
from sycamorehaven.settings import split_address
from sycamorehaven.transport.headers import filter_request
from sycamorehaven.transport.problems import build_problem

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import Configuration, Workspace
    from sycamorehaven.settings import RouterSettings

DEFAULT_TIMEOUT = 600.0
"""Seconds for a request that names no timeout."""
LONGEST_TIMEOUT = 86_400.0
SHUTDOWN_TIMEOUT = 1.0
"""Seconds that requests still have once the listener closes."""
TOKEN_HEADER = "Idempotency-Token"


class CallHandler(Protocol):
    """Answers calls."""

    async def answer(self, call: Call) -> Answer:
        """Return the answer once its headers are known."""
        ...


class RouteSet(Protocol):
    """Further routes of the callers' interface."""

    def register(self, application: web.Application) -> None:
        """Add the routes."""
        ...


class CallerListener(Service):
    """
    Serves callers.

    :param board: the state of this router.
    :param settings: settings of this process.
    :param handler: answers calls.
    :param route_sets: further routes.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        settings: RouterSettings,
        handler: CallHandler,
        route_sets: Sequence[RouteSet] = (),
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._handler = handler
        self._route_sets = route_sets
        self._clock = clock

    async def on_start(self) -> None:
        """Bind the listener."""
        application = web.Application(client_max_size=self._settings.body_limit)
        application.router.add_route(
            "*", "/v1/services/{service}/{path:.*}", self._serve
        )
        for route_set in self._route_sets:
            route_set.register(application)
        self._runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        await self._runner.setup()
        host, port = split_address(self._settings.callers_address)
        await web.TCPSite(self._runner, host, port).start()

    async def on_stop(self) -> None:
        """Close the listener and its connections."""
        await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = secrets.token_hex(8)
        self._board.lifecycle.enter()
        try:
            call = await self._read_known_call(request, request_id)
            answer = await self._handler.answer(call)
        except Refusal as refusal:
            return build_problem(refusal, request_id)
        else:
            return await self._stream(request, answer, request_id)
        finally:
            self._board.lifecycle.leave()

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
                # A request ends once the operating system has all of it.
                request.transport.set_write_buffer_limits(high=0)
            await response.write_eof()
        except BaseException:
            if request.transport is not None:
                request.transport.abort()
            raise
        finally:
            await answer.chunks.aclose()  # type: ignore[attr-defined]
        return response

    async def _read_known_call(self, request: web.Request, request_id: str) -> Call:
        try:
            return await self._read_call(request, request_id)
        except Refusal as refusal:
            if TOKEN_HEADER in request.headers:
                refusal.doubt()
            raise

    async def _read_call(self, request: web.Request, request_id: str) -> Call:
        configuration = self._board.configuration.current
        if self._board.lifecycle.draining and TOKEN_HEADER not in request.headers:
            raise Draining("the router is shutting down", retry_after=0.0)
        if configuration is None:
            raise NotReady("no configuration yet", retry_after=1.0)
        workspace = authenticate(request, configuration)
        name = request.match_info["service"]
        service = configuration.services.get(name)
        if service is None:
            raise UnknownService(f"no service {name!r}")
        prefix = f"/v1/services/{name}"
        path = request.raw_path.removeprefix(prefix)
        rule = service.match_rule(request.method, request.path.removeprefix(prefix))
        return Call(
            request_id=request_id,
            workspace=workspace,
            service=service,
            rule=rule,
            method=request.method,
            path=path,
            headers=filter_request(request.headers.items()),
            body=await self._read_body(request),
            priority=read_priority(request),
            deadline=self._clock()
            + read_number(request, "Request-Timeout", DEFAULT_TIMEOUT, LONGEST_TIMEOUT),
            cost_hint=read_number(request, "Cost-Hint", 0.0, service.largest_cost),
            token=request.headers.get(TOKEN_HEADER, ""),
        )

    async def _read_body(self, request: web.Request) -> bytes:
        try:
            return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise BodyTooLarge(
                f"the limit is {self._settings.body_limit} bytes"
            ) from error


def authenticate(request: web.Request, configuration: Configuration) -> Workspace:
    """
    Return the workspace whose key the request bears.

    Every key is compared, in constant time, so that timing tells nothing.

    :raises InvalidWorkspaceKey: if there is none.
    """
    kind, _, key = request.headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    found = None
    for workspace in configuration.workspaces.values():
        if hmac.compare_digest(digest, workspace.key_sha256):
            found = workspace
    if kind.lower() != "bearer" or found is None:
        raise InvalidWorkspaceKey("the key belongs to no workspace")
    return found


def read_priority(request: web.Request) -> str:
    """
    Return the request's class, interactive unless it says batch.

    :raises BadRequest: for any other class.
    """
    priority = request.headers.get("Priority-Class", INTERACTIVE)
    if priority not in (INTERACTIVE, BATCH):
        raise BadRequest(f"Priority-Class {priority!r} is not interactive or batch")
    return priority


def read_number(
    request: web.Request, header: str, default: float, largest: float
) -> float:
    """
    Return a positive number from a header, at most ``largest``.

    :raises BadRequest: if it is not one.
    """
    text = request.headers.get(header)
    if text is None:
        return default
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0.0 < number < float("inf"):
        raise BadRequest(f"{header} {text!r} is not a positive number")
    return min(number, largest)
