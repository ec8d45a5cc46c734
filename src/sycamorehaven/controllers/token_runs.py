"""The one run of a token, and the callers that follow its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.token_table import MAX_ANSWER_BYTES, RecordedAnswer
from sycamorehaven.exceptions.backends import ServerLost
from sycamorehaven.exceptions.refusals import AnswerGone, DeadlineUnreachable

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.call import Answer
    from sycamorehaven.exceptions.refusals import Refusal

RUNNING_RETRY_AFTER_SECONDS = 1.0
"""Seconds after which a caller may ask again for a call that runs."""


class TokenRun:
    """
    A run, and its answer as it comes.

    The answer is kept from its start while it is small enough to be recorded.
    A larger one is kept until its readers have it, and the run then waits for
    the slowest of them.

    :param clock: monotonic seconds.
    :param largest: bytes of the largest answer that is kept whole.
    """

    def __init__(
        self, clock: Callable[[], float], max_kept_bytes: int = MAX_ANSWER_BYTES
    ) -> None:
        self._clock = clock
        self._max_kept_bytes = max_kept_bytes
        self._changed = Signal()
        self._chunks: list[bytes] = []
        self._first_kept_index = 0
        self._total_bytes = 0
        self._answer_head: Answer | None = None
        self._refusal: Refusal | None = None
        self._is_complete = False
        self._is_broken = False
        self._readers: set[AnswerReader] = set()
        self._waiting_caller_count = 0

    @property
    def changed(self) -> Signal:
        """Raised when the answer grows or ends, or a reader moves on."""
        return self._changed

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer is there."""
        return self._is_complete

    @property
    def is_broken(self) -> bool:
        """Whether the answer will never be whole."""
        return self._is_broken

    @property
    def chunk_count(self) -> int:
        """Number of chunks that have come."""
        return self._first_kept_index + len(self._chunks)

    def get_chunk(self, index: int) -> bytes:
        """Return a chunk that is kept."""
        return self._chunks[index - self._first_kept_index]

    async def wait_for_headers(self, deadline: float) -> AnswerReader:
        """
        Wait for the answer's headers and return a reader of it.

        :param deadline: monotonic seconds.
        :raises Refusal: if the run was refused, or the deadline passes.
        """
        self._waiting_caller_count += 1
        try:
            await self._wait_until_head_or_refusal(deadline)
            return self._open_reader()
        finally:
            self._waiting_caller_count -= 1
            self._changed.notify()

    async def _wait_until_head_or_refusal(self, deadline: float) -> None:
        while self._answer_head is None and self._refusal is None:
            remaining = deadline - self._clock()
            if remaining <= 0.0:
                raise DeadlineUnreachable(
                    "the call with this token still runs",
                    was_run="unknown",
                    retry_after=RUNNING_RETRY_AFTER_SECONDS,
                    remedy="send the same token again after Retry-After seconds",
                )
            await self._changed.wait(remaining)

    def _open_reader(self) -> AnswerReader:
        if self._refusal is not None:
            raise self._refusal
        if self._first_kept_index:
            raise AnswerGone("the answer is too large to be repeated", was_run="yes")
        return AnswerReader(self, self._readers)

    async def consume_answer(self, answer: Answer) -> RecordedAnswer | None:
        """
        Take the answer in as it comes.

        :returns: the whole answer, or ``None`` if it was too large to keep.
        """
        self._answer_head = answer
        self._changed.notify()
        try:
            async for chunk in answer.chunks:
                self._add_chunk(chunk)
                await self._wait_for_readers()
        finally:
            await answer.chunks.aclose()
        if self._total_bytes > self._max_kept_bytes:
            return None
        return RecordedAnswer(answer.status, answer.headers, b"".join(self._chunks))

    @property
    def answer_head(self) -> Answer:
        """The answer's status and headers."""
        if self._answer_head is None:
            raise ServerLost("the run has no answer yet", was_sent=True)
        return self._answer_head

    def mark_complete(self) -> None:
        """Mark the answer as whole."""
        self._is_complete = True
        self._changed.notify()

    def mark_refused(self, refusal: Refusal) -> None:
        """End the run without an answer of a backend server."""
        self._refusal = refusal
        self._changed.notify()

    def mark_broken(self, refusal: Refusal) -> None:
        """Mark the answer as never to be whole; the rest are refused."""
        self._is_broken = True
        self.mark_refused(refusal)

    def _add_chunk(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self._total_bytes += len(chunk)
        self._changed.notify()

    async def _wait_for_readers(self) -> None:
        if self._total_bytes <= self._max_kept_bytes:
            return
        while self._drop_read_chunks() > self._max_kept_bytes:
            await self._changed.wait()

    def _drop_read_chunks(self) -> int:
        reader_positions = [reader.index for reader in self._readers]
        keep_from = min(reader_positions, default=self.chunk_count)
        if self._waiting_caller_count:
            keep_from = self._first_kept_index
        del self._chunks[: keep_from - self._first_kept_index]
        self._first_kept_index = keep_from
        return sum(len(chunk) for chunk in self._chunks)


class AnswerReader:
    """
    Follows the answer of a run from its first chunk.

    :param run: the run.
    :param readers: every reader of the run; it enters itself.
    """

    def __init__(self, run: TokenRun, readers: set[AnswerReader]) -> None:
        self._run = run
        self._readers = readers
        self.index = 0
        readers.add(self)

    def __aiter__(self) -> AnswerReader:
        """Return the reader itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk; raise if the answer breaks off."""
        while self.index >= self._run.chunk_count:
            if self._run.is_complete:
                raise StopAsyncIteration
            if self._run.is_broken:
                raise ServerLost("the answer broke off", was_sent=True)
            await self._run.changed.wait()
        chunk = self._run.get_chunk(self.index)
        self.index += 1
        self._run.changed.notify()
        return chunk

    async def aclose(self) -> None:
        """Stop following; the run goes on."""
        self._readers.discard(self)
        self._run.changed.notify()


class RecordedBody:
    """
    The body of a recorded answer.

    :param body: the whole of it.
    """

    def __init__(self, body: bytes) -> None:
        self._remaining = body

    def __aiter__(self) -> RecordedBody:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return all of it, once."""
        if not self._remaining:
            raise StopAsyncIteration
        body, self._remaining = self._remaining, b""
        return body

    async def aclose(self) -> None:
        """Drop what is left."""
        self._remaining = b""
