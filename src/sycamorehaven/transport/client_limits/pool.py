"""The open connections of one listener."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Literal, NamedTuple, Protocol

from sycamorehaven.decisions.client_limits.evictions import (
    SETTLE_SECONDS,
    WRITE_STALL_SECONDS,
    UnfinishedRequest,
    list_slowest,
    list_stalled,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.transport.client_limits.cuttable_protocol import CuttableProtocol

CutReason = Literal[
    "memory",
    "header_bytes",
    "header_timeout",
    "body_stalled",
    "body_late",
    "write_stalled",
    "descriptors",
]
"""Why a client was disconnected."""
MIN_RANKING_SECONDS = 0.05
"""Time between two rankings of the connections that make way; a ranking looks
at all of them."""


FEW_CONNECTIONS = 64
"""Number of connections that are ranked as often as needed."""


class ConnectionLimits(NamedTuple):
    """
    Limits of the connections of one listener.

    :ivar connections: connections that may be open at a time.
    :ivar head_bytes: largest size of a request line and of all headers, as
        they arrive.
    :ivar header_timeout: seconds within which a head must be complete.
    :ivar body_timeout: seconds for which an incomplete body may make no
        progress.
    :ivar write_timeout: seconds for which a client may take nothing of a
        response, unless the route has another time limit.
    """

    connections: int
    head_bytes: int
    header_timeout: float
    body_timeout: float
    write_timeout: float


class Guard(Protocol):
    """What all listeners of a process share."""

    def draw(self, protocol: CuttableProtocol, size: int) -> None:
        """Account for bytes that a connection holds, or no longer holds."""
        ...

    def expect(self, size: int) -> None:
        """Record that bytes will be released soon, or were if negative."""
        ...

    def count_cut(self, reason: CutReason) -> None:
        """Count a client that is disconnected."""
        ...


class ConnectionPool:
    """
    The connections of one listener, and which of them make way for others.

    :param guard: the memory of all connections of the process.
    :param get_limits: returns the limits in force.
    :param clock: returns the time of the event loop.
    :ivar idle: connections without a request, the longest unused first.
    :ivar unfinished: connections with an incomplete head or body.
    """

    def __init__(
        self,
        guard: Guard,
        get_limits: Callable[[], ConnectionLimits],
        clock: Callable[[], float],
    ) -> None:
        self.guard = guard
        self._get_limits = get_limits
        self._clock = clock
        self._connections: dict[CuttableProtocol, None] = {}
        self.idle: OrderedDict[CuttableProtocol, None] = OrderedDict()
        self.unfinished: dict[CuttableProtocol, None] = {}
        self._slowest: list[CuttableProtocol] = []
        self._unread: list[CuttableProtocol] = []
        self._ranked_at = -MIN_RANKING_SECONDS

    @property
    def limits(self) -> ConnectionLimits:
        """The limits in force."""
        return self._get_limits()

    @property
    def size(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def add(self, protocol: CuttableProtocol) -> None:
        """Add a new connection."""
        self._connections[protocol] = None
        self.idle[protocol] = None

    def mark_idle(self, protocol: CuttableProtocol) -> None:
        """Record that a connection has no request any more."""
        self.idle[protocol] = None
        self.idle.move_to_end(protocol)

    def remove(self, protocol: CuttableProtocol) -> None:
        """Remove a closed connection."""
        self._connections.pop(protocol, None)
        self.idle.pop(protocol, None)
        self.unfinished.pop(protocol, None)

    def make_room(self) -> None:
        """
        Close a connection if too many are open.

        It may be the newest, if all others have a request in progress.
        """
        if self.size <= self.limits.connections:
            return
        now = self._clock()
        if self._close_idle(now - SETTLE_SECONDS) or self._cut_slowest(now):
            return
        if not self._abort_unread():
            self._close_idle(now)

    def check(self, now: float) -> None:
        """Disconnect the clients that have made no progress for too long."""
        limits = self.limits
        for protocol in list(self._connections):
            protocol.check_progress(now, limits)
        unread = [c for c in self._connections if c.write_stall >= WRITE_STALL_SECONDS]
        self._unread = sorted(unread, key=lambda protocol: protocol.write_stall)

    def list_stalled(self, now: float) -> list[CuttableProtocol]:
        """Return the incomplete requests that make way, in their order."""
        return self._choose(list_stalled, now)

    def _close_idle(self, used_before: float) -> bool:
        """Close the longest unused connection; return whether there is one."""
        while self.idle:
            protocol = next(iter(self.idle))
            if protocol.idle_since > used_before:
                return False
            del self.idle[protocol]
            if protocol.close_unused():
                return True
        return False

    def _cut_slowest(self, now: float) -> bool:
        """Disconnect the slowest unfinished request, if there is one."""
        is_due = now - self._ranked_at >= MIN_RANKING_SECONDS
        if not self._slowest and (is_due or self.size <= FEW_CONNECTIONS):
            self._ranked_at = now
            self._slowest = self._choose(list_slowest, now)[::-1]
        while self._slowest:
            protocol = self._slowest.pop()
            if protocol in self.unfinished and protocol.make_way():
                return True
        return False

    def _abort_unread(self) -> bool:
        """Disconnect the client that has taken nothing for longest, if any."""
        while self._unread:
            if self._unread.pop().abort_unread("descriptors"):
                return True
        return False

    def _choose(
        self, choose: Callable[[list[UnfinishedRequest], float], list[int]], now: float
    ) -> list[CuttableProtocol]:
        protocols = list(self.unfinished)
        requests = [p.describe_progress(n) for n, p in enumerate(protocols)]
        return [protocols[number] for number in choose(requests, now)]
