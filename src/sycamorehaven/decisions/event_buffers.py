"""Memory for events that are not complete, shared by all streams."""

from __future__ import annotations

MAX_BUFFERED_BYTES = 16_777_216
"""Bytes of incomplete events that all streams may hold together; sixteen
events of the largest size, and a tenth of the memory of the smallest host."""


class EventBuffers:
    """
    Bytes that each stream holds.

    :param limit: bytes that all streams may hold together.
    """

    def __init__(self, limit: int = MAX_BUFFERED_BYTES) -> None:
        self._limit = limit
        self._held: dict[int, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes that all streams hold."""
        return self._total

    def hold(self, stream: int, size: int) -> bool:
        """
        Record how much a stream holds; return whether it may hold it.

        A stream that holds no more than before always may.

        :param stream: identifies the stream.
        :param size: bytes that it holds now.
        """
        grown = size - self._held.pop(stream, 0)
        self._total += grown
        if size:
            self._held[stream] = size
        return grown <= 0 or self._total <= self._limit

    def release(self, stream: int) -> None:
        """Record that a stream holds nothing any more."""
        self.hold(stream, 0)
