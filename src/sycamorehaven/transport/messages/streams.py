"""Messages by which routers remember at which servers streams began."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sycamorehaven.transport.messages.field_types import MAX_NAME_LENGTH

StreamKey = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Hash of the attempt id that brought a stream's first event."""
OriginName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
"""Name of a service or of a software version; "" if it is not known."""


class StartedStream(NamedTuple):
    """
    A stream and where it began.

    :ivar key: key of the stream.
    :ivar service: name of the service.
    :ivar version: version of the software of the servers.
    """

    key: StreamKey
    service: OriginName
    version: OriginName


class StreamOriginNotice(NamedTuple):
    """
    Tells a router what it has to remember.

    :ivar streams: streams that began at the sender.
    """

    streams: Annotated[list[StartedStream], msgspec.Meta(max_length=1_024)]


class StreamOriginRequest(NamedTuple):
    """
    Asks where a stream began.

    :ivar key: key of the stream.
    """

    key: StreamKey


class StreamOriginReply(NamedTuple):
    """
    The reply to a ``StreamOriginRequest``.

    :ivar key: key of the stream.
    :ivar stream: the stream; ``None`` if the sender does not know it.
    """

    key: StreamKey
    stream: StartedStream | None


class SoftwareVersionRequest(NamedTuple):
    """
    Asks which software versions have served some services.

    :ivar key: key of the stream for which this matters.
    :ivar services: names of the services.
    """

    key: StreamKey
    services: Annotated[list[OriginName], msgspec.Meta(max_length=64)]


class SoftwareVersionReply(NamedTuple):
    """
    The reply to a ``SoftwareVersionRequest``.

    :ivar key: key of the stream.
    :ivar origins: service and version of all servers that may have begun a
        stream that is still taken up; ``None`` if the sender may not have seen
        all of them.
    """

    key: StreamKey
    origins: (
        Annotated[list[tuple[OriginName, OriginName]], msgspec.Meta(max_length=1_024)]
        | None
    )
