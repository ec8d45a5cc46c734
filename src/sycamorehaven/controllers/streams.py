"""Relays answers to callers; a broken one never looks whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.decisions.event_stream import EventSplitter
from sycamorehaven.exceptions.backends import AnswerInvalid, BackendError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterable

    from sycamorehaven.controllers.attempts import CallExecution
    from sycamorehaven.transport.responses import BackendResponse

EVENT_STREAM_CONTENT_TYPE = "text/event-stream"
EVENT_SEPARATOR = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
"""Ends a model's event stream; no token of it."""


class AnswerStream:
    """
    The body of an answer on its way to the caller.

    Closing it ends the run also if nothing was read from it, which closing a
    generator that has not started would not do.

    :param run: the call.
    :param chunks: the body.
    """

    def __init__(self, run: CallExecution, chunks: AsyncGenerator[bytes, None]) -> None:
        self._run = run
        self._chunks = chunks

    @classmethod
    def from_answer(cls, run: CallExecution, answer: BackendResponse) -> AnswerStream:
        """Return the stream for an answer; an event stream may resume."""
        if is_resumable(run, answer):
            return cls(run, relay_events(run, answer))
        return cls(run, relay_bytes(run, answer))

    def __aiter__(self) -> AnswerStream:
        return self

    async def __anext__(self) -> bytes:
        return await anext(self._chunks)

    async def aclose(self) -> None:
        """Cancel the run unless it has ended."""
        try:
            await self._chunks.aclose()
        finally:
            self._run.cancel()


def is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether headers announce server-sent events."""
    return any(
        name.lower() == "content-type"
        and value.lower().startswith(EVENT_STREAM_CONTENT_TYPE)
        for name, value in headers
    )


def count_tokens(data: bytes) -> int:
    """Return the events in a part of a stream, its last one left out."""
    return data.count(EVENT_SEPARATOR) - data.count(DONE_EVENT)


def is_resumable(run: CallExecution, answer: BackendResponse) -> bool:
    """Return whether an answer may go on at another server."""
    rule = run.call.rule
    return (
        rule.idempotent
        and rule.resumable
        and answer.status == 200
        and is_event_stream(answer.headers)
    )


async def relay_bytes(
    run: CallExecution, answer: BackendResponse
) -> AsyncGenerator[bytes, None]:
    """
    Yield the bytes of an answer as they come.

    :raises BackendError: if the answer breaks off.
    """
    is_event_stream_answer = is_event_stream(answer.headers)
    try:
        async for chunk in answer.read_chunks():
            run.charge_output(
                count_tokens(chunk), 0 if is_event_stream_answer else len(chunk)
            )
            yield chunk
    except BackendError as error:
        run.record_broken_answer(error)
        raise
    run.finish()


async def relay_events(
    run: CallExecution, answer: BackendResponse
) -> AsyncGenerator[bytes, None]:
    """
    Yield whole events, each once, also if the stream changes servers.

    :raises BackendError: if the stream cannot be resumed.
    :raises Refusal: if no further attempt is made.
    """
    splitter = EventSplitter()
    while True:
        preemption = asyncio.ensure_future(interrupt_when_preempted(run, answer))
        try:
            async for chunk in answer.read_chunks():
                data, _ = splitter.feed(chunk)
                run.charge_output(count_tokens(data), 0)
                if data:
                    yield data
            if rest := splitter.flush():
                yield rest
            run.finish()
            return
        except BackendError as error:
            if not splitter.is_resumable:
                run.record_broken_answer(error)
                raise
            splitter.discard_partial()
            await run.handle_failure(error)
        finally:
            preemption.cancel()
        answer = await resume_stream(run, splitter.delivered_events)


async def interrupt_when_preempted(run: CallExecution, answer: BackendResponse) -> None:
    """Break a stream off when the scheduler wants its slot back."""
    await run.wait_for_preemption()
    answer.interrupt()


async def resume_stream(run: CallExecution, delivered: int) -> BackendResponse:
    """
    Return the rest of an event stream from another attempt.

    :param delivered: events that the caller has.
    :raises AnswerInvalid: if a server does not answer with the rest.
    """
    answer = await run.start(resume_from=delivered)
    if not is_resumable(run, answer):
        error = AnswerInvalid(f"status {answer.status} for the rest", was_sent=True)
        run.record_broken_answer(error)
        raise error
    run.count_event("resumption")
    return answer
