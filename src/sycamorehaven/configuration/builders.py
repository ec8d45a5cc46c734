"""Building of the accepted configuration from checked tables."""

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
DEFAULT_QUEUE_LIMIT = 1_000
DEFAULT_SLOTS = 4
DEFAULT_BATCH_FRACTION = 0.2
DEFAULT_COSTS = {"model": (200.0, 4_000.0), "plain": (0.05, 5.0)}
"""Expected and largest cost: tokens of a model, seconds of a plain call."""


def build_workspace(name: str, row: WorkspaceTable) -> Workspace:
    """Return a workspace."""
    return Workspace(
        name,
        row["key_sha256"],
        row.get("weight", DEFAULT_WEIGHT),
        row.get("queue_limit", DEFAULT_QUEUE_LIMIT),
    )


def build_service(name: str, row: ServiceTable, calls: list[CallTable]) -> Service:
    """Return a service."""
    rules = [
        CallRule(
            call["method"],
            call["path"],
            call.get("idempotent", call["method"] not in ("POST", "PATCH")),
            call.get("resumable", False),
        )
        for call in calls
    ]
    expected, largest = DEFAULT_COSTS[row["kind"]]
    return Service(
        name=name,
        kind=row["kind"],
        depends_on=tuple(row.get("depends_on", [])),
        calls=tuple(sorted(rules, key=lambda rule: (-len(rule.path), rule))),
        expected_cost=row.get("expected_cost", expected),
        largest_cost=row.get("largest_cost", largest),
        batch_fraction=row.get("batch_fraction", DEFAULT_BATCH_FRACTION),
    )


def build_server(name: str, row: ServerTable) -> BackendServer:
    """Return a backend server."""
    slots = row.get("slots", DEFAULT_SLOTS)
    return BackendServer(
        name=name,
        address=row["address"],
        service=row["service"],
        failure_domain=row["failure_domain"],
        slots=slots,
        slots_ceiling=row.get("slots_ceiling", slots),
        models=tuple(row.get("models", [])),
        adapters=tuple(row.get("adapters", [])),
        version=row.get("version", ""),
        role=row.get("role", ""),
        checks_fencing=row.get("checks_fencing", False),
    )
