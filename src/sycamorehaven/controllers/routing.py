"""Follows the published routes and the registered backend servers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Protocol

from mode import Service

from sycamorehaven.decisions.roles import is_reader
from sycamorehaven.transport.messages.fleet import (
    FleetNews,
    SnapshotReply,
    SnapshotRequest,
)
from sycamorehaven.transport.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.directory import DirectoryChange
    from sycamorehaven.routing.model import Snapshot
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

READ_PERIOD = 0.6
"""Seconds between two reads; a third of the shortest deadline of a change."""
MOST_READS = 4
"""Reads under way at once; a slow one does not hold up the next."""
SMALL_FLEET = 12
"""Routers up to which each reads the platform itself."""
SILENCE = 1.5
"""Age of a snapshot from which a router reads by itself, seconds."""
CONFIRM_PERIOD = 0.25
"""Seconds between two confirmations of one snapshot that are taken in."""
ASK_PERIOD = 0.25
"""Seconds between two requests for a peer's snapshot."""


class SnapshotSource(Protocol):
    """Where routes and servers are published."""

    async def read(self) -> Snapshot:
        """
        Return what is published now.

        :raises PlatformUnavailable: if it cannot be read.
        """
        ...


class RoutingController(Service):
    """
    Reads the platform, or has a peer tell what it read.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param source: where routes and servers are published.
    :param log: takes decisions and changes of belief.
    :param metrics: takes the state of the dependency.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        source: SnapshotSource,
        log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._source = source
        self._decisions = log
        self._metrics = metrics
        self._clock = clock
        self._reads: set[asyncio.Task[None]] = set()
        self._available: bool | None = None
        self._read_at = 0.0
        self._asked_at = 0.0
        link.subscribe(FleetNews, self._take_news)
        link.subscribe(SnapshotRequest, self._take_request)
        link.subscribe(SnapshotReply, self._take_reply)

    async def on_stop(self) -> None:
        """Give up reads under way."""
        for task in self._reads:
            task.cancel()

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            if self.is_due() and len(self._reads) < MOST_READS:
                task = asyncio.create_task(self.read())
                self._reads.add(task)
                task.add_done_callback(self._reads.discard)
            await asyncio.sleep(READ_PERIOD)

    def is_due(self) -> bool:
        """Return whether this router is to read the platform by itself."""
        members = self._board.members
        domains = members.map_domains()
        if len(domains) <= SMALL_FLEET or is_reader(members.own, domains):
            return True
        return self._clock() - self._board.routing.read_at > SILENCE

    async def read(self) -> None:
        """Read the platform once."""
        started = self._clock()
        try:
            snapshot = await self._source.read()
        except PlatformUnavailable as error:
            self._note_available(available=False, detail=error.detail)
            return
        self._note_available(available=True, detail="")
        self._read_at = self._clock()
        self._take(snapshot, "platform", self._clock() - started)

    def _note_available(self, *, available: bool, detail: str) -> None:
        self._metrics.dependencies.labels("platform").set(float(available))
        if available == self._available:
            return
        self._available = available
        self._decisions.record(
            "dependency_regained" if available else "dependency_lost",
            dependency="platform",
            detail=detail,
            snapshot_age=round(self._clock() - self._board.routing.read_at, 3),
        )

    def _take(self, snapshot: Snapshot, origin: str, age: float) -> None:
        routing = self._board.routing
        before = routing.configuration.revision if routing.configuration else 0
        change = routing.take(snapshot, self._clock() - age)
        if change is None:
            return
        self._forget(change)
        after = routing.configuration.revision if routing.configuration else 0
        if after != before and routing.configuration is not None:
            self._decisions.record(
                "configuration_in_force",
                version=routing.configuration.version,
                revision=after,
                origin=origin,
                age=round(age, 3),
                routes=len(routing.configuration.routes),
            )
        for outcome, servers in change._asdict().items():
            for server in servers:
                self._decisions.record(
                    f"server_{outcome}",
                    server=server.id,
                    address=server.address,
                    service=server.service,
                    revision=snapshot.revision,
                    origin=origin,
                    age=round(age, 3),
                )

    def _forget(self, change: DirectoryChange) -> None:
        for server in change.joined:
            self._board.fleet.find_model(server.id).restart()
        if change.left:
            self._board.fleet.retain(self._board.routing.list_ids())

    def _take_news(self, delivery: Delivery) -> None:
        news: FleetNews = delivery.message
        routing, now = self._board.routing, self._clock()
        if news.revision == routing.revision:
            self._take_confirmation(delivery.sender.host, news.age)
            return
        if news.revision < routing.revision or now - self._asked_at < ASK_PERIOD:
            return
        if now - self._read_at < 2 * READ_PERIOD:
            return
        self._asked_at = now
        self._link.send_to(delivery.address, SnapshotRequest(routing.revision))

    def _take_confirmation(self, host: str, age: float) -> None:
        routing = self._board.routing
        later = self._clock() - age - routing.read_at
        if routing.snapshot is not None and later > CONFIRM_PERIOD:
            self._take(routing.snapshot, host, age)

    def _take_request(self, delivery: Delivery) -> None:
        request: SnapshotRequest = delivery.message
        routing = self._board.routing
        snapshot = routing.snapshot
        if snapshot is not None and snapshot.revision > request.revision:
            age = max(self._clock() - routing.read_at, 0.0)
            self._link.send_to(delivery.address, SnapshotReply(snapshot, age))

    def _take_reply(self, delivery: Delivery) -> None:
        reply: SnapshotReply = delivery.message
        self._take(reply.snapshot, delivery.sender.host, reply.age)
