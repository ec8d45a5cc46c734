"""Routes, services and limits as the operators publish them."""

from __future__ import annotations

from typing import Literal, NamedTuple

RouteKind = Literal["idempotent", "non_idempotent", "streaming"]


class Split(NamedTuple):
    """
    A service that gets a part of a route's requests.

    :ivar service: name of the service.
    :ivar weight: its part, relative to the other weights of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """
    What holds for requests to one host below one path.

    :ivar name: name of the route.
    :ivar host: host name of the requests.
    :ivar prefix: begin of their paths, with a slash at both ends.
    :ivar kind: what may be repeated.
    :ivar timeout: longest time to an answer, seconds.
    :ivar target: time to an answer that is on time, seconds.
    :ivar longest_pause: pause between two events of a stream that is on time,
        seconds; 0 if none is set.
    :ivar splits: services that serve it.
    :ivar attempts: backend servers to which one request may be sent.
    :ivar priority: rank, 0 is the highest.
    :ivar public: whether no key is asked for.
    :ivar resumable: whether a stream may go on at another server.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    target: float
    longest_pause: float
    splits: tuple[Split, ...]
    attempts: int
    priority: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "idempotent" or (self.streaming and self.resumable)

    @property
    def streaming(self) -> bool:
        """Whether answers are streams of events."""
        return self.kind == "streaming"


class Engine(NamedTuple):
    """
    What the model engines of a service are like.

    :ivar slots: requests that run at once.
    :ivar memory: tokens that fit in the memory of one engine.
    :ivar transfer_rate: tokens a second that an engine copies from another, 0
        if it cannot.
    """

    slots: int
    memory: int
    transfer_rate: float


class RoutedService(NamedTuple):
    """
    A service that routes name.

    :ivar name: name of the service.
    :ivar connections: connections that one server accepts from all callers.
    :ivar engine: what its engines are like, ``None`` for a plain service.
    """

    name: str
    connections: int
    engine: Engine | None


class RequestLimits(NamedTuple):
    """
    What a client may send, and how long it may take.

    :ivar header_bytes: size of all headers.
    :ivar body_bytes: size of the body.
    :ivar header_timeout: seconds for the headers.
    :ivar idle_timeout: seconds that a connection may stay unused.
    :ivar tokens_rate: tokens a second that the engines produce together, 0 if
        unknown.
    """

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float
    tokens_rate: float


class RoutingConfiguration(NamedTuple):
    """
    The newest configuration of the operators.

    :ivar revision: rises with every change that is published.
    :ivar version: the operators' own number.
    :ivar routes: every route.
    :ivar services: services by name.
    :ivar limits: limits of requests.
    :ivar keys: workspace by key; ``None`` if the deployment has no keys.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: RequestLimits
    keys: dict[str, str] | None


class ServerRecord(NamedTuple):
    """
    A backend server as the directory shows it.

    :ivar id: id under which it is registered.
    :ivar started: Unix milliseconds of its start; 0 if unknown.
    :ivar service: service that it serves.
    :ivar address: ``ip:port``.
    :ivar failure_domain: where it stands.
    :ivar slots: requests that it runs at once.
    :ivar draining: whether it takes no new work.
    """

    id: str
    started: int
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool

    @property
    def life(self) -> str:
        """What tells this start of the server from others under its id."""
        return f"{self.id}/{self.started}"


class Snapshot(NamedTuple):
    """
    Everything that the platform publishes, at one moment.

    :ivar revision: of the platform's state; rises with every change.
    :ivar configuration: the operators' configuration, ``None`` if none is
        published or readable.
    :ivar servers: registered backend servers.
    """

    revision: int
    configuration: RoutingConfiguration | None
    servers: tuple[ServerRecord, ...]
