"""Remembers with other routers at which servers streams began."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.controllers.peer_lookups import PeerLookup
from sycamorehaven.controllers.software_versions import SoftwareVersionExchange
from sycamorehaven.decisions.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    choose_origin_holders,
    compute_stream_key,
    list_possible_holders,
)
from sycamorehaven.exceptions.refusals import StreamOriginUnknown
from sycamorehaven.transport.messages.streams import (
    StartedStream,
    StreamOriginNotice,
    StreamOriginReply,
    StreamOriginRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.routing.model import ServerRecord
    from sycamorehaven.routing.requests import RequestHead, RoutedRequest
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

MAX_STREAMS_PER_NOTICE = 1_024
"""Number of streams in one message."""


class StreamOriginExchange:
    """
    Records where streams began and finds where a stream may go on.

    Other routers are told only of streams that could go on at the wrong
    servers: those of services that may have had several software versions, and
    of routes that share their requests between services.

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
        self._own_streams = StreamOrigins()
        self._held_streams = StreamOrigins()
        self._lookups: dict[int, PeerLookup[StreamOrigin]] = {}
        self._versions = SoftwareVersionExchange(board, link, clock)
        self._unsettled_services: set[str] = set()
        self._shared_services: set[str] = set()
        self._holder_hosts = self._map_holder_hosts()
        link.subscribe(StreamOriginNotice, self._handle_notice)
        link.subscribe(StreamOriginRequest, self._handle_request)
        link.subscribe(StreamOriginReply, self._handle_reply)
        board.routing.changed.subscribe(self._handle_routing_change)

    def record_start(self, request: RoutedRequest, server: ServerRecord) -> None:
        """Record the server whose first event the client is about to get."""
        key = compute_stream_key(_find_first_attempt(request.head))
        origin = StreamOrigin(server.service, server.software_version)
        self._own_streams.record(key, origin, self._clock())
        if self._is_unsettled(origin.service):
            self._tell_unsettled_services()
        is_shared = len(request.route.weighted_services) > 1
        if is_shared:
            self._shared_services.add(origin.service)
        if is_shared or origin.service in self._unsettled_services:
            self._send_notices([(key, origin)])

    def record_end(self, request: RoutedRequest) -> None:
        """Forget a stream that has been passed on completely."""
        self._own_streams.remove(compute_stream_key(_find_first_attempt(request.head)))

    async def find(self, request: RoutedRequest) -> StreamOrigin | None:
        """
        Return where the stream that a client takes up began.

        :returns: ``None`` if the stream may go on at any server.
        :raises StreamOriginUnknown: if it may not, and nobody knows where it
            began.
        """
        key = compute_stream_key(_find_first_attempt(request.head))
        if origin := self._find_known(key):
            return origin
        versions, now = self._board.routing.software_versions, self._clock()
        services = {part.service for part in request.route.weighted_services}
        # A stream began before its client takes it up. So an observation of
        # the servers since then covers the version at which it began.
        is_covered = versions.is_observed_since(request.received_at)
        if (
            is_covered
            and len(services) == 1
            and versions.is_settled(request.service, now)
        ):
            return None
        if origin := await self._ask_routers(key):
            return origin
        possible = await self._versions.list_possible_origins(
            key, services, request.received_at
        )
        if possible is None:
            raise StreamOriginUnknown(
                "no router knows where the stream began or has seen all software"
                " versions that may have served it"
            )
        if len(possible) > 1:
            raise StreamOriginUnknown(
                f"no router knows which of {len(possible)} software versions began"
                " the stream"
            )
        return None

    def _find_known(self, key: int) -> StreamOrigin | None:
        now = self._clock()
        return self._own_streams.find(key, now) or self._held_streams.find(key, now)

    async def _ask_routers(self, key: int) -> StreamOrigin | None:
        lookup = self._lookups.get(key)
        if lookup is None:
            domains = self._board.members.map_failure_domains()
            hosts = set(list_possible_holders(key, domains))
            lookup = PeerLookup(hosts - {self._board.members.own.host})
            self._lookups[key] = lookup
        request = StreamOriginRequest(key)
        try:
            await lookup.ask(lambda host: self._link.send(host, request))
        finally:
            self._lookups.pop(key, None)
        return lookup.result

    def _send_notices(self, streams: Iterable[tuple[int, StreamOrigin]]) -> None:
        domains = self._board.members.map_failure_domains()
        own = self._board.members.own.host
        by_host: dict[str, list[StartedStream]] = {}
        for key, origin in streams:
            for host in choose_origin_holders(key, own, domains):
                by_host.setdefault(host, []).append(StartedStream(key, *origin))
        for host, started in by_host.items():
            for first in range(0, len(started), MAX_STREAMS_PER_NOTICE):
                part = started[first : first + MAX_STREAMS_PER_NOTICE]
                self._link.send(host, StreamOriginNotice(part))

    def _is_unsettled(self, service: str) -> bool:
        versions = self._board.routing.software_versions
        return not versions.is_settled(service, self._clock())

    def _map_holder_hosts(self) -> dict[str, int]:
        """Return the incarnation of each host that may remember streams."""
        return {
            member.host: member.incarnation
            for member in self._board.members.list()
            if member.state != "leaving"
        }

    def _handle_routing_change(self) -> None:
        self._tell_unsettled_services()
        hosts = self._map_holder_hosts()
        if hosts == self._holder_hosts:
            return
        # What a router that ended has held must be held by another one.
        self._holder_hosts = hosts
        for service in self._unsettled_services | self._shared_services:
            streams = self._own_streams.list_for_service(service, self._clock())
            self._send_notices(streams)

    def _tell_unsettled_services(self) -> None:
        """Tell of the streams of services that may have several versions."""
        services = {server.service for server in self._board.routing.list_servers()}
        unsettled = {service for service in services if self._is_unsettled(service)}
        for service in unsettled - self._unsettled_services:
            streams = self._own_streams.list_for_service(service, self._clock())
            self._send_notices(streams)
        self._unsettled_services = unsettled

    def _handle_notice(self, delivery: Delivery) -> None:
        notice: StreamOriginNotice = delivery.message
        for stream in notice.streams:
            origin = StreamOrigin(stream.service, stream.version)
            self._held_streams.record(stream.key, origin, self._clock())

    def _handle_request(self, delivery: Delivery) -> None:
        request: StreamOriginRequest = delivery.message
        origin = self._find_known(request.key)
        stream = StartedStream(request.key, *origin) if origin else None
        self._link.send_to(delivery.address, StreamOriginReply(request.key, stream))

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: StreamOriginReply = delivery.message
        if lookup := self._lookups.get(reply.key):
            stream = reply.stream
            origin = StreamOrigin(stream.service, stream.version) if stream else None
            lookup.add_reply(delivery.sender.host, origin)


def _find_first_attempt(head: RequestHead) -> str:
    """Return the id of the attempt that brings a stream's first event."""
    if head.last_event_id is None:
        return head.attempt_id
    return head.resumed_attempt_id
