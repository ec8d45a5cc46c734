"""Messages about backend servers."""

from __future__ import annotations

from typing import NamedTuple


class ServerNews(NamedTuple):
    """
    What one source says of a backend server.

    :ivar server: the backend server.
    :ivar source: ``"list"`` (the host list) or ``"server"`` (itself).
    :ivar state: ``"leaving"`` or ``"serving"``.
    :ivar version: larger is newer: milliseconds since the epoch at the finder.
    """

    server: str
    source: str
    state: str
    version: int


class ServerNotice(NamedTuple):
    """
    News of backend servers; each router passes what is new to it on once.

    :ivar hops: how often it may still be passed on.
    :ivar rows: the news.
    """

    hops: int
    rows: list[ServerNews]


class NoticeRequest(NamedTuple):
    """A request for all news of backend servers that still matter."""


class LoadRequest(NamedTuple):
    """
    A request to read a backend server's load on the sender's behalf.

    :ivar server: the backend server.
    """

    server: str


class LoadReply(NamedTuple):
    """
    The load that was read for ``LoadRequest``; none is sent if there is none.

    :ivar server: the backend server.
    :ivar running: requests that run.
    :ivar capacity: requests that it can run at once.
    :ivar leaving: whether it takes no new work.
    """

    server: str
    running: int
    capacity: int
    leaving: bool
