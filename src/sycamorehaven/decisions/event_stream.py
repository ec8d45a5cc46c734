"""Splitting of a stream of server-sent events into whole events."""

from __future__ import annotations

import re
from typing import NamedTuple

EVENT_END = re.compile(rb"[^\n]\n\n")
"""End of an event; blank lines alone are none."""
MAX_EVENT_BYTES = 1_048_576
"""Size up to which an incomplete event is buffered."""


class EventBatch(NamedTuple):
    """
    Whole events that can be passed on to the caller.

    :ivar data: bytes of the events.
    :ivar event_count: number of the events.
    """

    data: bytes
    event_count: int


def ends_event(chunk: bytes) -> bool:
    """Return whether an event ends with a chunk."""
    return chunk.endswith(b"\n\n") and chunk[-3:-2] not in (b"", b"\n")


class EventSplitter:
    """
    Buffers each event until it is complete.

    The stream can be resumed after ``delivered_events`` events. An event of
    more than ``MAX_EVENT_BYTES`` bytes is passed on in parts, and from then on
    the stream can't be resumed.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self._delivered_events = 0
        self._is_resumable = True
        self._has_passed_part = False
        self._has_events = False

    @property
    def delivered_events(self) -> int:
        """Number of whole events passed on so far."""
        return self._delivered_events

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes of an incomplete event."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not complete."""
        return self._has_passed_part or bool(self._partial.strip(b"\r\n"))

    @property
    def has_events(self) -> bool:
        """Whether a whole event came since the stream began or was resumed."""
        return self._has_events

    @property
    def is_resumable(self) -> bool:
        """Whether only whole events have been passed on so far."""
        return self._is_resumable

    def feed(self, chunk: bytes) -> EventBatch:
        """Add received bytes and return the events that are now complete."""
        if not self._partial and not self._has_passed_part and ends_event(chunk):
            return self._pass_whole_events(chunk)
        # The end of an event may have begun in the last chunk.
        searched = max(len(self._partial) - 2, 0)
        self._partial += chunk
        end = event_count = 0
        if self._has_passed_part and (at := self._partial.find(b"\n\n")) >= 0:
            end, event_count = at + 2, 1
        for match in EVENT_END.finditer(self._partial, max(searched, end)):
            end = match.end()
            event_count += 1
        if event_count:
            self._has_events = True
            self._has_passed_part = False
        if len(self._partial) - end > MAX_EVENT_BYTES:
            self._is_resumable = False
            self._has_passed_part = True
            end = len(self._partial)
        self._delivered_events += event_count
        return EventBatch(self._take(end), event_count)

    def _pass_whole_events(self, chunk: bytes) -> EventBatch:
        """Return a chunk that ends an event, without buffering it."""
        event_count = len(EVENT_END.findall(chunk))
        self._has_events = True
        self._delivered_events += event_count
        return EventBatch(chunk, event_count)

    def flush(self) -> bytes:
        """Return the buffered bytes after the stream has ended normally."""
        return self._take(len(self._partial))

    def _take(self, end: int) -> bytes:
        """Remove and return the first bytes of the buffer."""
        taken = bytes(self._partial[:end])
        del self._partial[:end]
        return taken

    def discard_partial(self) -> None:
        """Discard an incomplete event, which a resumed stream repeats."""
        self._partial.clear()
        self._has_events = False
