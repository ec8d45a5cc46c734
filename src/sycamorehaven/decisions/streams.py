"""Cuts a stream of server-sent events at the borders of whole events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
LARGEST_EVENT = 1_048_576
"""Bytes of one event that are held back until it is whole."""


class Events(NamedTuple):
    """
    Whole events, ready for the caller.

    :ivar data: their bytes.
    :ivar total: how many they are.
    """

    data: bytes
    total: int


class EventSplitter:
    """
    Holds back an event until its last byte is there.

    What it gave out can be resumed after ``delivered`` events. An event past
    ``LARGEST_EVENT`` bytes is passed on in parts; from then on the stream
    cannot be resumed.
    """

    def __init__(self) -> None:
        self._partial = b""
        self._delivered = 0
        self._resumable = True

    @property
    def delivered(self) -> int:
        """Whole events given out so far."""
        return self._delivered

    @property
    def held(self) -> int:
        """Bytes held back."""
        return len(self._partial)

    @property
    def resumable(self) -> bool:
        """Whether all that was given out were whole events."""
        return self._resumable

    def feed(self, chunk: bytes) -> Events:
        """Take bytes of the stream; return the events that are now whole."""
        data = self._partial + chunk if self._partial else chunk
        end = count = 0
        while (found := data.find(EVENT_END, end)) >= 0:
            end = found + len(EVENT_END)
            count += 1
        if len(data) - end > LARGEST_EVENT:
            self._resumable = False
            end = len(data)
        self._partial = data[end:]
        self._delivered += count
        return Events(data[:end], count)

    def flush(self) -> bytes:
        """Return what is held back at the clean end of the stream."""
        data, self._partial = self._partial, b""
        return data

    def drop_partial(self) -> None:
        """Forget what is held back; a resumed stream repeats it."""
        self._partial = b""
