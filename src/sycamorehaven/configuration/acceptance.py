"""
Acceptance of a configuration text.

A pure function of the text and its revision, so that all routers decide
alike. An invalid text never takes force.
"""

from __future__ import annotations

import tomllib
from collections import Counter
from typing import Any

import xxhash

from sycamorehaven.checking import Table, convert_table, find_unknown_keys
from sycamorehaven.configuration.model import (
    BackendServer,
    CallRule,
    Configuration,
    Service,
    Workspace,
)
from sycamorehaven.configuration.tables import (
    CallTable,
    ServerTable,
    ServiceTable,
    WorkspaceTable,
)
from sycamorehaven.exceptions.faults import ConfigurationError, Fault

LARGEST_TEXT = 1_000_000
"""Largest text, bytes: the configuration service holds a megabyte."""
DEFAULT_WEIGHT = 1.0
DEFAULT_QUEUE_LIMIT = 1_000
DEFAULT_SLOTS = 4
DEFAULT_BATCH_FRACTION = 0.2
DEFAULT_COSTS = {"model": (200.0, 4_000.0), "plain": (0.05, 5.0)}
"""Expected and largest cost: tokens of a model, seconds of a plain call."""


def accept_text(raw: bytes, revision: int) -> Configuration:
    """
    Return the configuration that ``raw`` describes.

    :param raw: the text as the configuration service gave it.
    :param revision: its revision.
    :raises ConfigurationError: with every fault found.
    """
    text = _decode(raw)
    document = _parse(text)
    faults = find_unknown_keys("", document, {"workspaces", "services", "servers"})
    workspaces = _read_rows(document, "workspaces", WorkspaceTable, faults)
    services = _read_rows(document, "services", ServiceTable, faults)
    servers = _read_rows(document, "servers", ServerTable, faults)
    calls = {name: _read_calls(name, row, faults) for name, row in services.items()}
    faults += _check_names(services, servers)
    faults += _check_keys(workspaces)
    faults += _check_slots(servers)
    faults += _check_addresses(servers)
    faults += _check_cycles(services)
    if faults:
        raise ConfigurationError(faults)
    return Configuration(
        revision=revision,
        digest=xxhash.xxh3_128_hexdigest(raw),
        text=text,
        workspaces={n: _build_workspace(n, r) for n, r in workspaces.items()},
        services={n: _build_service(n, r, calls[n]) for n, r in services.items()},
        servers={n: _build_server(n, r) for n, r in servers.items()},
    )


def _decode(raw: bytes) -> str:
    if len(raw) > LARGEST_TEXT:
        fault = Fault(
            "text", "too_large", f"{len(raw)} bytes", f"keep it to {LARGEST_TEXT}"
        )
        raise ConfigurationError([fault])
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        fault = Fault("text", "not_utf8", str(error), "save the text as UTF-8")
        raise ConfigurationError([fault]) from error


def _parse(text: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        fault = Fault("text", "not_toml", str(error), "correct the TOML syntax")
        raise ConfigurationError([fault]) from error


def _read_rows(
    document: Table, section: str, kind: type[Any], faults: list[Fault]
) -> dict[str, Any]:
    rows: dict[str, Any] = {}
    tables = document.get(section, {})
    if not isinstance(tables, dict):
        faults.append(Fault(section, "not_a_table", "a table is expected", "write one"))
        return rows
    for name, table in tables.items():
        row = convert_table(f"{section}.{name}", table, kind)
        if isinstance(row, list):
            faults.extend(row)
        else:
            rows[name] = row
    return rows


def _read_calls(
    service: str, row: ServiceTable, faults: list[Fault]
) -> list[CallTable]:
    calls: list[CallTable] = []
    for index, table in enumerate(row.get("calls", [])):
        path = f"services.{service}.calls[{index}]"
        call = convert_table(path, table, CallTable)
        if isinstance(call, list):
            faults.extend(call)
        else:
            calls.append(call)
    doubled = Counter((call["method"], call["path"]) for call in calls)
    for (method, prefix), count in doubled.items():
        if count > 1:
            faults.append(
                Fault(
                    f"services.{service}.calls",
                    "doubled_call",
                    f"{method} {prefix} is declared {count} times",
                    "declare it once",
                )
            )
    return calls


def _check_names(
    services: dict[str, ServiceTable], servers: dict[str, ServerTable]
) -> list[Fault]:
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
        if other not in services
    ]


def _check_keys(workspaces: dict[str, WorkspaceTable]) -> list[Fault]:
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


def _check_slots(servers: dict[str, ServerTable]) -> list[Fault]:
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


def _check_addresses(servers: dict[str, ServerTable]) -> list[Fault]:
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


def _check_cycles(services: dict[str, ServiceTable]) -> list[Fault]:
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


def _build_workspace(name: str, row: WorkspaceTable) -> Workspace:
    return Workspace(
        name,
        row["key_sha256"],
        row.get("weight", DEFAULT_WEIGHT),
        row.get("queue_limit", DEFAULT_QUEUE_LIMIT),
    )


def _build_service(name: str, row: ServiceTable, calls: list[CallTable]) -> Service:
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


def _build_server(name: str, row: ServerTable) -> BackendServer:
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
