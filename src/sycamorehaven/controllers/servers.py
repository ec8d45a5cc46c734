"""Learns the state of backend servers from their reports and peers."""

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
    LONGEST_AVOIDANCE,
    MOST_FAILED_POLLS,
    TRIAL,
    choose_helpers,
    compute_avoidance,
)
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.transport.messages.servers import LoadReply, LoadRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.servers import ServerStatus
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

POLL_PERIOD = 0.5
"""Seconds between two reads of a server's load."""
POLL_TIMEOUT = 1.0
"""Seconds for one read of a load."""
LARGEST_REPORT = 65_536
"""Largest report that is read, bytes."""
MOST_HELPED = 16
"""Loads read at once for other routers."""


WITHOUT_REPORT = (404, 405, 501)
"""Answers of a server that lives and gives no report of its load."""


class LoadReport(NamedTuple):
    """
    A server's report of its load.

    :ivar running: requests that run.
    :ivar capacity: requests that it can run at once.
    :ivar leaving: whether it takes no new work.
    """

    running: int
    capacity: int
    leaving: bool


class LoadBody(TypedDict):
    """The JSON object that a server answers; other members are ignored."""

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
    ``GET /load`` answers a JSON object with the fields of LoadReport.

    A server that lives but knows no such path reports nothing: capacity 0.
    """

    def __init__(self) -> None:
        self._client: aiohttp.ClientSession | None = None

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return a server's report, ``None`` if it gives none."""
        if self._client is None:
            timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT)
            self._client = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self._client.get(f"http://{server.address}/load") as response:
                if response.status in WITHOUT_REPORT:
                    return LoadReport(0, 0, leaving=False)
                if response.status != 200:
                    return None
                body = await response.content.read(LARGEST_REPORT)
                return LoadReport(**msgspec.json.decode(body, type=LoadBody))
        except (TimeoutError, aiohttp.ClientError, OSError, msgspec.MsgspecError):
            return None

    async def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.close()


class Losses(NamedTuple):
    """
    Connections to a server that this edge lost in a row.

    :ivar losses: how many, those within one avoidance counted once.
    :ivar last_at: when the last was lost, monotonic seconds.
    """

    losses: int
    last_at: float


class NewsTaker(Protocol):
    """Takes what is seen of servers that leave."""

    def note_report(self, server: str, *, leaving: bool) -> None:
        """Take in what a server's load report says."""
        ...

    def note_refusal(self, server: str) -> None:
        """Take in that a server refused a call because it is leaving."""
        ...


class ServerController(Service):
    """
    Polls the servers that this router schedules, and notes failed attempts.

    :param board: the state of this router.
    :param source: reads loads.
    :param link: connection to other routers.
    :param notices: takes what is seen of servers that leave.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        source: LoadSource,
        link: PeerLink,
        notices: NewsTaker,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._own: list[BackendServer] | None = None
        board.members.changed.subscribe(self._forget_own)
        board.configuration.changed.subscribe(self._forget_own)
        self._board = board
        self._source = source
        self._link = link
        self._notices = notices
        self._clock = clock
        self._random = standard_random.Random(board.identity.incarnation)
        self._failed_polls: Counter[str] = Counter()
        self._avoidances: Counter[str] = Counter()
        self._losses: dict[str, Losses] = {}
        self._helping: set[asyncio.Task[None]] = set()
        link.subscribe(LoadRequest, self._take_request)
        link.subscribe(LoadReply, self._take_reply)

    def report_lost(self, server: str) -> None:
        """Note that a server broke a connection of this edge or took none."""
        now = self._clock()
        known = self._losses.get(server, Losses(0, 0.0))
        if now < self._board.servers.get(server).down_until:
            return
        fresh = now - known.last_at <= 2 * LONGEST_AVOIDANCE
        count = known.losses + 1 if fresh else 1
        self._losses[server] = Losses(count, now)
        self._avoid(server, count)

    def report_leaving(self, server: str) -> None:
        """Note that a server refused a call because it is leaving."""
        self._notices.note_refusal(server)

    async def poll(self) -> None:
        """Read the load of each server that this router schedules."""
        await asyncio.gather(*(self._read(server) for server in self._list_own()))

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self.poll()
            await self.sleep(POLL_PERIOD)

    def _list_own(self) -> list[BackendServer]:
        if self._own is None:
            self._own = self._find_own()
        return self._own

    def _forget_own(self) -> None:
        self._own = None

    def _find_own(self) -> list[BackendServer]:
        configuration = self._board.configuration.current
        if configuration is None:
            return []
        domains = self._board.members.map_domains()
        return [
            server
            for server in configuration.servers.values()
            if choose_scheduler(server, domains) == self._board.identity.host
        ]

    async def _read(self, server: BackendServer) -> None:
        report = await self._source.read_load(server)
        if report is not None:
            self._take_report(server.name, report)
            return
        self._failed_polls[server.name] += 1
        failures = self._failed_polls[server.name]
        if failures >= MOST_FAILED_POLLS:
            self._avoid_unread(server.name)
        if failures >= MOST_FAILED_POLLS - 1:
            self._ask_helpers(server)

    def _avoid_unread(self, server: str) -> None:
        """Avoid a server again only after it has been tried for a while."""
        tried_from = self._board.servers.get(server).down_until
        if self._clock() >= tried_from + TRIAL:
            self._avoidances[server] += 1
            self._avoid(server, self._avoidances[server])

    def _take_report(self, server: str, report: LoadReport) -> None:
        if self._failed_polls.pop(server, 0):
            self._avoidances.pop(server, None)
            self._trust(server)
        status = self._find_status(server)._replace(
            running=report.running,
            capacity=report.capacity,
            reported_at=self._clock(),
        )
        self._board.servers.put(server, status)
        self._notices.note_report(server, leaving=report.leaving)

    def _find_status(self, server: str) -> ServerStatus:
        """Return what is this controller's to write of a status."""
        status = self._board.servers.get(server)
        return status._replace(leaving=False, version=0)

    def _avoid(self, server: str, failures: int) -> None:
        until = self._clock() + compute_avoidance(failures)
        status = self._find_status(server)
        if until > status.down_until:
            self._board.servers.put(server, status._replace(down_until=until))

    def _trust(self, server: str) -> None:
        status = self._find_status(server)
        self._board.servers.put(server, status._replace(down_until=0.0))

    def _ask_helpers(self, server: BackendServer) -> None:
        own = self._board.identity.host
        domains = self._board.members.map_domains()
        for host in choose_helpers(own, server.failure_domain, domains, self._random):
            self._link.send(host, LoadRequest(server.name))

    def _take_request(self, delivery: Delivery) -> None:
        configuration = self._board.configuration.current
        name = delivery.message.server
        if configuration is None or name not in configuration.servers:
            return
        if len(self._helping) >= MOST_HELPED:
            return
        server = configuration.servers[name]
        task = asyncio.create_task(self._help(server, delivery.address))
        self._helping.add(task)
        task.add_done_callback(self._helping.discard)

    async def _help(self, server: BackendServer, address: str) -> None:
        report = await self._source.read_load(server)
        if report is not None:
            self._link.send_to(address, LoadReply(server.name, *report))

    def _take_reply(self, delivery: Delivery) -> None:
        reply: LoadReply = delivery.message
        if reply.server not in {server.name for server in self._list_own()}:
            return
        report = LoadReport(reply.running, reply.capacity, reply.leaving)
        self._take_report(reply.server, report)
