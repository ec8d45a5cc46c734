"""The HTTP listener for clients of published routes."""

from __future__ import annotations

import asyncio
import functools
import random
import resource
import time
from typing import TYPE_CHECKING, Protocol

from absl import logging
from aiohttp import web
from mode import Service

from sycamorehaven.decisions.drain_admission import AnswerDurations, can_end_in_time
from sycamorehaven.decisions.rotation import RotationControl
from sycamorehaven.exceptions.base import SycamorehavenError
from sycamorehaven.exceptions.refusals import (
    BodyTooLarge,
    Draining,
    HeadersTooLarge,
    InternalError,
    NotReady,
    Refusal,
)
from sycamorehaven.routing.requests import RoutedRequest
from sycamorehaven.routing.table import choose_service
from sycamorehaven.settings import split_address
from sycamorehaven.telemetry.request_context import bind_request_id
from sycamorehaven.transport.client_limits.frontend_limits import (
    create_frontend_limits,
    get_max_fields,
)
from sycamorehaven.transport.client_limits.guard import ClientGuard
from sycamorehaven.transport.frontend_protocol import FrontendProtocol
from sycamorehaven.transport.headers import measure_headers
from sycamorehaven.transport.listening import (
    SHUTDOWN_TIMEOUT_SECONDS,
    abort_connection,
    open_listener,
)
from sycamorehaven.transport.listening_socket import RejectingSocket
from sycamorehaven.transport.offload.offloads import Offloads
from sycamorehaven.transport.problem_details import (
    PROTOCOL_OPTIONS,
    build_problem_response,
    build_refusal_response,
)
from sycamorehaven.transport.time_gate import TimeGate, identify_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Answer
    from sycamorehaven.routing.model import RequestLimits, Route
    from sycamorehaven.routing.requests import HeaderCodec, RequestHead
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
    from sycamorehaven.transport.client_limits.pool import (
        ConnectionLimits,
        ConnectionPool,
    )
    from sycamorehaven.transport.frontend_protocol import OffloadStart

CLIENT_DESCRIPTORS_RATIO = 0.4
"""Fraction of the process's file descriptors that connections of clients may
use; the others are for connections to servers, routers and the platform."""
SERVER_DESCRIPTORS_RATIO = 0.3
"""The same for connections to servers, one for each request in progress. A
router whose clients use all descriptors can't accept connections any more,
not even to reject their requests."""
NOT_READY_RETRY_SECONDS = 0.5
"""``Retry-After`` of requests that arrive before the first configuration."""
DRAINING_RETRY_SECONDS = 0.1
"""``Retry-After`` of requests that come too late in the stop of this router.
The load balancer sends the next connection of the client to another one."""


class RoutedRequestHandler(Protocol):
    """Handles the requests on published routes that the listener has read."""

    async def answer(self, request: RoutedRequest) -> Answer:
        """
        Return the answer to a request once its first bytes have arrived.

        :raises Refusal: if the request is refused.
        """
        ...


class FrontendListener(Service):
    """
    Reads requests on published routes and streams their answers back.

    :param board: the shared state of this router.
    :param settings: the settings of this process.
    :param handler: answers the requests.
    :param header_codec: reads and filters the platform's request headers.
    :param decision_log: records the end of every request.
    :param metrics: counts outcomes and observes latencies.
    :param clock: returns monotonic time, seconds.
    :param descriptors: number of file descriptors of the process, of which
        clients get a fraction; ``None`` for the limit of the process.
    :param rotation: decides when the router leaves the balancer's rotation.
    :param guard: holds clients to limits of memory and time.
    """

    def __init__(
        self,
        board: Blackboard,
        settings: RouterSettings,
        handler: RoutedRequestHandler,
        header_codec: HeaderCodec,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
        descriptors: int | None = None,
        rotation: RotationControl | None = None,
        guard: ClientGuard | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._handler = handler
        self._header_codec = header_codec
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._random = random.Random(board.identity.incarnation)
        self._durations = AnswerDurations()
        self._arriving_connections: set[FrontendProtocol] = set()
        rotation = rotation or RotationControl()
        self._offloads = Offloads(
            board, rotation, decision_log, _count_descriptors(descriptors), clock
        )
        self._gate = TimeGate(
            board,
            header_codec,
            decision_log,
            self._record_refusal,
            clock,
            rotation,
            self._arriving_connections,
            choose_max_requests(descriptors),
            self._offloads,
        )
        self._server = web.Server(self._serve, handler_cancellation=True)
        self._listener: asyncio.Server | None = None
        self._guard = guard or ClientGuard()
        self._pool: ConnectionPool | None = None
        self._max_connections = choose_max_connections(descriptors)
        self._request_limits: RequestLimits | None = None
        self._limits = create_frontend_limits(None, self._max_connections)

    async def on_start(self) -> None:
        """Start listening on the callers' address."""
        self._pool = self._guard.create_pool(self._get_limits)
        host, port = split_address(self._settings.callers_address)
        self._listener = await open_listener(
            self._create_protocol,
            host,
            port,
            wrap_socket=functools.partial(
                RejectingSocket.from_socket,
                is_short_of_time=self._gate.may_reject_early,
                reject=self._gate.reject_arrival,
            ),
        )
        self._board.lifecycle.mark_listening()

    def close_idle(self) -> None:
        """
        Accept no further connections and close those without a request.

        Requests in progress are answered.
        """
        if self._listener is not None:
            self._listener.close()
        for connection in self._server.connections:
            if isinstance(connection, FrontendProtocol):
                connection.close_if_idle()

    async def on_stop(self) -> None:
        """Close the listener and its connections."""
        if self._listener is not None:
            self._listener.close()
        self._offloads.abandon_all()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_SECONDS)

    def list_idle_connections(self) -> list[FrontendProtocol]:
        """Return the connections without a request, longest unused first."""
        idle = self._pool.idle if self._pool is not None else ()
        return [c for c in idle if isinstance(c, FrontendProtocol)]

    def _create_protocol(self) -> FrontendProtocol:
        assert self._pool is not None
        loop = asyncio.get_running_loop()
        options = {**PROTOCOL_OPTIONS, "max_headers": get_max_fields(self._pool.limits)}
        protocol = FrontendProtocol(
            self._pool,
            self._arriving_connections,
            self._limit_connections,
            self._gate.reject_early,
            self._find_offload,
            self._server,
            loop=loop,
            **options,
        )
        protocol.set_idle_timeout(self._get_idle_timeout())
        return protocol

    def _find_offload(self, data: bytes) -> OffloadStart | None:
        """Return what lets another router answer a request, if one can."""
        offload = self._gate.find_offload(data)
        if offload is None:
            return None
        return functools.partial(self._offloads.begin, offload, data)

    def _limit_connections(self) -> None:
        """Count a new connection, and close one if too many are open."""
        assert self._pool is not None
        self._board.workload.count_connection()
        self._metrics.open_connections.set(self._pool.size)
        self._pool.make_room()

    def _get_limits(self) -> ConnectionLimits:
        configuration = self._board.routing.configuration
        limits = configuration.limits if configuration is not None else None
        if limits is not self._request_limits:
            self._request_limits = limits
            self._limits = create_frontend_limits(limits, self._max_connections)
        return self._limits

    def _get_idle_timeout(self) -> float:
        return self._get_limits().body_timeout

    async def _serve(self, request: BaseRequest) -> web.StreamResponse:
        received_at = self._clock()
        self._board.lifecycle.begin_request()
        protocol = request.protocol
        assert isinstance(protocol, FrontendProtocol)
        protocol.begin_request()
        try:
            protocol.set_idle_timeout(self._get_idle_timeout())
            response = await self._answer(request, received_at)
            if self._board.lifecycle.is_draining or protocol.is_offloaded:
                response.force_close()
            return response
        finally:
            protocol.end_request()
            self._board.lifecycle.end_request()

    async def _answer(
        self, request: BaseRequest, received_at: float
    ) -> web.StreamResponse:
        routed: RoutedRequest | None = None
        request_id = ""
        try:
            head = self._header_codec.parse_request_headers(request.headers.items())
            request_id = head.attempt_id
            bind_request_id(request_id)
            routed = await self._read_request(request, head, received_at)
            answer = await self._handler.answer(routed)
        except Refusal as refusal:
            with self._board.workload.measure("rejection"):
                self._record_end(
                    request_id, routed, received_at, refusal.status, refusal
                )
                return build_refusal_response(refusal, request_id)
        except asyncio.CancelledError:
            self._record_client_gone(request_id, received_at)
            raise
        except Exception:
            logging.exception("request %s failed", request_id)
            failure = InternalError(
                "the router failed while it handled the request", was_run="unknown"
            )
            self._record_end(request_id, routed, received_at, failure.status, failure)
            return build_problem_response(failure, request_id)
        return await self._stream(request, routed, answer, received_at)

    async def _read_request(
        self, request: BaseRequest, head: RequestHead, received_at: float
    ) -> RoutedRequest:
        configuration = self._board.routing.configuration
        if configuration is None:
            raise NotReady("no configuration yet", retry_after=NOT_READY_RETRY_SECONDS)
        limits = configuration.limits
        if measure_headers(request.headers.items()) > limits.max_header_bytes:
            raise HeadersTooLarge(
                f"the headers exceed the limit of {limits.max_header_bytes} bytes"
            )
        target = request.raw_path
        route, workspace = identify_request(
            self._board.routing,
            request.headers.get("Host", ""),
            target,
            head.client_key,
        )
        self._gate.check_time(workspace, head, received_at)
        timeout = route.timeout
        if head.client_timeout is not None:
            timeout = min(head.client_timeout, timeout)
        _limit_protocol(request, timeout, route.timeout)
        body = await _read_body(request, limits.max_body_bytes)
        deadline = received_at + timeout
        self._check_end_in_time(route, deadline)
        return RoutedRequest(
            head=head,
            method=request.method,
            target=target,
            headers=self._header_codec.filter_request_headers(request.headers.items()),
            body=body,
            route=route,
            service=choose_service(route.weighted_services, self._random.random()),
            workspace=workspace,
            received_at=received_at,
            deadline=deadline,
        )

    def _check_end_in_time(self, route: Route, deadline: float) -> None:
        """
        Check that a request can end before a router that is being stopped.

        :raises Draining: if it can't, or may not if it runs only once.
        """
        now = self._clock()
        if not can_end_in_time(
            self._board.lifecycle.ends_at - now,
            deadline - now,
            self._durations.estimate(route.name),
            is_repeatable=route.is_repeatable,
        ):
            raise Draining(
                "the router is being stopped before the request can end",
                retry_after=DRAINING_RETRY_SECONDS,
            )

    def is_short_of_time(self) -> bool:
        """Return whether new connections should go to other routers."""
        return self._gate.is_short_of_time()

    async def _stream(
        self,
        request: BaseRequest,
        routed: RoutedRequest,
        answer: Answer,
        received_at: float,
    ) -> web.StreamResponse:
        first_byte_seconds = self._clock() - received_at
        service, kind = routed.service, routed.route.kind
        self._metrics.first_byte_latency.labels(service, kind).observe(
            first_byte_seconds
        )
        response = web.StreamResponse(status=answer.status)
        for name, value in answer.headers:
            response.headers.add(name, value)
        protocol = request.protocol
        if isinstance(protocol, FrontendProtocol) and protocol.is_offloaded:
            response.force_close()
        failure: BaseException | None = None
        try:
            await response.prepare(request)
            async for chunk in answer.chunks:
                await response.write(chunk)
                self._board.workload.count_relayed()
            await response.write_eof()
            self._durations.record(routed.route.name, self._clock() - received_at)
        except SycamorehavenError as error:
            failure = error
            abort_connection(request)
        except (ConnectionError, asyncio.CancelledError) as error:
            failure = error
            abort_connection(request)
            raise
        except BaseException as error:
            failure = error
            abort_connection(request)
            raise
        finally:
            await answer.chunks.aclose()
            self._record_end(
                routed.head.attempt_id,
                routed,
                received_at,
                answer.status,
                failure,
                first_byte_seconds,
            )
        return response

    def _record_client_gone(self, request_id: str, received_at: float) -> None:
        self._decision_log.record(
            "client_gone",
            request=request_id,
            after=round(self._clock() - received_at, 3),
        )

    def _record_refusal(
        self, request_id: str, received_at: float, refusal: Refusal
    ) -> None:
        self._record_end(request_id, None, received_at, refusal.status, refusal)

    def _record_end(
        self,
        request_id: str,
        routed: RoutedRequest | None,
        received_at: float,
        status: int,
        failure: BaseException | None,
        first_byte_seconds: float | None = None,
    ) -> None:
        code = getattr(failure, "code", type(failure).__name__ if failure else "")
        service = routed.service if routed else ""
        kind = routed.route.kind if routed else ""
        outcome = code or ("answered" if status < 500 else "server_error")
        self._metrics.requests.labels(service, kind, outcome).inc()
        self._decision_log.record(
            "request_ended",
            request=request_id,
            workspace=routed.workspace if routed else "",
            route=routed.route.name if routed else "",
            service=service,
            status=status,
            outcome=outcome,
            detail=str(failure) if failure else "",
            first_byte=round(first_byte_seconds, 3)
            if first_byte_seconds is not None
            else None,
            took=round(self._clock() - received_at, 3),
            target=routed.route.latency_target if routed else None,
        )


def choose_max_requests(descriptors: int | None) -> int:
    """
    Return how many requests may be in progress at a time.

    :param descriptors: number of file descriptors of the process; ``None`` for
        the limit that the operating system states.
    """
    return max(int(_count_descriptors(descriptors) * SERVER_DESCRIPTORS_RATIO), 1)


def choose_max_connections(descriptors: int | None) -> int:
    """
    Return how many connections of clients may be open at a time.

    :param descriptors: number of file descriptors of the process; ``None`` for
        the limit that the operating system states.
    """
    return max(int(_count_descriptors(descriptors) * CLIENT_DESCRIPTORS_RATIO), 1)


def _count_descriptors(configured: int | None) -> int:
    if configured is not None:
        return configured
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit


def _limit_protocol(
    request: BaseRequest, request_timeout: float, write_timeout: float
) -> None:
    protocol = request.protocol
    assert isinstance(protocol, FrontendProtocol)
    protocol.request_timeout = request_timeout
    protocol.write_timeout = write_timeout


async def _read_body(request: BaseRequest, limit: int) -> bytes:
    body = bytearray()
    is_too_large = (request.content_length or 0) > limit
    if not is_too_large:
        async for chunk in request.content.iter_any():
            body += chunk
            is_too_large = len(body) > limit
            if is_too_large:
                break
    if is_too_large:
        raise BodyTooLarge(f"the body exceeds the limit of {limit} bytes")
    return bytes(body)
