"""The settings of one router process, read from a TOML file."""

from __future__ import annotations

import ipaddress
import tomllib
from typing import TYPE_CHECKING, Annotated, Any, NamedTuple, NotRequired, TypedDict

from msgspec import Meta

from sycamorehaven.exceptions.validation import SettingsError, ValidationFault
from sycamorehaven.gateway_settings import GatewaySettings, GatewayTable
from sycamorehaven.table_validation import convert_table, find_unknown_keys

if TYPE_CHECKING:
    from pathlib import Path

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[\w.-]+\Z")]
"""Name of a host, failure domain, workspace or service."""
Address = Annotated[str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+\Z")]
"""An IPv4 address, or an IPv6 address in brackets, with a port."""
Url = Annotated[str, Meta(pattern=r"^https?://")]
"""An HTTP or HTTPS URL."""
CurveKey = Annotated[str, Meta(min_length=40, max_length=40)]
"""A CURVE key in Z85 encoding."""

DEFAULT_BODY_LIMIT_BYTES = 1_048_576
"""Maximum size of a request body."""
DEFAULT_DRAIN_TIMEOUT_SECONDS = 600.0
"""Maximum duration of a graceful shutdown."""
DEFAULT_TRACE_RATIO = 0.1
"""Traced fraction of the requests without a ``traceparent`` header."""


class RouterTable(TypedDict):
    """The ``[router]`` table: the identity of the router."""

    host: Name
    failure_domain: Name


class CallersTable(TypedDict):
    """The ``[callers]`` table: the listener for callers."""

    address: Address
    body_limit: NotRequired[Annotated[int, Meta(ge=1, le=67_108_864)]]
    memory: NotRequired[Annotated[float, Meta(gt=0)]]
    certificate: NotRequired[str]
    private_key: NotRequired[str]


class PeersTable(TypedDict):
    """The ``[peers]`` table: the listener for other routers."""

    address: Address
    seeds: NotRequired[list[Address]]
    public_key: NotRequired[CurveKey]
    secret_key: NotRequired[CurveKey]
    allow_plaintext: NotRequired[bool]


class AdminTable(TypedDict):
    """The ``[admin]`` table: the read-only interface for operators."""

    address: Address
    key_sha256: NotRequired[Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]]


class PlatformTable(TypedDict):
    """The ``[platform]`` table: the address of the platform."""

    url: Url


class TelemetryTable(TypedDict):
    """The ``[telemetry]`` table: log level, trace collector and sampling."""

    level: NotRequired[Annotated[str, Meta(pattern="^(debug|info|warning|error)$")]]
    otlp_url: NotRequired[Url]
    trace_ratio: NotRequired[Annotated[float, Meta(ge=0, le=1)]]


class ShutdownTable(TypedDict):
    """The ``[shutdown]`` table: limits of a graceful shutdown."""

    drain_timeout: NotRequired[Annotated[float, Meta(gt=0, le=86_400)]]


class TestingTable(TypedDict):
    """The ``[testing]`` table: faults injected into the peer transport."""

    peer_faults: str


class RouterSettings(NamedTuple):
    """
    Validated settings of one router process.

    :ivar host: name of this host, unique in the fleet.
    :ivar failure_domain: failure domain of this host.
    :ivar callers_address: ``ip:port`` of the listener for callers.
    :ivar body_limit: maximum size of a request body in bytes.
    :ivar certificate: path of the TLS certificate chain of the listener for
        callers, or "".
    :ivar private_key: path of the private key of the certificate, or "".
    :ivar peers_address: ``ip:port`` of the listener for other routers.
    :ivar seeds: peer addresses through which to join the fleet, in addition
        to the hosts on the host list.
    :ivar public_key: CURVE public key of the fleet in Z85 encoding, or "".
    :ivar secret_key: CURVE secret key of the fleet in Z85 encoding, or "".
    :ivar admin_address: ``ip:port`` of the listener for operators.
    :ivar admin_key_sha256: SHA-256 of the admin key in hexadecimal, or "".
    :ivar platform_url: base URL of the platform.
    :ivar level: log level.
    :ivar otlp_url: URL of the OTLP trace collector, or "".
    :ivar drain_timeout: maximum duration of a graceful shutdown in seconds.
    :ivar peer_faults: path of the file of faults to inject in tests, or "".
    :ivar trace_ratio: fraction of the requests without a ``traceparent``
        header that are traced.
    :ivar memory: megabytes that the process may use; ``None`` for the memory
        of its host.
    :ivar gateway: settings of a router that serves published routes, ``None``
        for a router that serves the operators' configuration.
    """

    host: str
    failure_domain: str
    callers_address: str
    body_limit: int
    certificate: str
    private_key: str
    peers_address: str
    seeds: tuple[str, ...]
    public_key: str
    secret_key: str
    admin_address: str
    admin_key_sha256: str
    platform_url: str
    level: str
    otlp_url: str
    drain_timeout: float
    peer_faults: str
    trace_ratio: float = DEFAULT_TRACE_RATIO
    gateway: GatewaySettings | None = None
    memory: float | None = None

    @classmethod
    def from_file(cls, path: Path) -> RouterSettings:
        """
        Read and validate a settings file.

        :raises SettingsError: if the settings are invalid; it lists every
            fault.
        """
        try:
            document = tomllib.loads(path.read_bytes().decode())
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            fault = ValidationFault(
                str(path), "unreadable", str(error), "name a readable TOML file"
            )
            raise SettingsError([fault]) from error
        return cls.from_document(document)

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> RouterSettings:
        """
        Validate a parsed settings document.

        :raises SettingsError: if the settings are invalid; it lists every
            fault.
        """
        tables, faults = _convert_tables(document)
        faults = faults or _check_addresses(tables)
        if not faults:
            faults = _check_key_pairs(tables) + _check_exposed_listeners(tables)
        if faults:
            raise SettingsError(faults)
        return _build_settings(tables)


_TABLE_TYPES: dict[str, type[Any]] = {
    "router": RouterTable,
    "callers": CallersTable,
    "peers": PeersTable,
    "admin": AdminTable,
    "platform": PlatformTable,
    "telemetry": TelemetryTable,
    "shutdown": ShutdownTable,
    "testing": TestingTable,
    "gateway": GatewayTable,
}
_OPTIONAL_TABLES = {"telemetry", "shutdown", "testing", "gateway"}
"""Tables that may be missing."""


def _convert_tables(
    document: dict[str, Any],
) -> tuple[dict[str, Any], list[ValidationFault]]:
    faults = find_unknown_keys("", document, set(_TABLE_TYPES))
    tables: dict[str, Any] = {}
    for name, table_type in _TABLE_TYPES.items():
        if name not in document and name in _OPTIONAL_TABLES:
            tables[name] = {}
            continue
        if name not in document:
            faults.append(
                ValidationFault(name, "missing_table", "the table is missing", "add it")
            )
            continue
        value = convert_table(name, document[name], table_type)
        if isinstance(value, list):
            faults.extend(value)
        else:
            tables[name] = value
    return tables, faults


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address, without brackets, and the port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_loopback(address: str) -> bool:
    """Return whether an ``ip:port`` address is on the loopback interface."""
    return ipaddress.ip_address(split_address(address)[0]).is_loopback


def _check_key_pairs(tables: dict[str, Any]) -> list[ValidationFault]:
    faults = []
    callers, peers = tables["callers"], tables["peers"]
    if ("certificate" in callers) != ("private_key" in callers):
        faults.append(
            ValidationFault(
                "callers",
                "half_a_certificate",
                "the certificate or its private key is missing",
                "set certificate and private_key, or neither",
            )
        )
    if ("public_key" in peers) != ("secret_key" in peers):
        faults.append(
            ValidationFault(
                "peers",
                "half_a_key",
                "the public or the secret CURVE key is missing",
                "set both keys",
            )
        )
    return faults


def _check_exposed_listeners(tables: dict[str, Any]) -> list[ValidationFault]:
    faults = []
    peers, admin = tables["peers"], tables["admin"]
    has_plaintext_peers = (
        not is_loopback(peers["address"]) and "secret_key" not in peers
    )
    if has_plaintext_peers and not peers.get("allow_plaintext", False):
        faults.append(
            ValidationFault(
                "peers.address",
                "plaintext_peers",
                "a listener on a non-loopback address requires CURVE keys",
                "set public_key and secret_key, or allow_plaintext = true",
            )
        )
    if not is_loopback(admin["address"]) and "key_sha256" not in admin:
        faults.append(
            ValidationFault(
                "admin.address",
                "open_admin",
                "a listener on a non-loopback address requires an admin key",
                "set admin.key_sha256 or bind to 127.0.0.1",
            )
        )
    if tables["testing"] and not is_loopback(peers["address"]):
        faults.append(
            ValidationFault(
                "testing",
                "testing_off_loopback",
                "faults can be injected only if the peer listener is on loopback",
                "remove the table",
            )
        )
    return faults


def _check_addresses(tables: dict[str, Any]) -> list[ValidationFault]:
    addresses = [
        (f"{name}.address", tables[name]["address"]) for name in _LISTENER_TABLES
    ]
    addresses += [("peers.seeds", seed) for seed in tables["peers"].get("seeds", [])]
    faults = []
    for path, address in addresses:
        try:
            host, port = split_address(address)
            ipaddress.ip_address(host)
        except ValueError:
            port = -1
        if not 0 < port < 65_536:
            faults.append(
                ValidationFault(
                    path,
                    "wrong_address",
                    f"{address!r} is not an IP address with a port",
                    "write it as 10.0.0.1:7000",
                )
            )
    return faults


_LISTENER_TABLES = ("callers", "peers", "admin")
"""Tables that contain the address of a listener."""


def _build_settings(tables: dict[str, Any]) -> RouterSettings:
    callers, peers, admin = (tables[name] for name in _LISTENER_TABLES)
    gateway = tables["gateway"]
    return RouterSettings(
        host=tables["router"]["host"],
        failure_domain=tables["router"]["failure_domain"],
        callers_address=callers["address"],
        body_limit=callers.get("body_limit", DEFAULT_BODY_LIMIT_BYTES),
        certificate=callers.get("certificate", ""),
        private_key=callers.get("private_key", ""),
        peers_address=peers["address"],
        seeds=tuple(peers.get("seeds", ())),
        public_key=peers.get("public_key", ""),
        secret_key=peers.get("secret_key", ""),
        admin_address=admin["address"],
        admin_key_sha256=admin.get("key_sha256", ""),
        platform_url=tables["platform"]["url"].rstrip("/"),
        level=tables["telemetry"].get("level", "info"),
        otlp_url=tables["telemetry"].get("otlp_url", ""),
        trace_ratio=tables["telemetry"].get("trace_ratio", DEFAULT_TRACE_RATIO),
        drain_timeout=tables["shutdown"].get(
            "drain_timeout", DEFAULT_DRAIN_TIMEOUT_SECONDS
        ),
        peer_faults=tables["testing"].get("peer_faults", ""),
        gateway=GatewaySettings.from_table(gateway) if gateway else None,
        memory=callers.get("memory"),
    )
