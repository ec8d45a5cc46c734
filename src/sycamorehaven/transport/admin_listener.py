"""The read-only HTTP interface for operators."""

from __future__ import annotations

import hashlib
import hmac
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec
from absl import logging
from aiohttp import web
from mode import Service

from sycamorehaven.exceptions.admin import (
    AdminRefusal,
    InvalidAdminKey,
    InvalidAdminQuery,
    ReadOnlyInterface,
    UnknownAdminPath,
)
from sycamorehaven.settings import split_address
from sycamorehaven.telemetry import admin_documents as documents
from sycamorehaven.transport.client_limits.check_connections import open_check_listener
from sycamorehaven.transport.client_limits.guard import ClientGuard

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.telemetry.monitor import Monitor
    from sycamorehaven.telemetry.tracing import SpanBuffer

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

UNAUTHENTICATED_PATHS = frozenset({"/livez", "/readyz"})
"""Paths that load balancers probe without a key."""
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_SPANS = 2_000
"""Upper limit of the ``limit`` parameter of ``/v1/traces``."""


class AdminListener(Service):
    """
    Serves the status, metrics and traces of this router to operators.

    :param board: the shared state of this router.
    :param settings: the settings of this process.
    :param monitor: computes the fairness gaps and renders the metrics.
    :param spans: the finished spans that ``/v1/traces`` lists.
    :param guard: holds clients to limits of memory and time.
    """

    def __init__(
        self,
        board: Blackboard,
        settings: RouterSettings,
        monitor: Monitor,
        spans: SpanBuffer,
        guard: ClientGuard | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._monitor = monitor
        self._spans = spans
        self._guard = guard or ClientGuard()
        self._listener: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Start listening on the admin address."""
        self._runner = web.AppRunner(self.build_application(), access_log=None)
        await self._runner.setup()
        server = self._runner.server
        assert server is not None
        self._listener = await open_check_listener(
            server, self._guard, *split_address(self._settings.admin_address)
        )

    async def on_stop(self) -> None:
        """Close the listener and its connections."""
        if self._listener is not None:
            self._listener.close()
        await self._runner.cleanup()

    def build_application(self) -> web.Application:
        """Return the HTTP application with all admin routes."""
        application = web.Application(middlewares=[self._guard_request])
        routes = {
            "/livez": self._show_live,
            "/readyz": self._show_ready,
            "/metrics": self._show_metrics,
            "/v1/status": self._show_status,
            "/v1/members": self._show_members,
            "/v1/queues": self._show_queues,
            "/v1/workspaces": self._show_workspaces,
            "/v1/traces": self._show_traces,
            "/v1/configuration": self._show_configuration,
        }
        for path, handler in routes.items():
            application.router.add_get(path, handler)
        return application

    @web.middleware
    async def _guard_request(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            self._authorize(request)
            return await handler(request)
        except AdminRefusal as refusal:
            return build_admin_problem(refusal)
        except web.HTTPMethodNotAllowed:
            return build_admin_problem(
                ReadOnlyInterface(f"method '{request.method}' is not supported")
            )
        except web.HTTPNotFound:
            return build_admin_problem(
                UnknownAdminPath(f"path {request.path!r} does not exist")
            )
        except Exception:
            logging.exception("the admin request for %r failed", request.path)
            return build_admin_problem(
                AdminRefusal("the router failed to handle the request")
            )

    def _authorize(self, request: web.Request) -> None:
        expected_digest = self._settings.admin_key_sha256
        if not expected_digest or request.path in UNAUTHENTICATED_PATHS:
            return
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode("utf-8", "replace")).hexdigest()
        if (
            not hmac.compare_digest(digest, expected_digest)
            or scheme.lower() != "bearer"
        ):
            raise InvalidAdminKey("the admin key is missing or wrong")

    async def _show_live(self, _request: web.Request) -> web.Response:
        return build_json_response({"live": True})

    async def _show_ready(self, _request: web.Request) -> web.Response:
        reasons = documents.list_unready_reasons(self._board)
        status = HTTPStatus.SERVICE_UNAVAILABLE if reasons else HTTPStatus.OK
        return build_json_response({"ready": not reasons, "reasons": reasons}, status)

    async def _show_metrics(self, _request: web.Request) -> web.Response:
        body = self._monitor.render_metrics()
        return web.Response(body=body, headers={"Content-Type": METRICS_CONTENT_TYPE})

    async def _show_status(self, _request: web.Request) -> web.Response:
        return build_json_response(
            documents.build_status_document(self._board, self._monitor)
        )

    async def _show_members(self, _request: web.Request) -> web.Response:
        return build_json_response(documents.build_members_document(self._board))

    async def _show_queues(self, _request: web.Request) -> web.Response:
        return build_json_response(documents.build_queues_document(self._board))

    async def _show_workspaces(self, request: web.Request) -> web.Response:
        service = request.query.get("service", "")
        return build_json_response(
            documents.build_workspaces_document(self._board, self._monitor, service)
        )

    async def _show_traces(self, request: web.Request) -> web.Response:
        limit = read_span_limit(request)
        spans = self._spans.list_spans(request.query.get("trace_id", ""), limit)
        return build_json_response({"spans": spans})

    async def _show_configuration(self, _request: web.Request) -> web.Response:
        return build_json_response(documents.build_configuration_document(self._board))


def read_span_limit(request: web.Request) -> int:
    """
    Return the number of spans that the ``limit`` parameter asks for.

    :raises InvalidAdminQuery: if it is not a whole number in range.
    """
    text = request.query.get("limit", str(MAX_SPANS))
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_SPANS:
        raise InvalidAdminQuery(f"limit {text!r} is not between 1 and {MAX_SPANS}")
    return int(text)


def build_json_response(document: dict[str, Any], status: int = 200) -> web.Response:
    """Return a response with a document as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(document),
        content_type="application/json",
    )


def build_admin_problem(refusal: AdminRefusal) -> web.Response:
    """Return a refusal as ``application/problem+json`` (RFC 9457)."""
    headers = {"WWW-Authenticate": "Bearer"} if refusal.status == 401 else {}
    if refusal.status == 405:
        headers["Allow"] = "GET, HEAD"
    document = {
        "type": "about:blank",
        "title": HTTPStatus(refusal.status).phrase,
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "remedy": refusal.effective_remedy,
    }
    return web.Response(
        status=refusal.status,
        body=msgspec.json.encode(document),
        headers=headers,
        content_type="application/problem+json",
    )
