"""Addresses, keys and texts of the demo's fleet."""

from __future__ import annotations

import hashlib
import socket
from typing import NamedTuple

import zmq

from sycamorehaven.settings import RouterSettings

WORKSPACE_NAMES = ("oakcourt", "elmplace")
ENGINE_SLOTS = 4
ENGINE_TOKEN_SECONDS = {"engine-1": 0.004, "engine-2": 0.008}
"""Seconds a token of each engine; they differ in speed."""
FIRST_FIXED_PORT = 7100
"""First port of a demo that stays up; the others follow it."""


class RouterPlan(NamedTuple):
    """
    A router of the demo.

    :ivar host: its host.
    :ivar failure_domain: where it stands.
    :ivar callers: address for callers.
    :ivar peers: address for other routers.
    :ivar admin: address for operators.
    """

    host: str
    failure_domain: str
    callers_address: str
    peers_address: str
    admin_address: str


class DemoPlan(NamedTuple):
    """
    Who listens where, all on loopback.

    :ivar platform: the stand-in platform.
    :ivar servers: stand-in backend servers by name.
    :ivar routers: the routers.
    :ivar peer_keys: public and secret CURVE key, Z85; fresh for each demo, so
        that two demos on one machine never hear each other.
    """

    platform_address: str
    server_addresses: dict[str, str]
    routers: tuple[RouterPlan, ...]
    peer_key_pair: tuple[str, str]

    @classmethod
    def from_addresses(cls, addresses: list[str]) -> DemoPlan:
        """Return a plan that uses 13 addresses, callers' first."""
        callers, admins, peers = addresses[:3], addresses[3:6], addresses[6:9]
        routers = tuple(
            RouterPlan(f"{domain}1", domain, *listeners)
            for domain, *listeners in zip("abc", callers, peers, admins, strict=True)
        )
        names = ("engine-1", "engine-2", "booking-1")
        servers = dict(zip(names, addresses[9:12], strict=True))
        public, secret = zmq.curve_keypair()
        keys = public.decode(), secret.decode()
        return cls(addresses[12], servers, routers, keys)

    def render_configuration(self) -> str:
        """Return the operators' text."""
        parts = [
            f'[workspaces.{name}]\nkey_sha256 = "{hash_key(name)}"\n'
            for name in WORKSPACE_NAMES
        ]
        parts.append(SERVICES_TEXT)
        for domain, (name, address) in zip(
            "abc", self.server_addresses.items(), strict=True
        ):
            service = "bookings" if name.startswith("booking") else "assistant"
            parts.append(
                f'[servers.{name}]\naddress = "{address}"\nservice = "{service}"\n'
                f'failure_domain = "{domain}"\nslots = {ENGINE_SLOTS}\n'
            )
        return "\n".join(parts)

    def create_settings(self, router: RouterPlan) -> RouterSettings:
        """Return the settings of a router."""
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
    """Return the demo's bearer key of a workspace."""
    return f"{workspace}-demo-key"


def hash_key(workspace: str) -> str:
    """Return the SHA-256 of a workspace's key, hex."""
    return hashlib.sha256(derive_key(workspace).encode()).hexdigest()


def list_fixed_addresses() -> list[str]:
    """Return the addresses of a demo that stays up."""
    return [f"127.0.0.1:{FIRST_FIXED_PORT + offset}" for offset in range(13)]


def find_free_addresses() -> list[str]:
    """Return addresses that nobody listens on."""
    probes = [socket.socket() for _ in range(13)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
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
