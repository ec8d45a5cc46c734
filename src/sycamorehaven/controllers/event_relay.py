"""Bodies of event streams on published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sycamorehaven.controllers.routed_body import ClosableRun

if TYPE_CHECKING:
    from typing import Self


class EventSource(ClosableRun, Protocol):
    """The run that produces the events."""

    async def read_events(self) -> bytes:
        """Return the next complete events, nothing at the end."""
        ...


class EventRelay:
    """
    The events of an answer while they are sent to the client.

    It is no generator: each nested generator that an event passes costs as
    much processor time as splitting it does.

    :param source: the run that produces the events.
    :param first_events: events that have been read already.
    """

    def __init__(self, source: EventSource, first_events: bytes) -> None:
        self._source = source
        self._first_events = first_events

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        if self._first_events:
            events, self._first_events = self._first_events, b""
            return events
        if events := await self._source.read_events():
            return events
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """End the run unless it has ended."""
        self._source.close()
