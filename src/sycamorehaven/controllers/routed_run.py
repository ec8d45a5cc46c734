"""One request on a published route, from first attempt to last byte."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from sycamorehaven.call import Answer
from sycamorehaven.controllers.run_body import RunBody, yield_once
from sycamorehaven.controllers.run_endings import describe_failure, describe_timeout
from sycamorehaven.decisions.repeats import (
    AttemptHistory,
    choose_silence,
    find_obstacle,
)
from sycamorehaven.decisions.streams import EventSplitter
from sycamorehaven.decisions.strikes import compute_fingerprint
from sycamorehaven.exceptions.backends import (
    AnswerInvalid,
    BackendError,
    ConnectFailed,
    ServerLost,
)
from sycamorehaven.exceptions.refusals import (
    AttemptsExhausted,
    BackendTimeout,
    NoBackendServer,
    Refusal,
)
from sycamorehaven.routing.requests import SendPlan

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sycamorehaven.controllers.forwarding import ForwardingController
    from sycamorehaven.controllers.leases import Lease
    from sycamorehaven.routing.requests import RoutedRequest
    from sycamorehaven.transport.routed_backend_client import RoutedBackendResponse

EVENT_ID = re.compile(rb"^id: ?(\d+)", re.MULTILINE)
QUARANTINE_RETURN = 30.0
"""Seconds after which a request that crashes servers may come back."""


class RoutedRun:
    """
    A request in progress.

    :param controller: budget, strikes and tools.
    :param request: the request.
    """

    def __init__(
        self, controller: ForwardingController, request: RoutedRequest
    ) -> None:
        self._controller = controller
        self._tools = controller.tools
        self._request = request
        self._fingerprint = compute_fingerprint(request)
        self._history = AttemptHistory()
        self._spared: set[str] = set()
        self._lease: Lease | None = None
        self._answer: RoutedBackendResponse | None = None
        self._splitter = EventSplitter()
        last = request.head.last_event
        self._event = -1 if last is None else last
        route = request.route
        self._silence = choose_silence(
            repeatable=route.repeatable,
            target=route.target,
            longest_pause=route.longest_pause,
        )
        self._failed_answer: Answer | None = None
        self._sending = False
        self._streaming = False
        self._event_at = 0.0

    async def start(self) -> Answer:
        """
        Return the answer once its first bytes are there.

        :raises Refusal: if there is none.
        """
        if self._controller.is_banned(self._fingerprint):
            raise NoBackendServer(
                "backend servers were lost each time they ran this request",
                retry_after=QUARANTINE_RETURN,
            )
        try:
            async with asyncio.timeout_at(self._request.deadline):
                if self._request.route.streaming:
                    return await self._start_stream()
                return await self._fetch()
        except TimeoutError:
            sent = self._history.may_have_run or self._sending
            raise describe_timeout(may_have_run=sent) from None
        except Refusal:
            if self._failed_answer is None:
                raise
            return self._failed_answer
        finally:
            if not self._streaming:
                self.close()

    async def _fetch(self) -> Answer:
        """Return a whole answer."""
        while True:
            answer = await self._attempt()
            try:
                body = b"".join([chunk async for chunk in answer.body.read_chunks()])
            except BackendError as error:
                self._fail(error)
                continue
            self._note_answer(failed=answer.status >= 500)
            chunks = RunBody(self, yield_once(body))
            whole = Answer(answer.status, answer.headers, chunks)
            if answer.status < 500 or not self._may_try_other():
                return whole
            self._failed_answer = whole

    def _may_try_other(self) -> bool:
        """Return whether another try may follow a server's own error."""
        history = self._history.add(arrived=True, may_have_run=True)
        if self._find_obstacle(history) or not self._take_repeat():
            return False
        self._history = history
        if self._lease is not None:
            self._spared.add(self._lease.server.id)
        self.close()
        return True

    async def _start_stream(self) -> Answer:
        """Return a stream whose first event is there."""
        while True:
            answer = await self._attempt()
            if answer.status >= 300:
                self._note_answer(failed=answer.status >= 500)
                if answer.status >= 500 and self._may_try_other():
                    continue
                return self._stream(answer, self._relay_rest())
            try:
                first = await self._read_first(answer)
            except BackendError as error:
                self._fail(error)
                continue
            return self._stream(answer, self._relay_events(first))

    def _stream(
        self, answer: RoutedBackendResponse, chunks: AsyncGenerator[bytes, None]
    ) -> Answer:
        self._streaming = True
        return Answer(answer.status, answer.headers, RunBody(self, chunks))

    async def _read_first(self, answer: RoutedBackendResponse) -> bytes:
        chunks = answer.body.read_chunks()
        async for chunk in chunks:
            if self._lease is not None:
                self._lease.note_first_token(self._tools.clock())
            events = self._splitter.feed(chunk)
            if events.data:
                return self._take_events(events.data)
        return self._splitter.flush()

    async def _relay_rest(self) -> AsyncGenerator[bytes, None]:
        """Yield a body as it comes; it breaks where the server's breaks."""
        async for chunk in self._read_until_deadline():
            yield chunk

    async def _relay_events(self, first: bytes) -> AsyncGenerator[bytes, None]:
        """Yield whole events; go on elsewhere if the route allows it."""
        if first:
            yield first
        while True:
            try:
                async for chunk in self._read_until_deadline():
                    events = self._splitter.feed(chunk)
                    if events.data:
                        yield self._take_events(events.data)
            except BackendError as error:
                await self._resume(error)
                continue
            break
        if rest := self._splitter.flush():
            yield rest
        self._note_answer(failed=False)

    async def _read_until_deadline(self) -> AsyncGenerator[bytes, None]:
        assert self._answer is not None
        chunks = self._answer.body.read_chunks()
        while True:
            try:
                async with asyncio.timeout_at(self._request.deadline):
                    chunk = await anext(chunks, b"")
            except TimeoutError:
                raise BackendTimeout(
                    "the stream did not end in time", was_run="yes"
                ) from None
            if not chunk:
                return
            yield chunk

    async def _resume(self, error: BackendError) -> None:
        """
        Go on with a broken stream at another server.

        :raises Refusal: if it cannot go on.
        """
        self._splitter.drop_partial()
        self._event_at = 0.0
        while True:
            self._fail(error)
            try:
                async with asyncio.timeout_at(self._request.deadline):
                    answer = await self._attempt()
            except TimeoutError:
                raise BackendTimeout(
                    "the stream could not go on in time", was_run="yes"
                ) from None
            if answer.status == 200:
                self._tools.log.record(
                    "stream_resumed",
                    request=self._request.head.attempt,
                    server=self._lease.server.id if self._lease else "",
                    event_id=self._event,
                )
                return
            error = AnswerInvalid(f"status {answer.status} to a resume", sent=True)

    def _take_events(self, data: bytes) -> bytes:
        if found := EVENT_ID.findall(data):
            self._event = int(found[-1])
        now = self._tools.clock()
        if self._lease is not None:
            self._lease.note_first_token(now)
            if self._event_at:
                longest = self._request.route.longest_pause
                self._lease.note_gap(now - self._event_at, longest, now)
        self._event_at = now
        return data

    async def _attempt(self) -> RoutedBackendResponse:
        """
        Send the request until a server answers.

        :raises Refusal: if no further attempt is possible.
        """
        while True:
            self._lease = await self._acquire()
            now = self._tools.clock()
            left = self._request.deadline - now
            silence = self._choose_silence(self._lease, now)
            self._sending = True
            try:
                self._answer = await self._tools.backends.send(
                    SendPlan(self._lease.server, self._lease.source, self._event),
                    self._request,
                    remaining=left,
                    silence_timeout=silence,
                )
            except BackendError as error:
                self._sending = False
                self._fail(error)
                continue
            return self._answer

    async def _acquire(self) -> Lease:
        try:
            return await self._tools.dispatcher.acquire(
                self._request, self._spared, resumes=self._streaming
            )
        except Refusal as refusal:
            if self._history.may_have_run:
                raise AttemptsExhausted(
                    f"an attempt failed and no other server is free: {refusal.detail}",
                    was_run="unknown",
                ) from refusal
            raise

    def _choose_silence(self, lease: Lease, now: float) -> float:
        if not self._request.route.streaming:
            return self._silence.first
        wait = lease.model.count_unread(now) / lease.model.rate
        return self._silence.next + wait

    def _fail(self, error: BackendError) -> None:
        """
        Take in a failed attempt.

        :raises Refusal: if there is no further one.
        """
        assert self._lease is not None
        server, now = self._lease.server, self._tools.clock()
        left = self._request.deadline - now
        self._lease.note_failure(error, now)
        if isinstance(error, ServerLost) and error.sent:
            self._controller.strike(self._fingerprint, server.life, 0.0)
        self.close()
        self._spared.add(server.id)
        arrived = not isinstance(error, ConnectFailed)
        self._history = self._history.add(arrived=arrived, may_have_run=error.sent)
        obstacle = self._find_obstacle(self._history)
        if not obstacle and arrived and not self._take_repeat():
            obstacle = "budget"
        self._tools.metrics.failures.labels(self._request.service, error.code).inc()
        self._tools.log.record(
            "attempt_failed",
            request=self._request.head.attempt,
            server=server.id,
            code=error.code,
            detail=error.detail,
            may_have_run=self._history.may_have_run,
            arrived=self._history.arrived,
            left=round(left, 3),
            outcome=obstacle or "try_another",
        )
        if obstacle:
            raise describe_failure(
                error, obstacle, may_have_run=self._history.may_have_run, left=left
            )

    def _find_obstacle(self, history: AttemptHistory) -> str:
        if self._controller.is_banned(self._fingerprint):
            return "attempts"
        route = self._request.route
        return find_obstacle(
            history,
            route.attempts,
            self._request.deadline - self._tools.clock(),
            repeatable=route.repeatable,
        )

    def _take_repeat(self) -> bool:
        return self._controller.take_repeat(self._request.service)

    def _note_answer(self, *, failed: bool) -> None:
        if self._lease is not None:
            self._lease.model.health.note_answer(failed=failed)
            self._lease.note_first_token(self._tools.clock())
        self._controller.acquit(self._fingerprint)

    def close(self) -> None:
        """Give the connection and the place at the server back."""
        if self._answer is not None:
            self._answer.close()
            self._answer = None
        if self._lease is not None:
            self._lease.end()
            self._lease = None
