"""Checks of a configuration across its tables."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sycamorehaven.configuration.builders import DEFAULT_COSTS, DEFAULT_SLOTS
from sycamorehaven.exceptions.validation import ValidationFault

if TYPE_CHECKING:
    from collections.abc import Container

    from sycamorehaven.configuration.schema import (
        ServerTable,
        ServiceTable,
        WorkspaceTable,
    )


def check_service_references(
    declared: Container[str],
    services: dict[str, ServiceTable],
    servers: dict[str, ServerTable],
) -> list[ValidationFault]:
    """
    Return a fault for each name of a service that is not declared.

    :param declared: names of services, also of those with faults.
    """
    named = [
        (f"services.{name}.depends_on", other)
        for name, row in services.items()
        for other in row.get("depends_on", [])
    ]
    named += [
        (f"servers.{name}.service", row["service"]) for name, row in servers.items()
    ]
    return [
        ValidationFault(
            path, "unknown_service", f"no service {other!r}", "declare the service"
        )
        for path, other in named
        if other not in declared
    ]


def check_workspace_keys(
    workspaces: dict[str, WorkspaceTable],
) -> list[ValidationFault]:
    """Return a fault for each workspace whose key another has."""
    counts = Counter(row["key_sha256"] for row in workspaces.values())
    return [
        ValidationFault(
            f"workspaces.{name}.key_sha256",
            "doubled_key",
            "another workspace has this key",
            "give each workspace its own key",
        )
        for name, row in workspaces.items()
        if counts[row["key_sha256"]] > 1
    ]


def check_slot_ceilings(servers: dict[str, ServerTable]) -> list[ValidationFault]:
    """Return a fault for each ceiling below its start value."""
    return [
        ValidationFault(
            f"servers.{name}.slots_ceiling",
            "ceiling_below_start",
            "the ceiling is below the start value",
            "raise slots_ceiling to at least slots",
        )
        for name, row in servers.items()
        if row.get("slots_ceiling", 4096) < row.get("slots", DEFAULT_SLOTS)
    ]


def check_server_addresses(servers: dict[str, ServerTable]) -> list[ValidationFault]:
    """Return a fault for each address that two servers have."""
    counts = Counter(row["address"] for row in servers.values())
    return [
        ValidationFault(
            f"servers.{name}.address",
            "doubled_address",
            "another backend server has this address",
            "list each backend server once",
        )
        for name, row in servers.items()
        if counts[row["address"]] > 1
    ]


def check_dependency_cycles(services: dict[str, ServiceTable]) -> list[ValidationFault]:
    """Return a fault for each service that depends on itself."""
    return [
        ValidationFault(
            f"services.{name}.depends_on",
            "dependency_cycle",
            "the service depends on itself",
            "remove one dependency of the cycle",
        )
        for name in services
        if name in _collect_transitive_dependencies(name, services)
    ]


def check_cost_bounds(services: dict[str, ServiceTable]) -> list[ValidationFault]:
    """Return a fault for each largest cost below the expected one."""
    return [
        ValidationFault(
            f"services.{name}.largest_cost",
            "largest_below_expected",
            "the largest cost is below the expected cost",
            "raise largest_cost to at least expected_cost",
        )
        for name, row in services.items()
        if row.get("largest_cost", DEFAULT_COSTS[row["kind"]][1])
        < row.get("expected_cost", DEFAULT_COSTS[row["kind"]][0])
    ]


def _collect_transitive_dependencies(
    name: str, services: dict[str, ServiceTable]
) -> set[str]:
    found: set[str] = set()
    pending = [name]
    while pending:
        row = services.get(pending.pop())
        for other in row.get("depends_on", []) if row else []:
            if other not in found:
                found.add(other)
                pending.append(other)
    return found
