"""Follows the platform's host list."""

from __future__ import annotations

import random as standard_random
import time
from typing import TYPE_CHECKING, Protocol

from absl import logging
from mode import Service

from sycamorehaven.decisions.revisions import ReadState, plan_listing
from sycamorehaven.decisions.roles import is_reader
from sycamorehaven.transport.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.platform_client import HostList, ListedHost

LEAVING = "leaving"


class ListingReader(Protocol):
    """Takes what the host list says of backend servers."""

    def note_listed(self, listed: Mapping[str, bool]) -> None:
        """Take in, by backend server, whether it is listed as leaving."""
        ...


class HostController(Service):
    """
    Reads the host list: seeds for the membership, leaving backend servers.

    :param board: the state of this router.
    :param hosts: the host list.
    :param notices: takes what it says of backend servers.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        hosts: HostList,
        notices: ListingReader,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._hosts = hosts
        self._notices = notices
        self._clock = clock
        self._random = standard_random.Random(board.identity.incarnation)
        self._reads = ReadState(clock(), jitter=self._random.random())

    async def read(self) -> None:
        """Read the list once and hand on what it says."""
        self._reads = self._reads._replace(
            read_at=self._clock(), jitter=self._random.random()
        )
        try:
            listed = await self._hosts.list_hosts()
        except PlatformUnavailable as error:
            failures = self._reads.failures + 1
            self._reads = self._reads._replace(failures=failures)
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)
            return
        self._reads = self._reads._replace(failures=0)
        self._take_seeds(listed)
        self._notices.note_listed(self._map_servers(listed))

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            members = self._board.members
            now = self._clock()
            heard_at = now if len(members.list()) > 1 else 0.0
            state = self._reads._replace(heard_at=heard_at)
            reads = is_reader(members.own, members.map_domains())
            plan = plan_listing(state, is_reader=reads, now=now)
            if plan.due:
                await self.read()
            else:
                await self.sleep(plan.delay)

    def _take_seeds(self, listed: list[ListedHost]) -> None:
        own = self._board.members.own.address
        self._board.seeds.replace(
            host.address
            for host in listed
            if host.kind == "router" and host.state != LEAVING and host.address != own
        )

    def _map_servers(self, listed: list[ListedHost]) -> dict[str, bool]:
        configuration = self._board.configuration.current
        if configuration is None:
            return {}
        states = {
            key: host.state == LEAVING
            for host in listed
            if host.kind == "server"
            for key in (host.host, host.address)
        }
        found = {
            server.name: states.get(server.address, states.get(server.name))
            for server in configuration.servers.values()
        }
        return {name: leaving for name, leaving in found.items() if leaving is not None}
