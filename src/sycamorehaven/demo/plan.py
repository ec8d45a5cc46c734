"""Addresses, keys, settings and configuration of the demo's fleet."""

from __future__ import annotations

import hashlib
import socket
from typing import NamedTuple

import zmq

from sycamorehaven.settings import RouterSettings

WORKSPACE_NAMES = ("oakcourt", "elmplace")
"""Names of the workspaces that send requests."""
SERVER_SLOTS = 4
"""Number of requests that each backend server runs at a time."""
ADDRESS_COUNT = 13
"""Number of addresses that the fleet listens on."""
ENGINE_TOKEN_SECONDS = {"engine-1": 0.004, "engine-2": 0.008}
"""Time in which each model engine generates a token; the speeds differ."""
FIRST_FIXED_PORT = 7100
"""First port of a demo that keeps running; it uses consecutive ports."""


class RouterPlan(NamedTuple):
    """
    Identity and addresses of a router of the demo.

    :ivar host: name of its host.
    :ivar failure_domain: failure domain of the host.
    :ivar callers_address: ``ip:port`` of the listener for callers.
    :ivar peers_address: ``ip:port`` of the listener for other routers.
    :ivar admin_address: ``ip:port`` of the listener for operators.
    """

    host: str
    failure_domain: str
    callers_address: str
    peers_address: str
    admin_address: str


class DemoPlan(NamedTuple):
    """
    Addresses and keys of the demo's fleet; all addresses are on loopback.

    :ivar platform_address: ``ip:port`` of the stand-in platform.
    :ivar server_addresses: ``ip:port`` of each stand-in backend server, by
        name.
    :ivar routers: identities and addresses of the routers.
    :ivar peer_key_pair: public and secret CURVE key in Z85 encoding. Each demo
        has its own keys, so that routers of two demos on one machine cannot
        communicate.
    """

    platform_address: str
    server_addresses: dict[str, str]
    routers: tuple[RouterPlan, ...]
    peer_key_pair: tuple[str, str]

    @classmethod
    def from_addresses(cls, addresses: list[str]) -> DemoPlan:
        """
        Create a plan.

        :param addresses: ``ADDRESS_COUNT`` addresses: three each for the
            callers, the operators and the peers of the routers, three for the
            backend servers and one for the platform.
        """
        callers, admins, peers = addresses[:3], addresses[3:6], addresses[6:9]
        routers = tuple(
            RouterPlan(f"{domain}1", domain, *listeners)
            for domain, *listeners in zip("abc", callers, peers, admins, strict=True)
        )
        names = ("engine-1", "engine-2", "booking-1")
        server_addresses = dict(zip(names, addresses[9:12], strict=True))
        public_key, secret_key = zmq.curve_keypair()
        key_pair = public_key.decode(), secret_key.decode()
        return cls(addresses[12], server_addresses, routers, key_pair)

    def render_configuration(self) -> str:
        """Return the operators' configuration as TOML text."""
        sections = [
            f'[workspaces.{name}]\nkey_sha256 = "{hash_key(name)}"\n'
            for name in WORKSPACE_NAMES
        ]
        sections.append(SERVICES_TEXT)
        for domain, (name, address) in zip(
            "abc", self.server_addresses.items(), strict=True
        ):
            service = "bookings" if name.startswith("booking") else "assistant"
            sections.append(
                f'[servers.{name}]\naddress = "{address}"\nservice = "{service}"\n'
                f'failure_domain = "{domain}"\nslots = {SERVER_SLOTS}\n'
            )
        return "\n".join(sections)

    def create_settings(self, router: RouterPlan) -> RouterSettings:
        """Create the settings of a router."""
        peers = {
            "address": router.peers_address,
            "seeds": [other.peers_address for other in self.routers if other != router],
            "public_key": self.peer_key_pair[0],
            "secret_key": self.peer_key_pair[1],
        }
        return RouterSettings.from_document(
            {
                "router": {
                    "host": router.host,
                    "failure_domain": router.failure_domain,
                },
                "callers": {"address": router.callers_address},
                "peers": peers,
                "admin": {"address": router.admin_address},
                "platform": {"url": f"http://{self.platform_address}"},
                "telemetry": {"level": "error", "trace_ratio": 1.0},
                "shutdown": {"drain_timeout": 5.0},
            }
        )


def derive_key(workspace: str) -> str:
    """Return the bearer key of a workspace in the demo."""
    return f"{workspace}-demo-key"


def hash_key(workspace: str) -> str:
    """Return the SHA-256 hash of a workspace's key in hexadecimal."""
    return hashlib.sha256(derive_key(workspace).encode()).hexdigest()


def list_fixed_addresses() -> list[str]:
    """Return the addresses of a demo that keeps running."""
    return [f"127.0.0.1:{FIRST_FIXED_PORT + offset}" for offset in range(ADDRESS_COUNT)]


def find_free_addresses() -> list[str]:
    """Return loopback addresses that are not in use."""
    sockets = [socket.socket() for _ in range(ADDRESS_COUNT)]
    for bound_socket in sockets:
        bound_socket.bind(("127.0.0.1", 0))
    addresses = [
        f"127.0.0.1:{bound_socket.getsockname()[1]}" for bound_socket in sockets
    ]
    for bound_socket in sockets:
        bound_socket.close()
    return addresses


SERVICES_TEXT = """
[services.assistant]
kind = "model"
expected_cost = 16.0
largest_cost = 200.0
[[services.assistant.calls]]
method = "POST"
path = "/v1/completions"
idempotent = true
resumable = true

[services.bookings]
kind = "plain"
expected_cost = 0.01
largest_cost = 1.0
[[services.bookings.calls]]
method = "POST"
path = "/bookings"
[[services.bookings.calls]]
method = "GET"
path = "/bookings"
idempotent = true
"""
"""The services in the operators' configuration, as TOML text."""
