"""Checked tables of a configuration document."""

from __future__ import annotations

import functools
import ipaddress
import re
from collections import Counter
from typing import TYPE_CHECKING, Any

from sycamorehaven.configuration.parsing import parse_row
from sycamorehaven.configuration.tables import (
    CallTable,
    ServerTable,
    ServiceTable,
    WorkspaceTable,
)
from sycamorehaven.exceptions.faults import Fault
from sycamorehaven.settings import split_address
from sycamorehaven.table_validation import convert_table

if TYPE_CHECKING:
    from sycamorehaven.configuration.parsing import ParsedText

KINDS: dict[str, type[Any]] = {
    "workspaces": WorkspaceTable,
    "services": ServiceTable,
    "servers": ServerTable,
}
"""Tables of each section."""
_NAME = re.compile(r"[\w.-]{1,64}")
_KEPT_ROWS = 16_384
"""Rows kept by their text."""


def read_rows(parsed: ParsedText, section: str, faults: list[Fault]) -> dict[str, Any]:
    """
    Return the rows of a section that have no fault, by name.

    :param faults: gets every fault found.
    """
    tables = parsed.document.get(section, {})
    if not isinstance(tables, dict):
        faults.append(Fault(section, "not_a_table", "a table is expected", "write one"))
        return {}
    rows: dict[str, Any] = {}
    for name, table in tables.items():
        block = parsed.blocks.get((section, name))
        row = _read_block(block) if block else _read_row(section, name, table)
        if isinstance(row, list):
            faults.extend(row)
        else:
            rows[name] = row
    return rows


def read_calls(service: str, row: ServiceTable, faults: list[Fault]) -> list[CallTable]:
    """
    Return the calls of a service that have no fault.

    :param faults: gets every fault found.
    """
    calls: list[CallTable] = []
    for index, table in enumerate(row.get("calls", [])):
        path = f"services.{service}.calls[{index}]"
        call = convert_table(path, table, CallTable)
        if isinstance(call, list):
            faults.extend(call)
        else:
            calls.append(call)
    doubled = Counter((call["method"], call["path"]) for call in calls)
    faults.extend(
        Fault(
            f"services.{service}.calls",
            "doubled_call",
            f"{method} {prefix} is declared {count} times",
            "declare it once",
        )
        for (method, prefix), count in doubled.items()
        if count > 1
    )
    return calls


@functools.lru_cache(maxsize=_KEPT_ROWS)
def _read_block(block: str) -> Any | list[Fault]:
    row = parse_row(block)
    return _read_row(row.section, row.name, row.table) if row else []


def _read_row(section: str, name: str, table: object) -> Any | list[Fault]:
    path = f"{section}.{name}"
    row: Any = convert_table(path, table, KINDS[section])
    faults: list[Fault] = row if isinstance(row, list) else []
    if not _NAME.fullmatch(name):
        faults.append(
            Fault(
                path,
                "wrong_name",
                "the name has other characters or is too long",
                "use 1 to 64 letters, digits, '_', '-' and '.'",
            )
        )
    if not faults and section == "servers":
        faults += _check_address(path, row["address"])
    return faults or row


def _check_address(path: str, address: str) -> list[Fault]:
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        port = 0
    if 0 < port < 65_536:
        return []
    return [
        Fault(
            f"{path}.address",
            "wrong_address",
            f"{address!r} is not an IP number with a port",
            "write it as 10.0.0.1:8000",
        )
    ]
