"""Data model of the published routes, services, limits and servers."""

from __future__ import annotations

from typing import Literal, NamedTuple

RouteKind = Literal["idempotent", "non_idempotent", "streaming"]


class WeightedService(NamedTuple):
    """
    A service that receives a share of a route's requests.

    :ivar service: name of the service.
    :ivar weight: its share, relative to the other weights of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """
    Rules for the requests to one host name below one path prefix.

    :ivar name: name of the route.
    :ivar host: host name in the ``Host`` header of the requests.
    :ivar path_prefix: prefix of the request paths, with a slash at both ends.
    :ivar kind: whether requests are idempotent, and whether the response is
        a stream of events.
    :ivar timeout: longest time until the response is complete, in seconds.
    :ivar latency_target: longest time until a response that counts as on
        time, in seconds.
    :ivar event_gap_target: longest gap between two events of a stream that
        counts as on time, in seconds; 0 if the route sets none.
    :ivar weighted_services: the services that share the route's requests.
    :ivar max_attempts: number of backend servers to which one request may be
        sent.
    :ivar priority: priority of the requests; 0 is the highest.
    :ivar public: whether clients need no key.
    :ivar resumable: whether a broken stream may be resumed on another server.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    latency_target: float
    event_gap_target: float
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    priority: int
    public: bool
    resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind == "idempotent" or (self.is_streaming and self.resumable)

    @property
    def is_streaming(self) -> bool:
        """Whether responses are streams of server-sent events."""
        return self.kind == "streaming"


class EngineCapacity(NamedTuple):
    """
    Capacity of each model engine of a service.

    :ivar slots: number of requests that an engine processes concurrently.
    :ivar kv_cache_tokens: tokens that fit in the key-value cache of an engine.
    :ivar transfer_tokens_per_second: rate at which an engine copies cached
        tokens from another engine; 0 if it cannot copy any.
    """

    slots: int
    kv_cache_tokens: int
    transfer_tokens_per_second: float


class RoutedService(NamedTuple):
    """
    A service to which routes send requests.

    :ivar name: name of the service.
    :ivar max_connections: connections that each of its servers accepts, over
        all callers.
    :ivar engine_capacity: capacity of each model engine; ``None`` if the
        service runs none.
    :ivar cold_rate: requests per second from all routers that a cold server
        tolerates; 0 if its servers are never cold.
    :ivar cold_start: seconds for which a server is cold after it has started.
    """

    name: str
    max_connections: int
    engine_capacity: EngineCapacity | None
    cold_rate: float = 0.0
    cold_start: float = 0.0


class RequestLimits(NamedTuple):
    """
    Limits on the size and the duration of client requests.

    :ivar max_header_bytes: largest size of all headers together, in bytes.
    :ivar max_body_bytes: largest size of the body, in bytes.
    :ivar header_timeout: seconds within which all headers must arrive.
    :ivar idle_timeout: seconds for which a connection may stay idle.
    :ivar tokens_per_second: token rate of all engines together, where a
        generated token counts twice; 0 if unknown.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float
    tokens_per_second: float


class RoutingConfiguration(NamedTuple):
    """
    The configuration that the operators have published.

    :ivar revision: revision of the store's item, which rises with every
        published change.
    :ivar version: version number that the operators gave it.
    :ivar routes: all routes.
    :ivar services: all services by name.
    :ivar limits: limits on client requests.
    :ivar workspaces_by_key: name of the workspace by client key; ``None`` if
        the deployment uses no keys.
    :ivar era: the store's era when the item was read.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: RequestLimits
    workspaces_by_key: dict[str, str] | None
    era: int = 0

    def has_plain_servers(self, service: str) -> bool:
        """Return whether a service is published and runs no engines."""
        known = self.services.get(service)
        return known is not None and known.engine_capacity is None

    def replaces(self, previous: RoutingConfiguration) -> bool:
        """
        Return whether this configuration is newer than another one.

        Revisions are compared within an era. A store that was restored from an
        older copy may hold an older version until the operators write the
        newest one again.
        """
        if self.era == previous.era:
            return self.revision > previous.revision
        return self.era > previous.era and self.version >= previous.version


class ServerRecord(NamedTuple):
    """
    A backend server as it is registered in the platform's store.

    :ivar id: id under which the server is registered.
    :ivar started_at_ms: when its process started, in Unix milliseconds; 0 if
        unknown.
    :ivar service: name of the service that it serves.
    :ivar address: its address, ``ip:port``.
    :ivar failure_domain: failure domain of its host.
    :ivar slots: number of requests that it processes concurrently.
    :ivar draining: whether it accepts no new work.
    :ivar software_version: version of its software, not of its weights; "" if
        unknown.
    """

    id: str
    started_at_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    software_version: str = ""

    @property
    def incarnation_id(self) -> str:
        """Id that distinguishes this process from others with the same id."""
        return f"{self.id}/{self.started_at_ms}"


class ColdServer(NamedTuple):
    """
    A backend server whose entry says that it is cold.

    :ivar incarnation_id: the server's incarnation.
    :ivar seconds: how long it stays cold after the entry was written.
    :ivar revision: revision of the entry's last change. An unchanged entry
        does not say that the server is cold for longer.
    """

    incarnation_id: str
    seconds: float
    revision: int


class Evacuation(NamedTuple):
    """
    An order to send nothing to the servers of a failure domain.

    :ivar domain: the failure domain.
    :ivar revision: revision of the last change of the item that orders it.
    """

    domain: str
    revision: int


class Snapshot(NamedTuple):
    """
    What the platform published, pieced together from several pages.

    :ivar revision: revision of the whole store, which rises with every change.
        Every part has all changes up to it, some parts may have newer ones.
    :ivar configuration: the operators' configuration; ``None`` if none is
        published or none could be decoded.
    :ivar servers: the registered backend servers.
    :ivar era: number of times that the store was restored from an older copy
        of itself. Revisions go back each time.
    :ivar servers_revision: the same as ``revision`` for the servers alone; 0
        if it is not newer.
    :ivar cold_servers: the servers that are cold by their entries.
    :ivar evacuations: the failure domains to whose servers nothing may be
        sent, in order.
    :ivar operator_revision: the same as ``revision`` for the operators' items
        alone; 0 if it is not newer.
    """

    revision: int
    configuration: RoutingConfiguration | None
    servers: tuple[ServerRecord, ...]
    era: int = 0
    servers_revision: int = 0
    cold_servers: tuple[ColdServer, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    operator_revision: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision, which together only rise."""
        return self.era, self.revision

    @property
    def servers_position(self) -> tuple[int, int]:
        """Era and revision up to which the servers are known."""
        return self.era, max(self.servers_revision, self.revision)

    @property
    def operator_position(self) -> tuple[int, int]:
        """Era and revision up to which the evacuations are known."""
        return self.era, max(self.operator_revision, self.revision)

    @property
    def evacuated_domains(self) -> tuple[str, ...]:
        """The failure domains to whose servers nothing may be sent."""
        return tuple(evacuation.domain for evacuation in self.evacuations)
