"""Messages by which the routers of published routes share the fleet's load."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sycamorehaven.routing.model import Snapshot
from sycamorehaven.transport.messages.field_types import IncarnationName, ServerName

Count = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
ResultCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
"""Number of results in one report; more would be no count of one router."""
NonNegativeNumber = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class ServerLoad(NamedTuple):
    """
    The load that the sender puts on a backend server.

    :ivar server: id of the server.
    :ivar running: the sender's requests that run on the server.
    :ivar unread: prompt tokens of those requests that have no first output
        token yet.
    :ivar limit: number of concurrent requests of all routers that the sender
        allows on the server.
    """

    server: ServerName
    running: Count
    unread: Count
    limit: NonNegativeNumber


class PlacedPart(NamedTuple):
    """
    A part of a prompt that was sent to a server, whose cache then holds it.

    :ivar key: hash of the model, the part and all parts before it.
    :ivar tokens: length of the part, tokens.
    :ivar server: id of the server.
    """

    key: Count
    tokens: Count
    server: ServerName


class WorkspaceUsage(NamedTuple):
    """
    The tokens of a workspace's requests at the sender since it started.

    :ivar workspace: name of the workspace.
    :ivar asked: tokens of all requests that arrived.
    :ivar given: tokens of the requests that were placed on a server.
    """

    workspace: str
    asked: Count
    given: Count


class ServiceContention(NamedTuple):
    """
    A service for which requests of one workspace wait at the sender.

    :ivar service: name of the service.
    :ivar fill_level: what the workspace received, as a fraction of the fair
        share.
    :ivar waiting: number of its waiting requests.
    """

    service: str
    fill_level: NonNegativeNumber
    waiting: Count


class ServiceDemand(NamedTuple):
    """
    The demand for a service at the sender.

    :ivar service: name of the service.
    :ivar rate: requests per second that arrive for it.
    """

    service: str
    rate: NonNegativeNumber


class SaidOfItself(NamedTuple):
    """
    What a server has said of itself to any router.

    :ivar server: the server's incarnation.
    :ivar limit: requests per second that it takes from all routers together;
        0 if it names no limit.
    :ivar age: seconds since a router received this.
    :ivar leaving: whether it has said that it leaves.
    """

    server: IncarnationName
    limit: NonNegativeNumber
    age: NonNegativeNumber
    leaving: bool


class ServerResults(NamedTuple):
    """
    Results of requests to a plain server at the sender.

    :ivar server: id of the server.
    :ivar answered: results since the sender last told any, failures included.
    :ivar failed: number of failures among them.
    """

    server: ServerName
    answered: ResultCount
    failed: ResultCount


class FleetNews(NamedTuple):
    """
    Reports what has changed at the sender since its last report.

    :ivar revision: revision of the sender's newest snapshot.
    :ivar age: seconds since that snapshot was last read from the platform.
    :ivar servers: load that the sender puts on servers.
    :ivar placed: parts of prompts that the sender has placed on servers.
    :ivar usage: workspaces whose usage has changed.
    :ivar contended: services for which requests have recently waited.
    :ivar era: era of that snapshot.
    :ivar demands: demand for services of which a server names a limit.
    :ivar said: what servers have said of themselves.
    :ivar results: results of requests to plain servers.
    """

    revision: Count
    age: NonNegativeNumber
    servers: list[ServerLoad]
    placed: list[PlacedPart]
    usage: list[WorkspaceUsage]
    contended: list[ServiceContention]
    era: Count = 0
    demands: tuple[ServiceDemand, ...] = ()
    said: tuple[SaidOfItself, ...] = ()
    results: tuple[ServerResults, ...] = ()


class NewsReport(NamedTuple):
    """
    News that a collector passes on, from the router that sends them.

    The sender gets the batches of the collector in return.

    :ivar news: what has changed at the sender.
    """

    news: FleetNews


class CollectedNews(NamedTuple):
    """
    News in a batch, and the router that they are from.

    :ivar host: host of the router.
    :ivar incarnation: incarnation of its process.
    :ivar news: what has changed at the router.
    """

    host: str
    incarnation: int
    news: FleetNews


class NewsBatch(NamedTuple):
    """
    News of several routers from a collector.

    :ivar reports: the news, those of a router in their order.
    :ivar passed_on: whether the receiver is to pass them on to the routers
        that report to it.
    """

    reports: list[CollectedNews]
    passed_on: bool


class SnapshotRequest(NamedTuple):
    """
    Asks for a snapshot that is newer than the sender's.

    :ivar revision: revision of the sender's snapshot, 0 for none.
    :ivar era: era of that snapshot.
    """

    revision: Count
    era: Count = 0


class SnapshotReply(NamedTuple):
    """
    The reply to a ``SnapshotRequest``.

    :ivar snapshot: the newer snapshot.
    :ivar age: seconds since it was last read from the platform.
    """

    snapshot: Snapshot
    age: NonNegativeNumber
