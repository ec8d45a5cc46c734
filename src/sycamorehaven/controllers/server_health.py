"""
Health checks of backend servers.

Each server is polled by the router that schedules it. If the poll fails,
other routers are asked to read the load, so that a broken path between two
hosts is not mistaken for a dead server. Lost connections are counted as well.
"""

from __future__ import annotations

import asyncio
import random as standard_random
import time
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple, Protocol, TypedDict

import aiohttp
import msgspec
from mode import Service

from sycamorehaven.decisions.reachability import (
    MAX_AVOIDANCE_SECONDS,
    MAX_FAILED_POLLS,
    TRIAL_SECONDS,
    choose_helpers,
    compute_avoidance_seconds,
)
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.transport.messages.servers import LoadReply, LoadRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.server_statuses import ServerStatus
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

POLL_PERIOD_SECONDS = 0.5
"""Interval at which a server's load is read."""
POLL_TIMEOUT_SECONDS = 1.0
"""Timeout for one read of a load."""
MAX_REPORT_BYTES = 65_536
"""Longest load report that is read."""
MAX_CONCURRENT_HELPER_READS = 16
"""Loads that are read at the same time on behalf of other routers."""
NO_REPORT_STATUSES = (404, 405, 501)
"""HTTP statuses of a server that is alive but does not report its load."""


class LoadReport(NamedTuple):
    """
    A server's report of its load.

    :ivar running: requests that are running.
    :ivar capacity: requests that it can run at the same time, 0 if unknown.
    :ivar leaving: whether it takes no new work.
    """

    running: int
    capacity: int
    leaving: bool


class LoadBody(TypedDict):
    """The JSON object in a server's response; other members are ignored."""

    running: int
    capacity: int
    leaving: bool


class LoadSource(Protocol):
    """Reads the load of backend servers."""

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return a server's report, ``None`` if it gives none."""
        ...


class HttpLoadSource:
    """
    Reads loads with ``GET /load``.

    The response is a JSON object with the fields of ``LoadReport``. A server
    without this path counts as alive and its capacity as unknown, 0.
    """

    def __init__(self) -> None:
        self._client: aiohttp.ClientSession | None = None

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return a server's report, ``None`` if it gives none."""
        if self._client is None:
            timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_SECONDS)
            self._client = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self._client.get(f"http://{server.address}/load") as response:
                if response.status in NO_REPORT_STATUSES:
                    return LoadReport(0, 0, leaving=False)
                if response.status != 200:
                    return None
                body = await response.content.read(MAX_REPORT_BYTES)
                return LoadReport(**msgspec.json.decode(body, type=LoadBody))
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
            RecursionError,
        ):
            return None

    async def close(self) -> None:
        """Close the connections to the servers."""
        if self._client is not None:
            await self._client.close()


class ConnectionLosses(NamedTuple):
    """
    Connections to a server that this router lost one after the other.

    :ivar losses: number of losses; while the server is avoided, further ones
        are not counted.
    :ivar last_lost_at: when the last was counted, monotonic seconds.
    """

    losses: int
    last_lost_at: float


class LeavingRecorder(Protocol):
    """Records evidence that servers are leaving."""

    def record_load_report(self, server: str, *, leaving: bool) -> None:
        """Record the leaving state from a server's load report."""
        ...

    def record_refusal(self, server: str) -> None:
        """Record that a server refused a call because it is leaving."""
        ...


class ServerHealthController(Service):
    """
    Polls the servers that this router schedules and avoids those that fail.

    A server is avoided after failed polls or lost connections, for a time
    that doubles with each failure in a row up to a limit.

    :param board: the state of this router.
    :param source: reads the load of a server.
    :param link: messages to and from other routers.
    :param recorder: receives evidence that servers are leaving.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        source: LoadSource,
        link: PeerLink,
        recorder: LeavingRecorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._polled_servers: list[BackendServer] | None = None
        board.members.changed.subscribe(self._invalidate_polled_servers)
        board.configuration.changed.subscribe(self._invalidate_polled_servers)
        self._board = board
        self._source = source
        self._link = link
        self._recorder = recorder
        self._clock = clock
        self._random = standard_random.Random(board.identity.incarnation)
        self._failed_polls: Counter[str] = Counter()
        self._avoidance_counts: Counter[str] = Counter()
        self._connection_losses: dict[str, ConnectionLosses] = {}
        self._helper_tasks: set[asyncio.Task[None]] = set()
        link.subscribe(LoadRequest, self._handle_request)
        link.subscribe(LoadReply, self._handle_reply)

    def report_lost(self, server: str) -> None:
        """Count a connection to a server that was lost or not accepted."""
        now = self._clock()
        known = self._connection_losses.get(server, ConnectionLosses(0, 0.0))
        if now < self._board.server_statuses.get(server).down_until:
            return
        is_consecutive = now - known.last_lost_at <= 2 * MAX_AVOIDANCE_SECONDS
        count = known.losses + 1 if is_consecutive else 1
        self._connection_losses[server] = ConnectionLosses(count, now)
        self._avoid(server, count)

    def report_leaving(self, server: str) -> None:
        """Record that a server refused a call because it is leaving."""
        self._recorder.record_refusal(server)

    async def poll(self) -> None:
        """Read the load of each server that this router schedules, once."""
        await asyncio.gather(
            *(self._poll_server(server) for server in self._list_polled_servers())
        )

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.poll()
            await self.sleep(POLL_PERIOD_SECONDS)

    def _list_polled_servers(self) -> list[BackendServer]:
        if self._polled_servers is None:
            self._polled_servers = self._find_polled_servers()
        return self._polled_servers

    def _invalidate_polled_servers(self) -> None:
        self._polled_servers = None

    def _find_polled_servers(self) -> list[BackendServer]:
        configuration = self._board.configuration.current
        if configuration is None:
            return []
        domains = self._board.members.map_failure_domains()
        return [
            server
            for server in configuration.servers.values()
            if choose_scheduler(server, domains) == self._board.identity.host
        ]

    async def _poll_server(self, server: BackendServer) -> None:
        report = await self._source.read_load(server)
        if report is not None:
            self._store_report(server.name, report)
            return
        self._failed_polls[server.name] += 1
        failures = self._failed_polls[server.name]
        if failures >= MAX_FAILED_POLLS:
            self._avoid_unreadable(server.name)
        if failures >= MAX_FAILED_POLLS - 1:
            self._request_helpers(server)

    def _avoid_unreadable(self, server: str) -> None:
        """Avoid a server again only after it has been tried for a while."""
        trial_started_at = self._board.server_statuses.get(server).down_until
        if self._clock() >= trial_started_at + TRIAL_SECONDS:
            self._avoidance_counts[server] += 1
            self._avoid(server, self._avoidance_counts[server])

    def _store_report(self, server: str, report: LoadReport) -> None:
        if self._failed_polls.pop(server, 0):
            self._avoidance_counts.pop(server, None)
            self._end_avoidance(server)
        status = self._read_own_status(server)._replace(
            running_requests=report.running,
            reported_slots=report.capacity,
            reported_at=self._clock(),
        )
        self._board.server_statuses.put(server, status)
        self._recorder.record_load_report(server, leaving=report.leaving)

    def _read_own_status(self, server: str) -> ServerStatus:
        """
        Return the part of a server's status that this controller writes.

        The leaving state and its version come from the departures section.
        """
        status = self._board.server_statuses.get(server)
        return status._replace(leaving=False, departure_version=0)

    def _avoid(self, server: str, failures: int) -> None:
        until = self._clock() + compute_avoidance_seconds(failures)
        status = self._read_own_status(server)
        if until > status.down_until:
            self._board.server_statuses.put(server, status._replace(down_until=until))

    def _end_avoidance(self, server: str) -> None:
        status = self._read_own_status(server)
        self._board.server_statuses.put(server, status._replace(down_until=0.0))

    def _request_helpers(self, server: BackendServer) -> None:
        own = self._board.identity.host
        domains = self._board.members.map_failure_domains()
        for host in choose_helpers(own, server.failure_domain, domains, self._random):
            self._link.send(host, LoadRequest(server.name))

    def _handle_request(self, delivery: Delivery) -> None:
        configuration = self._board.configuration.current
        name = delivery.message.server
        if configuration is None or name not in configuration.servers:
            return
        if len(self._helper_tasks) >= MAX_CONCURRENT_HELPER_READS:
            return
        server = configuration.servers[name]
        task = asyncio.create_task(self._read_for_peer(server, delivery.address))
        self._helper_tasks.add(task)
        task.add_done_callback(self._helper_tasks.discard)

    async def _read_for_peer(self, server: BackendServer, address: str) -> None:
        report = await self._source.read_load(server)
        if report is not None:
            self._link.send_to(address, LoadReply(server.name, *report))

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: LoadReply = delivery.message
        if reply.server not in {server.name for server in self._list_polled_servers()}:
            return
        report = LoadReport(reply.running, reply.capacity, reply.leaving)
        self._store_report(reply.server, report)
