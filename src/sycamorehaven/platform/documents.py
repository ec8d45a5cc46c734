"""Documents of the platform's store as they lie on the wire."""

from __future__ import annotations

import msgspec


class WireSplit(msgspec.Struct):
    """A part of a route's traffic."""

    service: str
    weight: float


class WireRoute(msgspec.Struct, rename="camel"):
    """A route of the operators' configuration."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    # A route names one service or a split, never both.
    service: str = ""
    split: list[WireSplit] = msgspec.field(default_factory=list)
    priority: int = 0
    public: bool = False
    resumable: bool = False
    itl_target_ms: float = 0.0


class WireEngine(msgspec.Struct, rename="camel"):
    """What the model engines of a service are like."""

    slots: int = 0
    # Tokens, not bytes.
    kv_capacity: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class WireService(msgspec.Struct, rename="camel"):
    """A service of the operators' configuration."""

    name: str
    # The cap of one server for all of its callers.
    max_connections: int = 0
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct, rename="camel"):
    """Limits of what clients may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
    # Of all engines together; a generated token counts twice.
    tokens_per_s: float = msgspec.field(default=0.0, name="tokensPerS")


class WireTenant(msgspec.Struct, rename="camel"):
    """A workspace with its keys."""

    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)


class WireConfiguration(msgspec.Struct):
    """The item ``op/config``."""

    version: int
    routes: list[WireRoute]
    services: list[WireService] = msgspec.field(default_factory=list)
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None


class WireServer(msgspec.Struct):
    """An item ``servers/ID``: what a backend server says of itself."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Unix milliseconds of the start; tells two lives under one id apart.
    born: int = 0


class WireItem(msgspec.Struct):
    """An item of the store."""

    key: str
    # Standard base64 of the item's bytes.
    value: bytes
    # Of the item's last change, not of the store.
    revision: int


class WirePage(msgspec.Struct, rename="camel"):
    """A page of items."""

    entries: list[WireItem]
    # Revision of the whole store when the page was read.
    at: int
    has_more: bool = False
