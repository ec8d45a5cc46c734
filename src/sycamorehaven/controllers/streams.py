"""
Relays answers to callers and never ends a broken answer as a complete one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sycamorehaven.decisions.streams import EventSplitter
from sycamorehaven.exceptions.backends import AnswerInvalid, BackendError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterable

    from sycamorehaven.controllers.attempts import CallExecution
    from sycamorehaven.transport.answers import BackendAnswer

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

    :param run: the execution of the call.
    :param chunks: the chunks of the body.
    """

    def __init__(self, run: CallExecution, chunks: AsyncGenerator[bytes, None]) -> None:
        self._run = run
        self._chunks = chunks

    @classmethod
    def from_answer(cls, run: CallExecution, answer: BackendAnswer) -> AnswerStream:
        """
        Return the stream for an answer; an event stream may be resumable.
        """
        if is_resumable(run, answer):
            return cls(run, relay_events(run, answer))
        return cls(run, relay_bytes(run, answer))

    def __aiter__(self) -> AnswerStream:
        return self

    async def __anext__(self) -> bytes:
        return await anext(self._chunks)

    async def aclose(self) -> None:
        """Cancel the call unless it has ended."""
        try:
            await self._chunks.aclose()
        finally:
            self._run.cancel()


def is_event_stream(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether the headers announce server-sent events."""
    return any(
        name.lower() == "content-type"
        and value.lower().startswith(EVENT_STREAM_CONTENT_TYPE)
        for name, value in headers
    )


def count_tokens(data: bytes) -> int:
    """
    Return the number of events in a part of a stream without ``DONE_EVENT``.
    """
    return data.count(EVENT_SEPARATOR) - data.count(DONE_EVENT)


def is_resumable(run: CallExecution, answer: BackendAnswer) -> bool:
    """Return whether the rest of an answer may come from another server."""
    rule = run.call.rule
    return (
        rule.idempotent
        and rule.resumable
        and answer.status == 200
        and is_event_stream(answer.headers)
    )


async def relay_bytes(
    run: CallExecution, answer: BackendAnswer
) -> AsyncGenerator[bytes, None]:
    """
    Yield the bytes of an answer as they arrive.

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
    run: CallExecution, answer: BackendAnswer
) -> AsyncGenerator[bytes, None]:
    """
    Yield complete events, each exactly once, across changes of the server.

    :raises BackendError: if the stream breaks off and cannot be resumed.
    :raises Refusal: if no further attempt may be made.
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
            if not splitter.resumable:
                run.record_broken_answer(error)
                raise
            splitter.drop_partial()
            await run.handle_failure(error)
        finally:
            preemption.cancel()
        answer = await resume_stream(run, splitter.delivered)


async def interrupt_when_preempted(run: CallExecution, answer: BackendAnswer) -> None:
    """Interrupt a stream when the scheduler preempts its permit."""
    await run.wait_for_preemption()
    answer.interrupt()


async def resume_stream(run: CallExecution, delivered: int) -> BackendAnswer:
    """
    Return the rest of an event stream from another attempt.

    :param delivered: number of events that the caller already has.
    :raises AnswerInvalid: if the server does not answer with the rest of the
        stream.
    """
    answer = await run.start(resume_from=delivered)
    if not is_resumable(run, answer):
        error = AnswerInvalid(
            f"the server answered the resume request with status {answer.status}",
            sent=True,
        )
        run.record_broken_answer(error)
        raise error
    run.count_event("resumption")
    return answer
