"""Cuts a stream of server-sent events at the borders of whole events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_DELIMITER = b"\n\n"
MAX_EVENT_BYTES = 1_048_576
"""Bytes of one event that are held back until it is whole."""


class EventBatch(NamedTuple):
    """
    Whole events, ready for the caller.

    :ivar data: their bytes.
    :ivar total: how many they are.
    """

    data: bytes
    event_count: int


class EventSplitter:
    """
    Holds back an event until its last byte is there.

    What it gave out can be resumed after ``delivered`` events. An event past
    ``LARGEST_EVENT`` bytes is passed on in parts; from then on the stream
    cannot be resumed.
    """

    def __init__(self) -> None:
        self._partial = b""
        self._delivered_events = 0
        self._is_resumable = True

    @property
    def delivered_events(self) -> int:
        """Whole events given out so far."""
        return self._delivered_events

    @property
    def buffered_bytes(self) -> int:
        """Bytes held back."""
        return len(self._partial)

    @property
    def is_resumable(self) -> bool:
        """Whether all that was given out were whole events."""
        return self._is_resumable

    def feed(self, chunk: bytes) -> EventBatch:
        """Take bytes of the stream; return the events that are now whole."""
        data = self._partial + chunk if self._partial else chunk
        end = count = 0
        while (found := data.find(EVENT_DELIMITER, end)) >= 0:
            end = found + len(EVENT_DELIMITER)
            count += 1
        if len(data) - end > MAX_EVENT_BYTES:
            self._is_resumable = False
            end = len(data)
        self._partial = data[end:]
        self._delivered_events += count
        return EventBatch(data[:end], count)

    def flush(self) -> bytes:
        """Return what is held back at the clean end of the stream."""
        data, self._partial = self._partial, b""
        return data

    def discard_partial(self) -> None:
        """Forget what is held back; a resumed stream repeats it."""
        self._partial = b""
