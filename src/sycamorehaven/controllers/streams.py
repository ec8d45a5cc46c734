"""Relays answers to callers; a broken answer never looks complete."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.controllers.stream_ends import check_stream_end
from sycamorehaven.decisions.event_stream import EventSplitter
from sycamorehaven.exceptions.backends import AnswerInvalid, BackendError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterable

    from sycamorehaven.controllers.attempts import CallExecution
    from sycamorehaven.transport.responses import BackendResponse

EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
"""Content type of server-sent events."""
EVENT_SEPARATOR = b"\n\n"
"""Bytes that end each server-sent event."""
DONE_EVENT = b"data: [DONE]\n\n"
"""Last event of a model's stream; it does not count as a token."""


class AnswerStream:
    """
    The body of an answer while it is relayed to the caller.

    ``aclose`` cancels the call even if nothing was read from the body. Closing
    a plain generator that has not started would not run its cleanup.

    :param execution: the execution of the call.
    :param chunks: the chunks of the body.
    """

    def __init__(
        self, execution: CallExecution, chunks: AsyncGenerator[bytes, None]
    ) -> None:
        self._execution = execution
        self._chunks = chunks

    @classmethod
    def from_answer(
        cls, execution: CallExecution, answer: BackendResponse
    ) -> AnswerStream:
        """Return the stream for an answer, resumable where possible."""
        if is_resumable(execution, answer):
            return cls(execution, relay_events(execution, answer))
        return cls(execution, relay_bytes(execution, answer))

    def __aiter__(self) -> AnswerStream:
        return self

    async def __anext__(self) -> bytes:
        return await anext(self._chunks)

    async def aclose(self) -> None:
        """Cancel the call unless it has ended."""
        try:
            await self._chunks.aclose()
        finally:
            self._execution.cancel()


def is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether the headers announce server-sent events."""
    return any(
        name.lower() == "content-type"
        and value.lower().startswith(EVENT_STREAM_CONTENT_TYPE)
        for name, value in headers
    )


def count_tokens(data: bytes) -> int:
    """
    Return the number of events in a part of a stream.

    ``DONE_EVENT`` is not counted.
    """
    return data.count(EVENT_SEPARATOR) - data.count(DONE_EVENT)


def is_resumable(execution: CallExecution, answer: BackendResponse) -> bool:
    """Return whether the rest of an answer may come from another server."""
    rule = execution.call.rule
    return (
        rule.idempotent
        and rule.resumable
        and answer.status == 200
        and is_event_stream(answer.headers)
    )


async def relay_bytes(
    execution: CallExecution, answer: BackendResponse
) -> AsyncGenerator[bytes, None]:
    """
    Yield the bytes of an answer as they arrive.

    :raises BackendError: if the answer breaks off.
    """
    splitter = EventSplitter() if is_event_stream(answer.headers) else None
    try:
        async for chunk in answer.read_chunks():
            execution.charge_output(count_tokens(chunk), 0 if splitter else len(chunk))
            if splitter:
                splitter.feed(chunk)
            yield chunk
        if splitter:
            check_stream_end(splitter, answer.framing)
    except BackendError as error:
        execution.record_broken_answer(error)
        raise
    execution.finish()


async def relay_events(
    execution: CallExecution, answer: BackendResponse
) -> AsyncGenerator[bytes, None]:
    """
    Yield complete events, each exactly once, across changes of the server.

    :raises BackendError: if the stream breaks off and cannot be resumed.
    :raises Refusal: if no further attempt may be made.
    """
    splitter = EventSplitter()
    while True:
        preemption = asyncio.ensure_future(interrupt_when_preempted(execution, answer))
        try:
            async for chunk in answer.read_chunks():
                data, _ = splitter.feed(chunk)
                execution.charge_output(count_tokens(data), 0)
                if data:
                    yield data
            check_stream_end(splitter, answer.framing)
            if rest := splitter.flush():
                yield rest
            execution.finish()
            return
        except BackendError as error:
            if not splitter.is_resumable:
                execution.record_broken_answer(error)
                raise
            splitter.discard_partial()
            await execution.handle_failure(error)
        finally:
            preemption.cancel()
        answer = await resume_stream(execution, splitter.delivered_events)


async def interrupt_when_preempted(
    execution: CallExecution, answer: BackendResponse
) -> None:
    """Interrupt a stream when the scheduler preempts its permit."""
    await execution.wait_for_preemption()
    answer.interrupt()


async def resume_stream(execution: CallExecution, delivered: int) -> BackendResponse:
    """
    Return the rest of an event stream from another attempt.

    :param delivered: number of events that the caller already has.
    :raises AnswerInvalid: if the server does not answer with the rest of the
        stream.
    """
    answer = await execution.start(resume_from=delivered)
    if not is_resumable(execution, answer):
        error = AnswerInvalid(
            f"the server answered the resume request with status {answer.status}",
            was_sent=True,
        )
        execution.record_broken_answer(error)
        raise error
    execution.count_event("resumption")
    return answer
