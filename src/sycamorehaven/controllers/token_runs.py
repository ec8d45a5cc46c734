"""The single run of a token's call, and the readers of its answer."""

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
"""``Retry-After`` of a refusal because the call is still running."""


class TokenRun:
    """
    The run of a call, and its answer as it arrives.

    An answer that is small enough to be recorded is kept completely. Of a
    larger answer, each chunk is kept until all readers have read it, and the
    run waits for the slowest reader.

    :param clock: returns monotonic time in seconds.
    :param max_kept_bytes: size of the largest answer that is kept completely.
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
        """Notified when the answer changes or a reader advances."""
        return self._changed

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer has been received."""
        return self._is_complete

    @property
    def is_broken(self) -> bool:
        """Whether the answer broke off and will never be complete."""
        return self._is_broken

    @property
    def chunk_count(self) -> int:
        """Number of chunks received so far, including those no longer kept."""
        return self._first_kept_index + len(self._chunks)

    def get_chunk(self, index: int) -> bytes:
        """
        Return a chunk that is still kept.

        :param index: index of the chunk in the whole answer.
        """
        return self._chunks[index - self._first_kept_index]

    async def wait_for_headers(self, deadline: float) -> AnswerReader:
        """
        Wait for the answer's headers and return a reader of the answer.

        :param deadline: monotonic seconds.
        :raises Refusal: if the run is refused, if the deadline passes, or if
            the beginning of the answer is no longer kept.
        """
        self._waiting_caller_count += 1
        try:
            await self._wait_until_headers(deadline)
            return self._open_reader()
        finally:
            self._waiting_caller_count -= 1
            self._changed.notify()

    async def _wait_until_headers(self, deadline: float) -> None:
        while self._answer_head is None and self._refusal is None:
            remaining = deadline - self._clock()
            if remaining <= 0.0:
                raise DeadlineUnreachable(
                    "the call with this token is still running",
                    was_run="unknown",
                    retry_after=RUNNING_RETRY_AFTER_SECONDS,
                    remedy="send the same token again after Retry-After seconds",
                )
            await self._changed.wait(remaining)

    def _open_reader(self) -> AnswerReader:
        if self._refusal is not None:
            raise self._refusal
        if self._first_kept_index:
            raise AnswerGone("the answer is too large to be replayed", was_run="yes")
        return AnswerReader(self, self._readers)

    async def consume_answer(self, answer: Answer) -> RecordedAnswer | None:
        """
        Receive the answer chunk by chunk.

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
            raise ServerLost("the call has no answer yet", was_sent=True)
        return self._answer_head

    def mark_complete(self) -> None:
        """Mark the answer as complete."""
        self._is_complete = True
        self._changed.notify()

    def mark_refused(self, refusal: Refusal) -> None:
        """End the run with a refusal instead of an answer."""
        self._refusal = refusal
        self._changed.notify()

    def mark_broken(self, refusal: Refusal) -> None:
        """
        Mark the answer as broken.

        :param refusal: what callers get that join the run from now on.
        """
        self._is_broken = True
        self.mark_refused(refusal)

    def _add_chunk(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self._total_bytes += len(chunk)
        self._changed.notify()

    async def _wait_for_readers(self) -> None:
        """Wait until enough of a large answer was read and dropped."""
        if self._total_bytes <= self._max_kept_bytes:
            return
        while self._drop_read_chunks() > self._max_kept_bytes:
            await self._changed.wait()

    def _drop_read_chunks(self) -> int:
        """
        Drop the chunks that all readers have read.

        While callers wait for a reader nothing is dropped, because they need
        the answer from its start.

        :returns: bytes still kept.
        """
        reader_positions = [reader.index for reader in self._readers]
        keep_from = min(reader_positions, default=self.chunk_count)
        if self._waiting_caller_count:
            keep_from = self._first_kept_index
        del self._chunks[: keep_from - self._first_kept_index]
        self._first_kept_index = keep_from
        return sum(len(chunk) for chunk in self._chunks)


class AnswerReader:
    """
    Reads the answer of a run from its first chunk.

    :param run: the run.
    :param readers: all readers of the run; the new reader adds itself.
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
        """
        Return the next chunk.

        :raises ServerLost: if the answer broke off.
        """
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
        """Stop reading; the run continues."""
        self._readers.discard(self)
        self._run.changed.notify()


class RecordedBody:
    """
    The body of a recorded answer.

    :param body: the complete body.
    """

    def __init__(self, body: bytes) -> None:
        self._remaining = body

    def __aiter__(self) -> RecordedBody:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the whole body as the only chunk."""
        if not self._remaining:
            raise StopAsyncIteration
        body, self._remaining = self._remaining, b""
        return body

    async def aclose(self) -> None:
        """Drop a body that was not read."""
        self._remaining = b""
