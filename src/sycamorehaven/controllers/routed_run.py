"""Runs one request on a published route, from first attempt to last byte."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from sycamorehaven.call import Answer
from sycamorehaven.controllers.client_limits.answer_memory import yield_pieces
from sycamorehaven.controllers.crash_guard import CrashGuard
from sycamorehaven.controllers.event_relay import EventRelay
from sycamorehaven.controllers.reservations import UNREACHED_FAILURES
from sycamorehaven.controllers.routed_body import RoutedBody
from sycamorehaven.controllers.routed_refusals import (
    create_failure_refusal,
    create_timeout_refusal,
)
from sycamorehaven.controllers.stream_ends import check_stream_end
from sycamorehaven.decisions.event_stream import MAX_EVENT_BYTES, EventSplitter
from sycamorehaven.decisions.retry_policy import (
    UNLIMITED_SECONDS,
    AttemptHistory,
    compute_idle_timeouts,
    find_retry_obstacle,
)
from sycamorehaven.decisions.stream_origins import StreamOrigin
from sycamorehaven.exceptions.backends import (
    AnswerInvalid,
    BackendError,
    ConnectRefused,
    ServerLost,
    ServerSilent,
)
from sycamorehaven.exceptions.refusals import (
    AttemptsExhausted,
    BackendTimeout,
    Refusal,
)
from sycamorehaven.routing.requests import SendPlan
from sycamorehaven.transport.responses import BodyDeadlinePassed

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sycamorehaven.controllers.forwarding import ForwardingController
    from sycamorehaven.controllers.reservations import ServerReservation
    from sycamorehaven.routing.requests import RoutedRequest
    from sycamorehaven.transport.routed_backend_client import RoutedBackendResponse

EVENT_ID_PATTERN = re.compile(rb"^id: ?(\d+)", re.MULTILINE)
"""Matches the numeric ``id`` field of a server-sent event."""
MAX_BUFFERED_ANSWER_BYTES = 1_048_576
"""Size up to which an answer is read before it is passed on, so that another
attempt can replace one that breaks off."""
MAX_LOGGED_PARTS = 16
"""Number of parts of a prompt in a line about a failed attempt."""


class RoutedRun:
    """
    Runs one request, with its retries and the resumption of its stream.

    :param controller: provides the retry budget, the strikes and the context.
    :param request: the request.
    """

    def __init__(
        self, controller: ForwardingController, request: RoutedRequest
    ) -> None:
        self._controller = controller
        self._context = controller.context
        self._request = request
        self._guard = CrashGuard(controller, request)
        self._history = AttemptHistory()
        self._excluded_servers: set[str] = set()
        self._reservation: ServerReservation | None = None
        self._answer: RoutedBackendResponse | None = None
        self._splitter = EventSplitter()
        last = request.head.last_event_id
        self._last_event_id = -1 if last is None else last
        self._origin: StreamOrigin | None = None
        route = request.route
        self._idle_timeouts = compute_idle_timeouts(
            is_repeatable=route.is_repeatable,
            target_seconds=route.latency_target,
            max_gap_seconds=route.event_gap_target,
        )
        self._error_answer: Answer | None = None
        self._is_sending = False
        self._is_streaming = False
        self._held = controller.answer_memory.open()
        self._has_ended = False
        self._last_event_at = 0.0
        self._has_begun = False
        self._sent_at = 0.0

    async def start(self) -> Answer:
        """
        Return the answer as soon as its first bytes are there.

        :raises Refusal: if the request is refused or its last attempt failed.
        """
        await self._guard.admit()
        try:
            async with asyncio.timeout_at(self._request.deadline) as timeout:
                with self._guard.interrupt_through(timeout):
                    if self._request.route.is_streaming:
                        return await self._start_stream()
                    return await self._fetch_whole_answer()
        except TimeoutError:
            may_have_run = self._history.may_have_run or self._is_sending
            if self._guard.interrupted_by is not None:
                raise self._guard.create_interruption_refusal(
                    may_have_run=may_have_run
                ) from None
            raise create_timeout_refusal(may_have_run=may_have_run) from None
        except Refusal:
            if self._error_answer is None:
                raise
            return self._error_answer
        finally:
            if not self._is_streaming:
                self.close()

    async def _fetch_whole_answer(self) -> Answer:
        """
        Return an answer whose body has been read completely.

        A body that is too large for that, or for which there is no memory, is
        relayed as it arrives.
        """
        while True:
            answer = await self._send_until_answered()
            try:
                body, is_whole = await self._read_body(answer)
            except BackendError as error:
                self._handle_failure(error)
                continue
            self._record_answer(failed=answer.status >= 500)
            if answer.status < 300:
                self._guard.report_begin()
            if not is_whole:
                return self._create_stream_answer(answer, self._relay_body(body))
            held, self._held = self._held, self._controller.answer_memory.open()
            chunks = RoutedBody(held, yield_pieces(body))
            complete_answer = Answer(answer.status, answer.headers, chunks)
            if answer.status < 500 or not self._try_prepare_retry():
                return complete_answer
            held.close()
            self._error_answer = complete_answer

    async def _read_body(self, answer: RoutedBackendResponse) -> tuple[bytes, bool]:
        """
        Return the beginning of a body, and whether it is the whole body.

        :raises BackendError: if the body breaks off.
        """
        body, held = bytearray(), self._held
        held.close()
        async for chunk in answer.body.read_chunks():
            body += chunk
            if not held.grow(len(chunk)) or len(body) > MAX_BUFFERED_ANSWER_BYTES:
                return bytes(body), False
        return bytes(body), True

    def _try_prepare_retry(self) -> bool:
        """
        Prepare another attempt after a server answered with an error status.

        :returns: whether another attempt may follow; if so, the server is
            excluded and a retry is consumed.
        """
        history = self._history.add_attempt(reached=True, may_have_run=True)
        if self._find_retry_obstacle(history) or not self._try_consume_retry():
            return False
        self._history = history
        if self._reservation is not None:
            self._excluded_servers.add(self._reservation.server.id)
        self.close()
        return True

    async def _start_stream(self) -> Answer:
        """Return a stream whose first event has been received."""
        head = self._request.head
        if head.last_event_id is not None:
            self._context.decision_log.record(
                "stream_taken_up",
                request=head.attempt_id,
                resumes=head.resumed_attempt_id,
                event_id=head.last_event_id,
            )
            await self._restrict_to_origin()
        while True:
            answer = await self._send_until_answered()
            if answer.status >= 300:
                self._record_answer(failed=answer.status >= 500)
                if answer.status >= 500 and self._try_prepare_retry():
                    continue
                return self._create_stream_answer(answer, self._relay_body())
            try:
                first_events = await self._read_first_events(answer)
            except BackendError as error:
                self._splitter = EventSplitter()
                self._handle_failure(error)
                continue
            if not first_events:
                self._record_answer(failed=False)
                rest = yield_pieces(self._splitter.flush())
                return self._create_stream_answer(answer, rest)
            self._is_streaming = True
            self._limit_reads(answer)
            chunks = EventRelay(self, first_events)
            return Answer(answer.status, answer.headers, chunks)

    async def _restrict_to_origin(self) -> None:
        """
        Restrict a stream that the client takes up to where it began.

        :raises StreamOriginUnknown: if that matters and nobody knows it.
        """
        self._origin = await self._controller.stream_origins.find(self._request)
        services = {part.service for part in self._request.route.weighted_services}
        if self._origin:
            self._context.decision_log.record(
                "stream_origin_found",
                request=self._request.head.attempt_id,
                service=self._origin.service,
                version=self._origin.version,
            )
        if self._origin and self._origin.service in services:
            self._request = self._request._replace(service=self._origin.service)

    def _create_stream_answer(
        self, answer: RoutedBackendResponse, chunks: AsyncGenerator[bytes, None]
    ) -> Answer:
        self._is_streaming = True
        return Answer(answer.status, answer.headers, RoutedBody(self, chunks))

    async def _read_first_events(self, answer: RoutedBackendResponse) -> bytes:
        """
        Return the first events, or nothing if the stream has none.

        :raises BackendError: if the stream is broken off before.
        """
        chunks = answer.body.read_chunks()
        async for chunk in chunks:
            if self._reservation is not None:
                self._reservation.record_first_token(self._context.clock())
            if events := self._split_events(chunk):
                return self._record_events(events)
            self._check_event_progress()
        self._check_stream_end()
        return b""

    async def _relay_body(self, beginning: bytes = b"") -> AsyncGenerator[bytes, None]:
        """
        Yield a body as it arrives, without resuming it.

        :param beginning: what has been read of the body.
        :raises BackendError: if the body breaks off.
        """
        assert self._answer is not None
        self._set_body_deadline(self._answer)
        async for piece in yield_pieces(beginning):
            yield piece
        del beginning
        self._held.close()
        while chunk := await self._read_chunk():
            yield chunk

    async def read_events(self) -> bytes:
        """
        Return the next complete events, nothing at the end of the stream.

        A broken stream is resumed on another server if the route allows it.

        :raises Refusal: if the stream breaks off and can't be resumed.
        """
        while not self._has_ended:
            try:
                chunk = await self._read_chunk()
                if chunk:
                    if events := self._split_events(chunk):
                        return self._record_events(events)
                    self._check_event_progress()
                    continue
                self._check_stream_end()
            except BackendError as error:
                self._limit_reads(await self._resume_stream(error))
                continue
            self._has_ended = True
            self._record_answer(failed=False)
            self._controller.stream_origins.record_end(self._request)
            return self._splitter.flush()
        return b""

    def _split_events(self, chunk: bytes) -> bytes:
        """
        Return the events that are complete with a further chunk.

        :raises AnswerInvalid: if an event is too large to be buffered.
        """
        events = self._splitter.feed(chunk)
        buffers = self._controller.event_buffers
        if not buffers.hold(id(self), self._splitter.buffered_bytes):
            raise AnswerInvalid(
                "the incomplete events of all streams exceed their memory",
                was_sent=True,
            )
        if not self._splitter.is_resumable:
            raise AnswerInvalid(
                f"an event exceeds {MAX_EVENT_BYTES} bytes", was_sent=True
            )
        return events.data

    def _check_event_progress(self) -> None:
        """
        Check that bytes which complete no event do not come for too long.

        :raises ServerSilent: if they do.
        """
        assert self._answer is not None
        began_at = max(self._last_event_at, self._sent_at)
        if self._context.clock() - began_at > self._answer.body.chunk_timeout:
            raise ServerSilent("no event within the time limit", was_sent=True)

    def _check_stream_end(self) -> None:
        """
        Record how the server ended the stream.

        :raises BackendError: if the stream was broken off.
        """
        assert self._answer is not None
        framing, unfinished = self._answer.body.framing, self._splitter.buffered_bytes
        position = "inside_event" if self._splitter.is_inside_event else "after_event"
        self._context.metrics.stream_ends.labels(framing, position).inc()
        self._context.decision_log.record(
            "stream_ended",
            request=self._request.head.attempt_id,
            server=self._reservation.server.id if self._reservation else "",
            framing=framing,
            event_id=self._last_event_id,
            unfinished_bytes=unfinished,
        )
        check_stream_end(self._splitter, framing)

    def _limit_reads(self, answer: RoutedBackendResponse) -> None:
        """Set the time limits of a stream that has begun."""
        self._set_body_deadline(answer)
        if self._is_last_attempt():
            answer.body.set_chunk_timeout(UNLIMITED_SECONDS)

    def _set_body_deadline(self, answer: RoutedBackendResponse) -> None:
        remaining = self._request.deadline - self._context.clock()
        answer.body.set_deadline(asyncio.get_running_loop().time() + remaining)

    async def _read_chunk(self) -> bytes:
        """
        Return the next chunk, or nothing at the end of the body.

        :raises BackendTimeout: if it does not arrive before the deadline.
        """
        assert self._answer is not None
        try:
            return await self._answer.body.read_chunk()
        except BodyDeadlinePassed:
            raise BackendTimeout(
                "the stream did not end before the deadline", was_run="yes"
            ) from None

    async def _resume_stream(self, error: BackendError) -> RoutedBackendResponse:
        """
        Continue a broken stream on another server, and return its answer.

        :raises Refusal: if the stream cannot be continued.
        """
        self._splitter = EventSplitter()
        self._last_event_at = 0.0
        while True:
            self._handle_failure(error)
            try:
                async with asyncio.timeout_at(self._request.deadline) as timeout:
                    with self._guard.interrupt_through(timeout):
                        answer = await self._send_until_answered()
            except TimeoutError:
                if self._guard.interrupted_by is not None:
                    raise self._guard.create_interruption_refusal(
                        may_have_run=True
                    ) from None
                raise BackendTimeout(
                    "the stream could not be resumed before the deadline", was_run="yes"
                ) from None
            if answer.status == 200:
                server = self._reservation.server if self._reservation else None
                self._context.decision_log.record(
                    "stream_resumed",
                    request=self._request.head.attempt_id,
                    server=server.id if server else "",
                    version=server.software_version if server else "",
                    event_id=self._last_event_id,
                )
                return answer
            error = AnswerInvalid(
                f"the server answered the resume request with status {answer.status}",
                was_sent=True,
            )

    def _record_events(self, data: bytes) -> bytes:
        """
        Record the id and the arrival of events and return them unchanged.
        """
        self._record_progress()
        self._record_origin()
        if event_ids := EVENT_ID_PATTERN.findall(data):
            self._last_event_id = int(event_ids[-1])
        now = self._context.clock()
        if self._reservation is not None:
            self._reservation.record_first_token(now)
            if self._last_event_at:
                longest = self._request.route.event_gap_target
                self._reservation.record_event_gap(
                    now - self._last_event_at, longest, now
                )
        self._last_event_at = now
        return data

    def _record_progress(self) -> None:
        if not self._has_begun:
            self._has_begun = True
            self._guard.report_begin()
            self._controller.workload.count_begin(
                self._request.workspace, self._request.head.prompt_tokens
            )
            elapsed = self._context.clock() - self._request.received_at
            if elapsed > self._request.route.latency_target:
                self._controller.workload.count_late(self._request.workspace)
        if self._reservation is not None:
            self._guard.report_progress(self._reservation.server, self._sent_at)

    def _record_origin(self) -> None:
        """Bind the stream to the software version of its first server."""
        if self._origin is not None or self._reservation is None:
            return
        server = self._reservation.server
        self._origin = StreamOrigin(server.service, server.software_version)
        self._controller.stream_origins.record_start(self._request, server)

    async def _send_until_answered(self) -> RoutedBackendResponse:
        """
        Send the request until a server answers it.

        :raises Refusal: if no further attempt is possible.
        """
        while True:
            self._reservation = await self._acquire_reservation()
            now = self._sent_at = self._context.clock()
            if self._guard.is_blamed:
                self._reservation.cancel(now)
                self._guard.check(may_have_run=self._history.may_have_run)
            remaining = self._request.deadline - now
            idle_timeout = self._choose_idle_timeout(self._reservation, now)
            self._is_sending = True
            self._has_begun = False
            try:
                self._answer = await self._context.backends.send(
                    SendPlan(
                        self._reservation.server,
                        self._reservation.copy_source,
                        self._last_event_id,
                        self._reservation.server.id in self._excluded_servers,
                    ),
                    self._request,
                    remaining=remaining,
                    silence_timeout=idle_timeout,
                )
            except BackendError as error:
                self._is_sending = False
                self._handle_failure(error)
                continue
            self._controller.load_reports.record(
                self._reservation.server, self._answer.head
            )
            return self._answer

    async def _acquire_reservation(self) -> ServerReservation:
        try:
            return await self._context.dispatcher.acquire(
                self._request,
                self._excluded_servers,
                software_version=self._origin.version if self._origin else None,
                is_resume=self._is_streaming or self._is_taken_up,
            )
        except Refusal as refusal:
            if self._history.may_have_run:
                raise AttemptsExhausted(
                    f"an attempt failed and no other is possible: {refusal.detail}",
                    was_run="unknown",
                ) from refusal
            raise

    @property
    def _is_taken_up(self) -> bool:
        """Whether the client has the beginning of a stream that is known."""
        return self._origin is not None and self._request.head.last_event_id is not None

    def _is_last_attempt(self) -> bool:
        """
        Return whether a stream that has begun can't go on at another server.

        Its server's silence then is no reason to break it off: a preempted run
        goes on, and the client decides how long it waits.
        """
        history = self._history.add_attempt(reached=True, may_have_run=True)
        return self._is_streaming and bool(self._find_retry_obstacle(history))

    def _choose_idle_timeout(self, reservation: ServerReservation, now: float) -> float:
        """
        Return how long the server may stay silent, in seconds.

        For a stream, the estimated time that the server needs for its pending
        prompts is added.
        """
        if not self._request.route.is_streaming:
            return self._idle_timeouts.first_byte_seconds
        if self._is_last_attempt():
            return UNLIMITED_SECONDS
        prefill_wait = (
            reservation.model.count_pending_tokens(now) / reservation.model.prefill_rate
        )
        return self._idle_timeouts.next_chunk_seconds + prefill_wait

    def _handle_failure(self, error: BackendError) -> None:
        """
        Record a failed attempt and return if another attempt may follow.

        :raises Refusal: if no further attempt may follow.
        """
        assert self._reservation is not None
        server, now = self._reservation.server, self._context.clock()
        remaining = self._request.deadline - now
        self._reservation.record_failure(error, now)
        self._controller.gone_servers.record_failure(server, error)
        if isinstance(error, ServerLost) and error.was_sent:
            self._guard.report_loss(server, has_begun=self._has_begun)
        self.close()
        self._excluded_servers.add(server.id)
        has_reached_server = not isinstance(error, UNREACHED_FAILURES)
        self._history = self._history.add_attempt(
            reached=has_reached_server,
            may_have_run=error.was_sent,
            refused=isinstance(error, ConnectRefused),
        )
        obstacle = self._find_retry_obstacle(self._history)
        if not obstacle and has_reached_server and not self._try_consume_retry():
            obstacle = "budget"
        self._record_failed_attempt(error, server.id, obstacle, remaining)
        if obstacle == "quarantined":
            self._guard.check(may_have_run=self._history.may_have_run)
        if obstacle:
            raise create_failure_refusal(
                error,
                obstacle,
                may_have_run=self._history.may_have_run,
                remaining_seconds=remaining,
            )

    def _record_failed_attempt(
        self, error: BackendError, server: str, obstacle: str, remaining: float
    ) -> None:
        self._context.metrics.attempt_failures.labels(
            self._request.service, error.code
        ).inc()
        parts = self._request.head.prompt_parts
        self._context.decision_log.record(
            "attempt_failed",
            request=self._request.head.attempt_id,
            server=server,
            code=error.code,
            detail=error.detail,
            may_have_run=self._history.may_have_run,
            arrived=self._history.reached,
            fingerprint=f"{self._guard.suspect_keys.request:016x}",
            parts=[part.key for part in parts[:MAX_LOGGED_PARTS]],
            begun=self._has_begun,
            left=round(remaining, 3),
            outcome=obstacle or "try_another",
        )

    def _find_retry_obstacle(self, history: AttemptHistory) -> str:
        if self._guard.is_blamed:
            return "quarantined"
        route = self._request.route
        return find_retry_obstacle(
            history,
            route.max_attempts,
            self._request.deadline - self._context.clock(),
            is_repeatable=route.is_repeatable,
        )

    def _try_consume_retry(self) -> bool:
        return self._controller.try_consume_retry(self._request.service)

    def _record_answer(self, *, failed: bool) -> None:
        if self._reservation is not None:
            route = self._request.route
            self._reservation.record_answer(
                self._context.clock(),
                failed=failed,
                route="" if route.is_streaming else route.name,
            )
        self._guard.report_success()

    def close(self) -> None:
        """Close the connection and release the reservation on the server."""
        self._controller.event_buffers.release(id(self))
        self._held.close()
        if self._answer is not None:
            self._answer.close()
            self._answer = None
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None
