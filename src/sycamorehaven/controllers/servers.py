"""Learns the state of backend servers from their reports and peers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple, Protocol

import aiohttp
import msgspec
from mode import Service

from sycamorehaven.decisions.roles import choose_scheduler

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import BackendServer

POLL_PERIOD = 0.5
"""Seconds between two reads of a server's load."""
POLL_TIMEOUT = 1.0


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


class LoadSource(Protocol):
    """Reads the load of backend servers."""

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return a server's report, ``None`` if it gives none."""
        ...


class HttpLoadSource:
    """``GET /load`` answers a JSON object with the fields of LoadReport."""

    def __init__(self) -> None:
        self._client: aiohttp.ClientSession | None = None

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return a server's report, ``None`` if it gives none."""
        if self._client is None:
            timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT)
            self._client = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self._client.get(f"http://{server.address}/load") as response:
                body = msgspec.json.decode(await response.read())
                return LoadReport(body["running"], body["capacity"], body["leaving"])
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
            KeyError,
            TypeError,
        ):
            return None

    async def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.close()


class ServerController(Service):
    """
    Polls the servers that this router schedules.

    :param board: the state of this router.
    :param source: reads loads.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        source: LoadSource,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._source = source
        self._clock = clock

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            await asyncio.gather(*(self._read(s) for s in self._list_own()))
            await self.sleep(POLL_PERIOD)

    def _list_own(self) -> list[BackendServer]:
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
        if report is None:
            return
        status = self._board.servers.get(server.name)._replace(
            running=report.running,
            capacity=report.capacity,
            leaving=report.leaving,
            reported_at=self._clock(),
        )
        self._board.servers.put(server.name, status)
