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

RUN_RETRY_AFTER = 1.0
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
        self, clock: Callable[[], float], largest: int = MAX_ANSWER_BYTES
    ) -> None:
        self._clock = clock
        self._largest = largest
        self._changed = Signal()
        self._chunks: list[bytes] = []
        self._first = 0
        self._total = 0
        self._head: Answer | None = None
        self._refusal: Refusal | None = None
        self._ended = False
        self._broken = False
        self._readers: set[RunReader] = set()
        self._waiting = 0

    @property
    def changed(self) -> Signal:
        """Raised when the answer grows or ends, or a reader moves on."""
        return self._changed

    @property
    def ended(self) -> bool:
        """Whether the whole answer is there."""
        return self._ended

    @property
    def broken(self) -> bool:
        """Whether the answer will never be whole."""
        return self._broken

    @property
    def next_index(self) -> int:
        """Number of chunks that have come."""
        return self._first + len(self._chunks)

    def get_chunk(self, index: int) -> bytes:
        """Return a chunk that is kept."""
        return self._chunks[index - self._first]

    async def wait_for_head(self, deadline: float) -> RunReader:
        """
        Wait for the answer's headers and return a reader of it.

        :param deadline: monotonic seconds.
        :raises Refusal: if the run was refused, or the deadline passes.
        """
        self._waiting += 1
        try:
            await self._wait_for_head(deadline)
            return self._open_reader()
        finally:
            self._waiting -= 1
            self._changed.notify()

    async def _wait_for_head(self, deadline: float) -> None:
        while self._head is None and self._refusal is None:
            left = deadline - self._clock()
            if left <= 0.0:
                raise DeadlineUnreachable(
                    "the call with this token still runs",
                    was_run="unknown",
                    retry_after=RUN_RETRY_AFTER,
                    remedy="send the same token again after Retry-After seconds",
                )
            await self._changed.wait(left)

    def _open_reader(self) -> RunReader:
        if self._refusal is not None:
            raise self._refusal
        if self._first:
            raise AnswerGone("the answer is too large to be repeated", was_run="yes")
        return RunReader(self, self._readers)

    async def pump(self, answer: Answer) -> RecordedAnswer | None:
        """
        Take the answer in as it comes.

        :returns: the whole answer, or ``None`` if it was too large to keep.
        """
        self._head = answer
        self._changed.notify()
        try:
            async for chunk in answer.chunks:
                self._take(chunk)
                await self._wait_for_readers()
        finally:
            await answer.chunks.aclose()
        if self._total > self._largest:
            return None
        return RecordedAnswer(answer.status, answer.headers, b"".join(self._chunks))

    @property
    def head(self) -> Answer:
        """The answer's status and headers."""
        if self._head is None:
            raise ServerLost("the run has no answer yet", sent=True)
        return self._head

    def end(self) -> None:
        """Mark the answer as whole."""
        self._ended = True
        self._changed.notify()

    def refuse(self, refusal: Refusal) -> None:
        """End the run without an answer of a backend server."""
        self._refusal = refusal
        self._changed.notify()

    def break_off(self, refusal: Refusal) -> None:
        """Mark the answer as never to be whole; the rest are refused."""
        self._broken = True
        self.refuse(refusal)

    def _take(self, chunk: bytes) -> None:
        self._chunks.append(chunk)
        self._total += len(chunk)
        self._changed.notify()

    async def _wait_for_readers(self) -> None:
        if self._total <= self._largest:
            return
        while self._drop_read() > self._largest:
            await self._changed.wait()

    def _drop_read(self) -> int:
        ends = [reader.index for reader in self._readers]
        keep_from = min(ends, default=self.next_index)
        if self._waiting:
            keep_from = self._first
        del self._chunks[: keep_from - self._first]
        self._first = keep_from
        return sum(len(chunk) for chunk in self._chunks)


class RunReader:
    """
    Follows the answer of a run from its first chunk.

    :param run: the run.
    :param readers: every reader of the run; it enters itself.
    """

    def __init__(self, run: TokenRun, readers: set[RunReader]) -> None:
        self._run = run
        self._readers = readers
        self.index = 0
        readers.add(self)

    def __aiter__(self) -> RunReader:
        """Return the reader itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk; raise if the answer breaks off."""
        while self.index >= self._run.next_index:
            if self._run.ended:
                raise StopAsyncIteration
            if self._run.broken:
                raise ServerLost("the answer broke off", sent=True)
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
        self._left = body

    def __aiter__(self) -> RecordedBody:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return all of it, once."""
        if not self._left:
            raise StopAsyncIteration
        body, self._left = self._left, b""
        return body

    async def aclose(self) -> None:
        """Drop what is left."""
        self._left = b""
