"""Tells streams that have ended from those that were broken off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.exceptions.backends import AnswerInvalid, ServerLost

if TYPE_CHECKING:
    from sycamorehaven.decisions.event_stream import EventSplitter
    from sycamorehaven.transport.responses import BodyFraming


def check_stream_end(splitter: EventSplitter, framing: BodyFraming) -> None:
    """
    Check that a stream whose body has ended is complete.

    :param splitter: has received the whole body.
    :param framing: what marked the end of the body.
    :raises ServerLost: if the connection ended inside an event or before the
        first one.
    :raises AnswerInvalid: if the server ended the body inside an event.
    """
    if splitter.is_inside_event:
        detail = "the stream ended inside an event"
        if framing == "connection":
            raise ServerLost(detail, was_sent=True)
        raise AnswerInvalid(detail, was_sent=True)
    if framing == "connection" and not splitter.has_events:
        raise ServerLost("the stream ended before an event", was_sent=True)
