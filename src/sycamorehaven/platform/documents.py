"""
Wire format of the documents in the platform's store.

The attributes carry the names on the wire, in snake case.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

SlotCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
"""Number of requests; a larger one is a mistake of the writer."""
NonNegative = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
"""A duration in seconds or a rate."""
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
"""A time that routers can pass on to each other."""


class WireSplit(msgspec.Struct):
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


class WireRoute(msgspec.Struct, rename="camel"):
    """A route in the operators' configuration."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    # A route names either one service or a split, never both.
    service: str = ""
    split: list[WireSplit] = msgspec.field(default_factory=list)
    priority: int = 0
    public: bool = False
    resumable: bool = False
    # Inter-token latency: the gap between two events of a stream.
    itl_target_ms: float = 0.0


class WireEngine(msgspec.Struct, rename="camel"):
    """Capacity of each model engine of a service."""

    slots: int = 0
    # In tokens, not in bytes.
    kv_capacity: int = 0
    # Size of the cached state of one token, in bytes.
    kv_token_bytes: float = 0.0
    # Bandwidth between two engines, in megabits per second.
    link_mbps: float = 0.0


class WireService(msgspec.Struct, rename="camel"):
    """A service in the operators' configuration."""

    name: str
    # Connections that each server accepts, over all of its callers.
    max_connections: int = 0
    engine: WireEngine | None = None
    cold_start_s: NonNegative = 0.0
    # Requests per second from all routers together.
    cold_per_s: NonNegative = 0.0


class WireLimits(msgspec.Struct, rename="camel"):
    """Limits on the requests of clients."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
    # Rate of all engines together; a generated token counts twice.
    tokens_per_s: float = msgspec.field(default=0.0, name="tokensPerS")


class WireTenant(msgspec.Struct, rename="camel"):
    """A workspace and the keys of its clients."""

    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)


class WireConfiguration(msgspec.Struct):
    """The item ``op/config``: the operators' configuration."""

    version: int
    routes: list[WireRoute]
    services: list[WireService] = msgspec.field(default_factory=list)
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None


class WireServer(msgspec.Struct):
    """An item ``servers/ID``: the registration of a backend server."""

    service: str
    address: str
    zone: str
    slots: SlotCount
    state: str
    # Of the server's software; the versions of weights stand elsewhere.
    version: str = ""
    # When the process started, in Unix milliseconds; distinguishes two
    # processes with the same id.
    born: UnixMilliseconds = 0
    # How long the server stays cold. It is decoded apart from the rest, since
    # a malformed value must not hide the server.
    cold_remaining_ms: msgspec.Raw = msgspec.field(
        default=msgspec.Raw(b"0"), name="coldRemainingMs"
    )


class WireItem(msgspec.Struct):
    """An item of the store."""

    key: str
    # The bytes of the item, in standard base64 on the wire.
    value: bytes
    # Revision of the last change of this item, not of the whole store.
    revision: int


class WirePage(msgspec.Struct, rename="camel"):
    """A page of a listing of items."""

    entries: list[WireItem]
    # Revision of the whole store when the page was read.
    at: int
    has_more: bool = False
