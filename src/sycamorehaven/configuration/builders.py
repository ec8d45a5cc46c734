"""Builders of the configuration model from validated tables of the text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.configuration.model import (
    BackendServer,
    CallRule,
    Service,
    Workspace,
)

if TYPE_CHECKING:
    from sycamorehaven.configuration.schema import (
        CallTable,
        ServerTable,
        ServiceTable,
        WorkspaceTable,
    )

DEFAULT_WEIGHT = 1.0
"""Share of a workspace relative to the other workspaces."""
DEFAULT_QUEUE_LIMIT = 1_000
"""Requests that one router queues for a workspace."""
DEFAULT_SLOTS = 4
"""Initial limit of concurrent requests of a backend server."""
DEFAULT_BATCH_FRACTION = 0.2
"""Fraction of a workspace's share that is guaranteed to batch requests."""
DEFAULT_COSTS = {"model": (200.0, 4_000.0), "plain": (0.05, 5.0)}
"""
Expected and largest cost of a request, by kind of service.

Costs are in tokens for a model service and in slot seconds for a plain
service.
"""


def build_workspace(name: str, table: WorkspaceTable) -> Workspace:
    """Return the workspace that a validated table describes."""
    return Workspace(
        name,
        table["key_sha256"],
        table.get("weight", DEFAULT_WEIGHT),
        table.get("queue_limit", DEFAULT_QUEUE_LIMIT),
    )


def build_service(name: str, table: ServiceTable, calls: list[CallTable]) -> Service:
    """
    Return the service that a validated table describes.

    :param calls: validated tables of the service's calls.
    """
    rules = [
        CallRule(
            call["method"],
            call["path"],
            call.get("idempotent", call["method"] not in ("POST", "PATCH")),
            call.get("resumable", False),
        )
        for call in calls
    ]
    expected, largest = DEFAULT_COSTS[table["kind"]]
    return Service(
        name=name,
        kind=table["kind"],
        depends_on=tuple(table.get("depends_on", [])),
        calls=tuple(sorted(rules, key=lambda rule: (-len(rule.path), rule))),
        expected_cost=table.get("expected_cost", expected),
        largest_cost=table.get("largest_cost", largest),
        batch_fraction=table.get("batch_fraction", DEFAULT_BATCH_FRACTION),
    )


def build_server(name: str, table: ServerTable) -> BackendServer:
    """Return the backend server that a validated table describes."""
    slots = table.get("slots", DEFAULT_SLOTS)
    return BackendServer(
        name=name,
        address=table["address"],
        service=table["service"],
        failure_domain=table["failure_domain"],
        slots=slots,
        slots_ceiling=table.get("slots_ceiling", slots),
        models=tuple(table.get("models", [])),
        adapters=tuple(table.get("adapters", [])),
        version=table.get("version", ""),
        role=table.get("role", ""),
        checks_fencing=table.get("checks_fencing", False),
    )
