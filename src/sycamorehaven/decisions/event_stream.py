"""Splitting of a stream of server-sent events into whole events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_DELIMITER = b"\n\n"
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


class EventSplitter:
    """
    Buffers each event until it is complete.

    The stream can be resumed after ``delivered_events`` events. An event of
    more than ``MAX_EVENT_BYTES`` bytes is passed on in parts, and from then on
    the stream can't be resumed.
    """

    def __init__(self) -> None:
        self._partial = b""
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
        data = self._partial + chunk if self._partial else chunk
        end = event_count = 0
        while (delimiter_at := data.find(EVENT_DELIMITER, end)) >= 0:
            end = delimiter_at + len(EVENT_DELIMITER)
            event_count += 1
        if event_count:
            self._has_events = True
            self._has_passed_part = False
        if len(data) - end > MAX_EVENT_BYTES:
            self._is_resumable = False
            self._has_passed_part = True
            end = len(data)
        self._partial = data[end:]
        self._delivered_events += event_count
        return EventBatch(data[:end], event_count)

    def flush(self) -> bytes:
        """Return the buffered bytes after the stream has ended normally."""
        data, self._partial = self._partial, b""
        return data

    def discard_partial(self) -> None:
        """Discard an incomplete event, which a resumed stream repeats."""
        self._partial = b""
        self._has_events = False
