"""Messages by which routers of published routes know the fleet's load."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sycamorehaven.routing.model import Snapshot
from sycamorehaven.transport.messages.field_types import ServerName

Count = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class ServerShare(NamedTuple):
    """
    The sender's load of a backend server.

    :ivar server: id of the server.
    :ivar running: its requests there.
    :ivar unread: prompt tokens of those without a first token.
    :ivar limit: requests of all routers that the sender lets it run.
    """

    server: ServerName
    running: Count
    unread: Count
    limit: NonNegativeNumber


class PlacedPart(NamedTuple):
    """
    A part of a prompt that a server reads.

    :ivar key: names the part and those before it.
    :ivar tokens: its length.
    :ivar server: id of the server.
    """

    key: Count
    tokens: Count
    server: ServerName


class WorkspaceUsage(NamedTuple):
    """
    What a workspace asked and got at the sender since its start, tokens.

    :ivar workspace: name of the workspace.
    :ivar asked: tokens asked.
    :ivar given: tokens of placed requests.
    """

    workspace: str
    asked: Count
    given: Count


class ServiceContention(NamedTuple):
    """
    A service for which requests wait at the sender.

    :ivar service: name of the service.
    :ivar satisfaction: the least of the workspaces that wait: what one got
        as a part of what it is due.
    :ivar waiting: requests of those that have about as little.
    """

    service: str
    satisfaction: NonNegativeNumber
    waiting: Count


class FleetNews(NamedTuple):
    """
    What has changed at a router since it last told.

    :ivar revision: of its newest snapshot.
    :ivar age: seconds since the platform showed that snapshot.
    :ivar servers: its load of servers.
    :ivar placed: prompts that it placed.
    :ivar usage: workspaces whose use has changed.
    :ivar contended: services for which requests have waited lately.
    """

    revision: Count
    age: NonNegativeNumber
    servers: list[ServerShare]
    placed: list[PlacedPart]
    usage: list[WorkspaceUsage]
    contended: list[ServiceContention]


class SnapshotRequest(NamedTuple):
    """
    A request for a snapshot that is newer than the sender's.

    :ivar revision: of the sender's snapshot, 0 for none.
    """

    revision: Count


class SnapshotReply(NamedTuple):
    """
    The answer to ``SnapshotRequest``.

    :ivar snapshot: the newer snapshot.
    :ivar age: seconds since the platform showed it.
    """

    snapshot: Snapshot
    age: NonNegativeNumber
