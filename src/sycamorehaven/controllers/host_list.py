"""Reads the platform's host list: router addresses and leaving servers."""

from __future__ import annotations

import random as standard_random
import time
from typing import TYPE_CHECKING, Protocol

from absl import logging
from mode import Service

from sycamorehaven.decisions.configuration_polling import ReadState, plan_host_list_read
from sycamorehaven.decisions.roles import is_configuration_reader
from sycamorehaven.transport.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.platform_client import HostList, ListedHost

LEAVING_STATE = "leaving"
"""State of a listed host that takes no new work."""


class ServerListingRecorder(Protocol):
    """Records the state of backend servers in the host list."""

    def record_listing(self, listed: Mapping[str, bool]) -> None:
        """Record whether each backend server is listed as leaving."""
        ...


class HostListController(Service):
    """
    Reads the host list at intervals.

    The addresses of the routers listed become seeds of the membership
    protocol; the states of the backend servers go to the recorder.

    :param board: the state of this router.
    :param host_list: client of the platform's host list.
    :param recorder: receives the states of the backend servers.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        host_list: HostList,
        recorder: ServerListingRecorder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._host_list = host_list
        self._recorder = recorder
        self._clock = clock
        self._random = standard_random.Random(board.identity.incarnation)
        self._read_state = ReadState(clock(), jitter=self._random.random())

    async def read_list(self) -> None:
        """Read the list once; update the seeds and the states of servers."""
        self._read_state = self._read_state._replace(
            read_at=self._clock(), jitter=self._random.random()
        )
        try:
            listed = await self._host_list.list_hosts()
        except PlatformUnavailable as error:
            failures = self._read_state.failure_count + 1
            self._read_state = self._read_state._replace(failure_count=failures)
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)
            return
        self._read_state = self._read_state._replace(failure_count=0)
        self._update_seeds(listed)
        self._recorder.record_listing(self._map_leaving_servers(listed))

    @Service.task
    async def _read_periodically(self) -> None:
        while not self.should_stop:
            members = self._board.members
            now = self._clock()
            peer_heard_at = now if len(members.list()) > 1 else 0.0
            state = self._read_state._replace(peer_heard_at=peer_heard_at)
            reads_list = is_configuration_reader(
                members.own, members.map_failure_domains()
            )
            plan = plan_host_list_read(state, is_reader=reads_list, now=now)
            if plan.is_due:
                await self.read_list()
            else:
                await self.sleep(plan.delay_seconds)

    def _update_seeds(self, listed: list[ListedHost]) -> None:
        own = self._board.members.own.address
        self._board.seeds.replace(
            host.address
            for host in listed
            if host.kind == "router"
            and host.state != LEAVING_STATE
            and host.address != own
        )

    def _map_leaving_servers(self, listed: list[ListedHost]) -> dict[str, bool]:
        """
        Return whether each configured server that is listed is leaving.

        A server is looked up by its address first and by its name second.
        """
        configuration = self._board.configuration.current
        if configuration is None:
            return {}
        leaving_by_key = {
            key: host.state == LEAVING_STATE
            for host in listed
            if host.kind == "server"
            for key in (host.host, host.address)
        }
        leaving_by_server = {
            server.name: leaving_by_key.get(
                server.address, leaving_by_key.get(server.name)
            )
            for server in configuration.servers.values()
        }
        return {
            name: leaving
            for name, leaving in leaving_by_server.items()
            if leaving is not None
        }
