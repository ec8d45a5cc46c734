"""Messages about the state and load of backend servers."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.transport.messages.field_types import ServerName


class ServerStateRow(NamedTuple):
    """
    The state of a backend server according to one source.

    :ivar server: name of the backend server.
    :ivar source: ``"list"`` for the platform's host list, ``"server"`` for the
        server itself.
    :ivar state: ``"leaving"`` or ``"serving"``.
    :ivar version: milliseconds since the epoch, by the clock of the router
        that observed the state. A larger version is newer.
    """

    server: str
    source: str
    state: str
    version: int


class ServerNotice(NamedTuple):
    """
    Spreads the state of backend servers among the routers.

    Each router forwards the rows that are new to it once.

    :ivar hops: number of times that the notice may still be forwarded.
    :ivar rows: the states.
    """

    hops: int
    rows: list[ServerStateRow]


class NoticeRequest(NamedTuple):
    """Asks for all states of backend servers that are still relevant."""


class LoadRequest(NamedTuple):
    """
    Asks the receiver to read a backend server's load on the sender's behalf.

    :ivar server: name of the backend server.
    """

    server: str


class LoadReply(NamedTuple):
    """
    The reply to a ``LoadRequest``, sent only if the load could be read.

    :ivar server: name of the backend server.
    :ivar running: number of running requests.
    :ivar capacity: number of requests that the server can run at once.
    :ivar leaving: whether the server accepts no new work.
    """

    server: str
    running: int
    capacity: int
    leaving: bool


class GoneServer(NamedTuple):
    """
    Tells that the process of a backend server has ended.

    :ivar incarnation_id: identifies the server together with its start.
    """

    incarnation_id: ServerName
