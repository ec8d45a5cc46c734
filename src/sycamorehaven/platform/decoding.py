"""Decodes items of the platform's store into the project's own types."""

from __future__ import annotations

import ipaddress
import math
from typing import TYPE_CHECKING, Annotated, NamedTuple, cast

import msgspec

from sycamorehaven.platform.documents import (
    WireConfiguration,
    WireEngine,
    WireItem,
    WireRoute,
    WireServer,
)
from sycamorehaven.routing.model import (
    ColdServer,
    EngineCapacity,
    Evacuation,
    RequestLimits,
    Route,
    RoutedService,
    RoutingConfiguration,
    ServerRecord,
    WeightedService,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.model import RouteKind

MAX_PORT = 65_535
"""Largest TCP port."""
MAX_PORT_DIGITS = 5
"""Digits of the largest port."""
ROUTE_KINDS = ("idempotent", "non_idempotent", "streaming")
"""Valid values of a route's ``routeType``."""
SERVER_STATES = ("ready", "draining")
"""Valid values of a server's ``state``."""
SERVERS_PREFIX = "servers/"
"""Key prefix of the registered backend servers."""
EVACUATION_PREFIX = "op/evacuate/"
"""Key prefix of the failure domains that operators evacuate."""
MAX_DOMAIN_LENGTH = 256
"""Limit of the name of an evacuated failure domain, which routers pass on."""
MAX_COLD_SECONDS = 3_600.0
"""Longest time for which an entry can say that a server stays cold."""


class DecodedServer(NamedTuple):
    """
    An entry of a backend server.

    :ivar record: the server.
    :ivar cold: what the entry says of it being cold; ``None`` if it is not.
    """

    record: ServerRecord
    cold: ColdServer | None


_configuration_decoder = msgspec.json.Decoder(WireConfiguration)
_milliseconds_decoder = msgspec.json.Decoder(
    Annotated[float, msgspec.Meta(ge=0.0, le=MAX_COLD_SECONDS * 1_000)] | None
)
_server_decoder = msgspec.json.Decoder(WireServer)


def decode_configuration(item: WireItem, era: int = 0) -> RoutingConfiguration:
    """
    Decode the operators' configuration.

    :param item: the store's item that holds it.
    :param era: the store's era when the item was read.
    :raises msgspec.MsgspecError: if the item is not a valid configuration.
    :raises RecursionError: if it is nested too deeply to be read.
    """
    wire = _configuration_decoder.decode(item.value)
    workspaces_by_key = None
    if wire.tenants is not None:
        workspaces_by_key = {
            key: tenant.name for tenant in wire.tenants for key in tenant.api_keys
        }
    services = {
        service.name: RoutedService(
            service.name,
            service.max_connections,
            _build_engine_capacity(service.engine) if service.engine else None,
            service.cold_per_s,
            service.cold_start_s,
        )
        for service in wire.services
    }
    limits = RequestLimits(
        wire.limits.max_header_bytes,
        wire.limits.max_body_bytes,
        wire.limits.header_timeout_ms / 1_000,
        wire.limits.idle_timeout_ms / 1_000,
        wire.limits.tokens_per_s,
    )
    routes = tuple(_build_route(route) for route in wire.routes)
    return RoutingConfiguration(
        item.revision, wire.version, routes, services, limits, workspaces_by_key, era
    )


def _build_engine_capacity(wire: WireEngine) -> EngineCapacity:
    bits = wire.kv_token_bytes * 8
    rate = wire.link_mbps * 1e6 / bits if bits else 0.0
    return EngineCapacity(wire.slots, wire.kv_capacity, rate)


def _build_route(wire: WireRoute) -> Route:
    if wire.route_type not in ROUTE_KINDS:
        raise msgspec.ValidationError(
            f"route {wire.name!r} has the unknown type {wire.route_type!r}"
        )
    weighted_services = tuple(
        WeightedService(part.service, part.weight) for part in wire.split
    )
    return Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        kind=cast("RouteKind", wire.route_type),
        timeout=wire.timeout_ms / 1_000,
        latency_target=wire.target_latency_ms / 1_000,
        event_gap_target=wire.itl_target_ms / 1_000,
        weighted_services=weighted_services or (WeightedService(wire.service, 1.0),),
        max_attempts=wire.max_attempts,
        priority=wire.priority,
        public=wire.public,
        resumable=wire.resumable,
    )


def decode_server(item: WireItem) -> DecodedServer | None:
    """Decode a backend server; return ``None`` if the item is invalid."""
    try:
        wire = _server_decoder.decode(item.value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    if wire.state not in SERVER_STATES or not _is_ipv4_endpoint(wire.address):
        return None
    record = ServerRecord(
        id=item.key.removeprefix(SERVERS_PREFIX),
        started_at_ms=wire.born,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        slots=max(wire.slots, 1),
        draining=wire.state == "draining",
        software_version=wire.version,
    )
    seconds = _parse_cold_seconds(wire.cold_remaining_ms)
    if not seconds:
        return DecodedServer(record, None)
    return DecodedServer(
        record, ColdServer(record.incarnation_id, seconds, item.revision)
    )


def decode_evacuations(items: Iterable[WireItem]) -> tuple[Evacuation, ...]:
    """
    Return the failure domains that operators evacuate, in order.

    The values of the items are not looked at: an order counts even if its
    value is malformed.
    """
    evacuations = (
        Evacuation(item.key.removeprefix(EVACUATION_PREFIX), item.revision)
        for item in items
        if item.key.startswith(EVACUATION_PREFIX) and not is_malformed_evacuation(item)
    )
    return tuple(sorted(evacuations))


def is_malformed_evacuation(item: WireItem) -> bool:
    """Return whether an item orders an evacuation without a usable name."""
    name = item.key.removeprefix(EVACUATION_PREFIX)
    return name != item.key and not 0 < len(name) <= MAX_DOMAIN_LENGTH


def _parse_cold_seconds(raw: msgspec.Raw) -> float:
    """
    Return how long a server stays cold.

    :returns: seconds; infinite if the value is malformed.
    """
    try:
        milliseconds = _milliseconds_decoder.decode(raw)
    except (msgspec.MsgspecError, RecursionError):
        return math.inf
    return (milliseconds or 0.0) / 1_000


def _is_ipv4_endpoint(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return (
        port.isascii()
        and port.isdigit()
        and len(port) <= MAX_PORT_DIGITS
        and 0 < int(port) <= MAX_PORT
    )
