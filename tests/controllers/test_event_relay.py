"""Events of a stream while they are sent to the client."""

from __future__ import annotations

from sycamorehaven.controllers.event_relay import EventRelay


class ListedEvents:
    """A run that produces some events."""

    def __init__(self, *events: bytes) -> None:
        self._events = list(events)
        self.is_closed = False

    async def read_events(self) -> bytes:
        """Return the next events, nothing at the end."""
        return self._events.pop(0) if self._events else b""

    def close(self) -> None:
        """Record that the run was closed."""
        self.is_closed = True


async def test_events_that_were_read_first_come_first() -> None:
    run = ListedEvents(b"2", b"3")
    assert [events async for events in EventRelay(run, b"1")] == [b"1", b"2", b"3"]
    assert not run.is_closed


async def test_relay_that_is_closed_unread_ends_its_run() -> None:
    run = ListedEvents(b"2")
    await EventRelay(run, b"1").aclose()
    assert run.is_closed
