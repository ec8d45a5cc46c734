"""Checks of a configuration across its tables."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sycamorehaven.configuration.building import DEFAULT_COSTS, DEFAULT_SLOTS
from sycamorehaven.exceptions.faults import Fault

if TYPE_CHECKING:
    from collections.abc import Container

    from sycamorehaven.configuration.tables import (
        ServerTable,
        ServiceTable,
        WorkspaceTable,
    )


def check_names(
    declared: Container[str],
    services: dict[str, ServiceTable],
    servers: dict[str, ServerTable],
) -> list[Fault]:
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
        Fault(path, "unknown_service", f"no service {other!r}", "declare the service")
        for path, other in named
        if other not in declared
    ]


def check_keys(workspaces: dict[str, WorkspaceTable]) -> list[Fault]:
    """Return a fault for each workspace whose key another has."""
    counts = Counter(row["key_sha256"] for row in workspaces.values())
    return [
        Fault(
            f"workspaces.{name}.key_sha256",
            "doubled_key",
            "another workspace has this key",
            "give each workspace its own key",
        )
        for name, row in workspaces.items()
        if counts[row["key_sha256"]] > 1
    ]


def check_slots(servers: dict[str, ServerTable]) -> list[Fault]:
    """Return a fault for each ceiling below its start value."""
    return [
        Fault(
            f"servers.{name}.slots_ceiling",
            "ceiling_below_start",
            "the ceiling is below the start value",
            "raise slots_ceiling to at least slots",
        )
        for name, row in servers.items()
        if row.get("slots_ceiling", 4096) < row.get("slots", DEFAULT_SLOTS)
    ]


def check_addresses(servers: dict[str, ServerTable]) -> list[Fault]:
    """Return a fault for each address that two servers have."""
    counts = Counter(row["address"] for row in servers.values())
    return [
        Fault(
            f"servers.{name}.address",
            "doubled_address",
            "another backend server has this address",
            "list each backend server once",
        )
        for name, row in servers.items()
        if counts[row["address"]] > 1
    ]


def check_cycles(services: dict[str, ServiceTable]) -> list[Fault]:
    """Return a fault for each service that depends on itself."""
    return [
        Fault(
            f"services.{name}.depends_on",
            "dependency_cycle",
            "the service depends on itself",
            "remove one dependency of the cycle",
        )
        for name in services
        if name in _list_dependencies(name, services)
    ]


def check_costs(services: dict[str, ServiceTable]) -> list[Fault]:
    """Return a fault for each largest cost below the expected one."""
    return [
        Fault(
            f"services.{name}.largest_cost",
            "largest_below_expected",
            "the largest cost is below the expected cost",
            "raise largest_cost to at least expected_cost",
        )
        for name, row in services.items()
        if row.get("largest_cost", DEFAULT_COSTS[row["kind"]][1])
        < row.get("expected_cost", DEFAULT_COSTS[row["kind"]][0])
    ]


def _list_dependencies(name: str, services: dict[str, ServiceTable]) -> set[str]:
    found: set[str] = set()
    pending = [name]
    while pending:
        row = services.get(pending.pop())
        for other in row.get("depends_on", []) if row else []:
            if other not in found:
                found.add(other)
                pending.append(other)
    return found
