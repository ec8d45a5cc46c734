"""Remembers with other routers at which servers streams began."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Protocol

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

REPLY_TIMEOUT_SECONDS = 0.1
"""Time for the replies of other routers; many round trips between domains."""
MAX_REQUEST_ROUNDS = 2
"""Number of times that a router that does not reply is asked."""
MAX_STREAMS_PER_NOTICE = 1_024
"""Number of streams in one message."""
MAX_ASKED_ENGINES = 16
"""Number of engines of a service up to which they are asked for a prompt."""
OBSERVATION_WAIT_SECONDS = 1.0
"""Longest time for which a stream that nobody remembers waits until the list
of servers has been read since; routers read it every 0.6 s, and clients wait
two seconds for an event."""


class PromptCacheSource(Protocol):
    """Tells which parts of prompts engines keep."""

    async def list_parts(self, server: ServerRecord) -> frozenset[str]:
        """
        Return the keys of the parts that an engine keeps.

        :returns: nothing if the engine does not say.
        """
        ...


class OriginLookup:
    """
    A question to other routers that has not been answered.

    :param hosts: hosts that are asked.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self._unanswered = set(hosts)
        self._is_unheard = bool(self._unanswered)
        self._origin: StreamOrigin | None = None
        self._is_decided = asyncio.Event()
        self._set_if_decided()

    @property
    def unanswered(self) -> set[str]:
        """Hosts that have not replied."""
        return self._unanswered

    @property
    def is_unheard(self) -> bool:
        """Whether routers were asked and none of them has replied."""
        return self._is_unheard

    @property
    def origin(self) -> StreamOrigin | None:
        """The origin, ``None`` until a router has told it."""
        return self._origin

    def add_reply(self, host: str, origin: StreamOrigin | None) -> None:
        """Record the reply of a host."""
        self._unanswered.discard(host)
        self._is_unheard = False
        self._origin = origin or self._origin
        self._set_if_decided()

    async def wait(self, timeout: float) -> bool:
        """Return whether the lookup was decided within a time in seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._is_decided.wait()
        return self._is_decided.is_set()

    def _set_if_decided(self) -> None:
        if self._origin or not self._unanswered:
            self._is_decided.set()


class StreamOriginExchange:
    """
    Records where streams began and finds where a stream may go on.

    Other routers are told only of streams that could go on at the wrong
    servers: those of services with several software versions, and of routes
    that share their requests between services.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param clock: returns monotonic time in seconds.
    :param prompt_caches: tells which engine has read the prompt of a stream;
        ``None`` if nothing does.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float],
        prompt_caches: PromptCacheSource | None = None,
    ) -> None:
        self._board = board
        self._link = link
        self._clock = clock
        self._prompt_caches = prompt_caches
        self._own_streams = StreamOrigins()
        self._held_streams = StreamOrigins()
        self._lookups: dict[int, OriginLookup] = {}
        self._mixed_services: set[str] = set()
        link.subscribe(StreamOriginNotice, self._handle_notice)
        link.subscribe(StreamOriginRequest, self._handle_request)
        link.subscribe(StreamOriginReply, self._handle_reply)
        board.routing.changed.subscribe(self._handle_routing_change)

    def record_start(self, request: RoutedRequest, server: ServerRecord) -> None:
        """Record the server whose first event the client is about to get."""
        key = compute_stream_key(_find_first_attempt(request.head))
        origin = StreamOrigin(server.service, server.software_version)
        self._own_streams.record(key, origin, self._clock())
        is_shared = len(request.route.weighted_services) > 1
        if is_shared or origin.service in self._mixed_services:
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
        versions, now = self._board.routing.software_versions, self._clock()
        origin = self._find_known(key)
        is_shared = len(request.route.weighted_services) > 1
        # A stream began before its client takes it up. So an observation of
        # the servers since then covers the version at which it began.
        is_covered = versions.is_observed_since(request.received_at)
        is_settled = is_covered and versions.is_settled(request.service, now)
        if origin or (is_settled and not is_shared):
            return origin
        lookup = await self._ask_routers(key)
        if lookup.origin is not None:
            return lookup.origin
        is_covered = await self._wait_for_observation(request.received_at)
        now = self._clock()
        if self._is_engine_asked(request, now):
            return await self._find_at_engines(request, key)
        if len(versions.list_recent(request.service, now)) > 1:
            raise StreamOriginUnknown(
                "servers of several software versions serve, and no router knows"
                " which of them began the stream"
            )
        if lookup.is_unheard and not (is_covered and versions.is_current(now)):
            raise StreamOriginUnknown(
                "the router reaches neither the platform nor another router that"
                " may know which software version began the stream"
            )
        return None

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

    def _is_engine_asked(self, request: RoutedRequest, now: float) -> bool:
        """
        Return whether the prompt of a stream tells where it began.

        It has to if several versions may have served since the stream began,
        of which a router that started later may see only the newest.
        """
        configuration = self._board.routing.configuration
        service = configuration.services.get(request.service) if configuration else None
        if (
            self._prompt_caches is None
            or not request.head.prompt_parts
            or service is None
            or service.engine_capacity is None
        ):
            return False
        versions = self._board.routing.software_versions
        return len(
            versions.list_recent(request.service, now)
        ) > 1 or not versions.is_observed_for(request.route.timeout, now)

    async def _find_at_engines(self, request: RoutedRequest, key: int) -> StreamOrigin:
        """
        Return the origin of a stream by the engine that keeps its prompt.

        :raises StreamOriginUnknown: if none does, or engines of several
            versions do.
        """
        assert self._prompt_caches is not None
        services = {part.service for part in request.route.weighted_services}
        servers = [
            server
            for server in self._board.routing.list_servers()
            if server.service in services
            and not self._board.server_conditions.is_shut(server, self._clock())
        ]
        origins: set[StreamOrigin] = set()
        if len(servers) <= MAX_ASKED_ENGINES:
            own_part = request.head.prompt_parts[-1].key
            lists = await asyncio.gather(
                *(self._prompt_caches.list_parts(server) for server in servers)
            )
            origins = {
                StreamOrigin(server.service, server.software_version)
                for server, parts in zip(servers, lists, strict=True)
                if own_part in parts
            }
        if len(origins) != 1:
            raise StreamOriginUnknown(
                "no router knows which software version began the stream, and"
                f" engines of {len(origins)} versions keep its prompt"
            )
        origin = origins.pop()
        self._own_streams.record(key, origin, self._clock())
        return origin

    def _find_known(self, key: int) -> StreamOrigin | None:
        now = self._clock()
        return self._own_streams.find(key, now) or self._held_streams.find(key, now)

    async def _ask_routers(self, key: int) -> OriginLookup:
        lookup = self._lookups.get(key)
        if lookup is None:
            domains = self._board.members.map_failure_domains()
            own = self._board.members.own.host
            hosts = set(list_possible_holders(key, domains)) - {own}
            lookup = self._lookups[key] = OriginLookup(hosts)
        try:
            for _ in range(MAX_REQUEST_ROUNDS):
                for host in sorted(lookup.unanswered):
                    self._link.send(host, StreamOriginRequest(key))
                if await lookup.wait(REPLY_TIMEOUT_SECONDS):
                    break
        finally:
            self._lookups.pop(key, None)
        return lookup

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

    def _handle_routing_change(self) -> None:
        """Tell of the streams of services that have got a second version."""
        routing, now = self._board.routing, self._clock()
        services = {server.service for server in routing.list_servers()}
        mixed = {
            service
            for service in services
            if len(routing.software_versions.list_recent(service, now)) > 1
        }
        for service in mixed - self._mixed_services:
            self._send_notices(self._own_streams.list_for_service(service, now))
        self._mixed_services = mixed

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
