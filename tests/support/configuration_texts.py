"""Small configuration texts and the keys of their workspaces."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

WORKSPACE_NAMES = ("oakcourt", "elmplace")


class ServerPlan(NamedTuple):
    """
    A stand-in backend server to configure and start.

    :ivar name: name of the server.
    :ivar service: service that it serves, ``"assistant"`` or ``"bookings"``.
    :ivar address: its ``ip:port`` address.
    :ivar slots: number of requests that it runs concurrently.
    :ivar failure_domain: its failure domain.
    :ivar work_seconds: seconds that a token of an assistant or a booking
        takes.
    """

    name: str
    service: str
    address: str
    slots: int = 4
    failure_domain: str = "a"
    work_seconds: float = 0.005


def build_workspace_key(workspace: str) -> str:
    """Return the bearer key that a workspace sends."""
    return f"key-of-{workspace}"


def build_configuration_text(
    servers: list[ServerPlan],
    workspaces: tuple[str, ...] = WORKSPACE_NAMES,
    weights: dict[str, float] | None = None,
) -> str:
    """
    Return a configuration with an assistant service and a booking service.

    :param servers: backend servers of the services.
    :param workspaces: names of the workspaces.
    :param weights: weight of each workspace; 1 if not given.
    """
    parts = []
    for name in workspaces:
        digest = hashlib.sha256(build_workspace_key(name).encode()).hexdigest()
        weight = (weights or {}).get(name, 1.0)
        parts.append(
            f'[workspaces.{name}]\nkey_sha256 = "{digest}"\nweight = {weight}\n'
        )
    parts.append(SERVICE_TABLES)
    parts += [
        f'[servers.{plan.name}]\naddress = "{plan.address}"\n'
        f'service = "{plan.service}"\nfailure_domain = "{plan.failure_domain}"\n'
        f"slots = {plan.slots}\n"
        for plan in servers
    ]
    return "\n".join(parts)


SERVICE_TABLES = """
[services.assistant]
kind = "model"
expected_cost = 16.0
largest_cost = 2000.0
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
