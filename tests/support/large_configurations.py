"""Configuration texts of the size for which the routers are designed."""

from __future__ import annotations

import hashlib

WORKSPACE_COUNT = 1_400
SERVER_COUNT = 800
MODEL_COUNT = 17


def build_large_configuration(
    workspaces: int = WORKSPACE_COUNT,
    servers: int = SERVER_COUNT,
    services: int = MODEL_COUNT,
) -> str:
    """Return a configuration with many workspaces, servers and services."""
    parts = [build_workspace_table(number) for number in range(workspaces)]
    for number in range(services):
        parts.append(
            f'[services.model-{number}]\nkind = "model"\n'
            f'[[services.model-{number}.calls]]\nmethod = "POST"\n'
            'path = "/v1/completions"\nidempotent = true\nresumable = true\n'
        )
    parts += [
        build_server_table(number, number % services) for number in range(servers)
    ]
    return "\n".join(parts)


def build_workspace_table(number: int, weight: float = 1.0) -> str:
    """Return the TOML table of one workspace."""
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return (
        f'[workspaces.workspace-{number}]\nkey_sha256 = "{digest}"\n'
        f"weight = {weight}\nqueue_limit = 1000\n"
    )


def build_server_table(number: int, service: int, slots: int = 16) -> str:
    """Return the TOML table of one backend server."""
    return (
        f"[servers.server-{number}]\n"
        f'address = "10.{number // 250}.{number % 250}.7:8000"\n'
        f'service = "model-{service}"\nfailure_domain = "domain-{number % 6}"\n'
        f'slots = {slots}\nslots_ceiling = 64\nmodels = ["model-{service}"]\n'
    )
