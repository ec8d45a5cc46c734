"""Consistency checks between the tables of a configuration text."""

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
    Return a fault for each reference to a service that is not declared.

    :param declared: names of all declared services. Services with faults of
        their own are included, so that references to them are valid.
    :param services: validated tables of services, by name.
    :param servers: validated tables of backend servers, by name.
    """
    references = [
        (f"services.{name}.depends_on", other)
        for name, table in services.items()
        for other in table.get("depends_on", [])
    ]
    references += [
        (f"servers.{name}.service", table["service"]) for name, table in servers.items()
    ]
    return [
        ValidationFault(
            path,
            "unknown_service",
            f"no service {other!r} is declared",
            "declare the service",
        )
        for path, other in references
        if other not in declared
    ]


def check_workspace_keys(
    workspaces: dict[str, WorkspaceTable],
) -> list[ValidationFault]:
    """Return a fault for each workspace that shares its key with another."""
    counts = Counter(table["key_sha256"] for table in workspaces.values())
    return [
        ValidationFault(
            f"workspaces.{name}.key_sha256",
            "doubled_key",
            "another workspace has the same key",
            "give each workspace its own key",
        )
        for name, table in workspaces.items()
        if counts[table["key_sha256"]] > 1
    ]


def check_slot_ceilings(servers: dict[str, ServerTable]) -> list[ValidationFault]:
    """
    Return a fault for each slot ceiling below the initial slot count.

    A server without a ceiling has no such fault, so it is compared with 4096,
    the largest slot count that the schema permits.
    """
    return [
        ValidationFault(
            f"servers.{name}.slots_ceiling",
            "ceiling_below_start",
            "'slots_ceiling' is below 'slots'",
            "raise slots_ceiling to at least slots",
        )
        for name, table in servers.items()
        if table.get("slots_ceiling", 4096) < table.get("slots", DEFAULT_SLOTS)
    ]


def check_server_addresses(servers: dict[str, ServerTable]) -> list[ValidationFault]:
    """Return a fault for each server that shares its address with another."""
    counts = Counter(table["address"] for table in servers.values())
    return [
        ValidationFault(
            f"servers.{name}.address",
            "doubled_address",
            "another backend server has the same address",
            "list each backend server once",
        )
        for name, table in servers.items()
        if counts[table["address"]] > 1
    ]


def check_dependency_cycles(services: dict[str, ServiceTable]) -> list[ValidationFault]:
    """Return a fault for each service that is part of a dependency cycle."""
    return [
        ValidationFault(
            f"services.{name}.depends_on",
            "dependency_cycle",
            "the service depends on itself, directly or through others",
            "remove one dependency of the cycle",
        )
        for name in services
        if name in _collect_transitive_dependencies(name, services)
    ]


def check_cost_bounds(services: dict[str, ServiceTable]) -> list[ValidationFault]:
    """Return a fault for each largest cost below the expected cost."""
    return [
        ValidationFault(
            f"services.{name}.largest_cost",
            "largest_below_expected",
            "'largest_cost' is below 'expected_cost'",
            "raise largest_cost to at least expected_cost",
        )
        for name, table in services.items()
        if table.get("largest_cost", DEFAULT_COSTS[table["kind"]][1])
        < table.get("expected_cost", DEFAULT_COSTS[table["kind"]][0])
    ]


def _collect_transitive_dependencies(
    name: str, services: dict[str, ServiceTable]
) -> set[str]:
    found: set[str] = set()
    pending = [name]
    while pending:
        table = services.get(pending.pop())
        for other in table.get("depends_on", []) if table else []:
            if other not in found:
                found.add(other)
                pending.append(other)
    return found
