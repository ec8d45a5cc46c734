"""
Keeps the published routes and the registered backend servers up to date.

In a large fleet only some routers read the platform's snapshot; the others
get it from them. A router whose snapshot gets too old reads the platform
itself.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Protocol

from mode import Service

from sycamorehaven.controllers.evacuation.recorder import EvacuationRecorder
from sycamorehaven.decisions.snapshot_reads import (
    DOMAIN_READER_AGE_SECONDS,
    choose_read_age,
)
from sycamorehaven.transport.messages.fleet import (
    FleetNews,
    SnapshotReply,
    SnapshotRequest,
)
from sycamorehaven.transport.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.evacuation.recorder import EvacuationEndObserver
    from sycamorehaven.decisions.server_directory import DirectoryChange
    from sycamorehaven.routing.model import Snapshot
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

READ_PERIOD_SECONDS = 0.6
"""Interval of reads; a third of the shortest deadline for a change."""
CHECK_PERIOD_SECONDS = 0.2
"""Interval at which a router checks whether it has to read."""
MAX_CONCURRENT_READS = 4
"""Reads that may run at the same time; a slow one does not delay the next."""
START_WAIT_SECONDS = (1.0, 2.0)
"""Shortest and longest time for which a router that starts waits for a peer's
snapshot before it reads the platform itself."""
JOIN_SECONDS = 3.0
"""Time after the start in which a router may not know all members yet."""
CONFIRMATION_PERIOD_SECONDS = 0.25
"""Shortest interval between two renewals of a snapshot's read time."""
REQUEST_PERIOD_SECONDS = 0.25
"""Shortest interval between two requests for a peer's snapshot."""
CONFIGURATION_REQUEST_SECONDS = 5.0
"""Interval at which a router without a configuration asks a peer for one; the
reply holds all servers."""


class SnapshotSource(Protocol):
    """The platform's store in which routes and servers are published."""

    async def read(self) -> Snapshot:
        """
        Return the current snapshot.

        :raises PlatformUnavailable: if the store cannot be read.
        """
        ...


class RoutingSnapshotController(Service):
    """
    Reads snapshots from the platform or from a peer and applies them.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param source: the store in which routes and servers are published.
    :param decision_log: records changes of routes, servers and platform state.
    :param metrics: records whether the platform can be read.
    :param clock: returns the monotonic time in seconds.
    :param evacuation_observer: told of servers whose evacuation has ended.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        source: SnapshotSource,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
        evacuation_observer: EvacuationEndObserver | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._source = source
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._evacuations = EvacuationRecorder(
            board, decision_log, metrics, evacuation_observer
        )
        self._read_tasks: set[asyncio.Task[None]] = set()
        self._is_available: bool | None = None
        self._random = random.Random(board.identity.incarnation)
        self._started_at = -JOIN_SECONDS
        self._last_read_at = 0.0
        self._last_request_at = 0.0
        self._configuration_requested_at = -CONFIGURATION_REQUEST_SECONDS
        link.subscribe(FleetNews, self._handle_news)
        link.subscribe(SnapshotRequest, self._handle_request)
        link.subscribe(SnapshotReply, self._handle_reply)

    async def on_stop(self) -> None:
        """Cancel the reads in progress."""
        self._board.routing.recovery.stop()
        for task in self._read_tasks:
            task.cancel()

    @Service.task
    async def _read_periodically(self) -> None:
        self._started_at = self._clock()
        await self._await_peer_snapshot()
        read_at = -READ_PERIOD_SECONDS
        while not self.should_stop:
            now = self._clock()
            if paused := self._board.routing.recovery.beat(now):
                self._decision_log.record("snapshot_recovery", paused=round(paused, 3))
            if (
                now - read_at >= READ_PERIOD_SECONDS
                and len(self._read_tasks) < MAX_CONCURRENT_READS
                and self.is_read_due()
            ):
                read_at = now
                task = asyncio.create_task(self.read())
                self._read_tasks.add(task)
                task.add_done_callback(self._read_tasks.discard)
            await asyncio.sleep(CHECK_PERIOD_SECONDS)

    async def _await_peer_snapshot(self) -> None:
        """
        Ask the seeds for their snapshot and wait for it for a while.

        When many routers start at once, the store would otherwise get a read
        of each. The seeds read it at once.
        """
        seeds = list(self._board.seeds.addresses)
        if self._board.members.own.address in seeds:
            return
        self._random.shuffle(seeds)
        ends_at = self._started_at + self._random.uniform(*START_WAIT_SECONDS)
        while seeds and self._clock() < ends_at:
            self._link.send_to(seeds[0], SnapshotRequest(0))
            seeds.append(seeds.pop(0))
            await asyncio.sleep(REQUEST_PERIOD_SECONDS)
            if self._board.routing.is_ready:
                return

    def is_read_due(self) -> bool:
        """Return whether this router has to read the platform itself."""
        members, now = self._board.members, self._clock()
        max_age = choose_read_age(members.own.host, members.map_failure_domains())
        is_joining = now - self._started_at < JOIN_SECONDS
        if is_joining and members.own.address not in self._board.seeds.addresses:
            max_age = max(max_age, DOMAIN_READER_AGE_SECONDS)
        return now - self._board.routing.read_at > max_age

    async def read(self) -> None:
        """Read a snapshot from the platform once and apply it."""
        started_at = self._clock()
        try:
            snapshot = await self._source.read()
        except PlatformUnavailable as error:
            self._record_availability(available=False, detail=error.detail)
            return
        self._record_availability(available=True, detail="")
        self._last_read_at = self._clock()
        self._board.routing.recovery.record_read(started_at)
        self._apply_snapshot(snapshot, "platform", self._clock() - started_at)

    def _record_availability(self, *, available: bool, detail: str) -> None:
        self._metrics.dependency_up.labels("platform").set(float(available))
        if available == self._is_available:
            return
        self._is_available = available
        self._decision_log.record(
            "dependency_regained" if available else "dependency_lost",
            dependency="platform",
            detail=detail,
            snapshot_age=round(self._clock() - self._board.routing.read_at, 3),
        )

    def _apply_snapshot(self, snapshot: Snapshot, origin: str, age: float) -> None:
        routing = self._board.routing
        previous_configuration = routing.configuration
        previous_era, previous_revision = routing.position
        previous_domains = routing.evacuated_domains
        change = routing.apply_snapshot(snapshot, self._clock() - age)
        self._evacuations.record_change(previous_domains, origin, age, self._clock())
        configuration = routing.configuration
        if configuration and configuration is not previous_configuration:
            self._decision_log.record(
                "configuration_in_force",
                version=configuration.version,
                revision=configuration.revision,
                origin=origin,
                age=round(age, 3),
                routes=len(configuration.routes),
            )
        if change is None:
            return
        if previous_revision and snapshot.era > previous_era:
            self._decision_log.record(
                "store_restored",
                era=snapshot.era,
                revision=snapshot.revision,
                previous_revision=previous_revision,
                origin=origin,
            )
        self._update_server_models(change)
        for outcome, servers in change._asdict().items():
            for server in servers:
                self._decision_log.record(
                    f"server_{outcome}",
                    server=server.id,
                    address=server.address,
                    service=server.service,
                    version=server.software_version,
                    revision=snapshot.revision,
                    origin=origin,
                    age=round(age, 3),
                )

    def _update_server_models(self, change: DirectoryChange) -> None:
        for server in change.joined:
            self._board.fleet_load.find_model(server.id).reset_after_restart()
        incarnations = {
            server.incarnation_id for server in self._board.routing.list_servers()
        }
        self._board.server_conditions.retain(incarnations, self._clock())
        if change.left:
            self._board.fleet_load.retain_models(self._board.routing.list_server_ids())

    def _handle_news(self, delivery: Delivery) -> None:
        news: FleetNews = delivery.message
        routing, now = self._board.routing, self._clock()
        position = news.era, news.revision
        if routing.configuration is None:
            self._request_configuration(delivery.address)
        if position == routing.position:
            self._apply_confirmation(delivery.sender.host, news.age)
            return
        if (
            position < routing.position
            or now - self._last_request_at < REQUEST_PERIOD_SECONDS
        ):
            return
        if now - self._last_read_at < 2 * READ_PERIOD_SECONDS:
            return
        self._last_request_at = now
        self._link.send_to(
            delivery.address, SnapshotRequest(routing.revision, routing.position[0])
        )

    def _request_configuration(self, address: str) -> None:
        """
        Ask a peer for its configuration.

        If the published one is malformed, peers may have the one before it,
        though their position is the same.
        """
        now = self._clock()
        if now - self._configuration_requested_at >= CONFIGURATION_REQUEST_SECONDS:
            self._configuration_requested_at = now
            self._link.send_to(address, SnapshotRequest(0))

    def _apply_confirmation(self, host: str, age: float) -> None:
        """Renew the read time of a snapshot that a peer has read later."""
        if not self._board.pauses.has_recovered:
            # The news may have waited for this process while it stood still.
            return
        routing = self._board.routing
        newer_by = self._clock() - age - routing.read_at
        if routing.snapshot is not None and newer_by > CONFIRMATION_PERIOD_SECONDS:
            self._apply_snapshot(routing.snapshot, host, age)

    def _handle_request(self, delivery: Delivery) -> None:
        request: SnapshotRequest = delivery.message
        routing = self._board.routing
        snapshot = routing.snapshot
        position = request.era, request.revision
        if snapshot is not None and snapshot.position > position:
            age = max(self._clock() - routing.read_at, 0.0)
            self._link.send_to(delivery.address, SnapshotReply(snapshot, age))

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: SnapshotReply = delivery.message
        self._apply_snapshot(reply.snapshot, delivery.sender.host, reply.age)
