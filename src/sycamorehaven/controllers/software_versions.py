"""Finds with other routers which software versions can have begun a stream."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from sycamorehaven.controllers.peer_lookups import PeerLookup
from sycamorehaven.decisions.stream_origins import StreamOrigin, list_possible_holders
from sycamorehaven.transport.messages.streams import (
    SoftwareVersionReply,
    SoftwareVersionRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

OBSERVATION_WAIT_SECONDS = 1.0
"""Longest time for which a stream that nobody remembers waits until the list
of servers has been read since; routers read it every 0.6 s, and clients wait
two seconds for an event."""


class SoftwareVersionExchange:
    """
    Tells which software versions have served, and asks other routers for it.

    A router that has started shortly before sees only the versions that are
    left. One that has watched the list of servers for longer knows the others.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self, board: Blackboard, link: PeerLink, clock: Callable[[], float]
    ) -> None:
        self._board = board
        self._link = link
        self._clock = clock
        self._lookups: dict[int, PeerLookup[frozenset[StreamOrigin]]] = {}
        link.subscribe(SoftwareVersionRequest, self._handle_request)
        link.subscribe(SoftwareVersionReply, self._handle_reply)

    async def list_possible_origins(
        self, key: int, services: Iterable[str], since: float
    ) -> frozenset[StreamOrigin] | None:
        """
        Return every origin that a stream can have.

        :param key: key of the stream.
        :param services: services at which it may have begun.
        :param since: when a client took it up, in monotonic seconds. The
            stream began before.
        :returns: ``None`` if a version may have served that nobody has seen.
        """
        services = sorted(services)
        versions = self._board.routing.software_versions
        if not await self._wait_for_observation(since):
            return None
        if versions.is_complete(self._clock()):
            return self._list_recent(services)
        others = await self._ask_routers(key, services)
        return None if others is None else others | self._list_recent(services)

    async def _wait_for_observation(self, since: float) -> bool:
        """
        Wait until the servers have been observed since a time.

        :returns: whether they have been before the wait ended.
        """
        routing = self._board.routing
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OBSERVATION_WAIT_SECONDS):
                while not routing.software_versions.is_observed_since(since):
                    await routing.changed.wait()
        return routing.software_versions.is_observed_since(since)

    async def _ask_routers(
        self, key: int, services: list[str]
    ) -> frozenset[StreamOrigin] | None:
        lookup = self._lookups.get(key)
        if lookup is None:
            domains = self._board.members.map_failure_domains()
            hosts = set(list_possible_holders(key, domains))
            lookup = PeerLookup(hosts - {self._board.members.own.host})
            self._lookups[key] = lookup
        request = SoftwareVersionRequest(key, services)
        try:
            await lookup.ask(lambda host: self._link.send(host, request))
        finally:
            self._lookups.pop(key, None)
        return lookup.result

    def _list_recent(self, services: Iterable[str]) -> frozenset[StreamOrigin]:
        versions, now = self._board.routing.software_versions, self._clock()
        return frozenset(
            StreamOrigin(service, version)
            for service in services
            for version in versions.list_recent(service, now)
        )

    def _handle_request(self, delivery: Delivery) -> None:
        request: SoftwareVersionRequest = delivery.message
        origins: list[tuple[str, str]] | None = None
        if self._board.routing.software_versions.is_complete(self._clock()):
            origins = list(self._list_recent(request.services))
        self._link.send_to(delivery.address, SoftwareVersionReply(request.key, origins))

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: SoftwareVersionReply = delivery.message
        if lookup := self._lookups.get(reply.key):
            origins = None
            if reply.origins is not None:
                origins = frozenset(StreamOrigin(*each) for each in reply.origins)
            lookup.add_reply(delivery.sender.host, origins)
