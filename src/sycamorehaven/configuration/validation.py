"""Checked tables of a configuration document."""

from __future__ import annotations

import functools
import ipaddress
import re
from collections import Counter
from typing import TYPE_CHECKING, Any

from sycamorehaven.checking import convert_table
from sycamorehaven.configuration.parsing import parse_entry
from sycamorehaven.configuration.schema import (
    CallTable,
    ServerTable,
    ServiceTable,
    WorkspaceTable,
)
from sycamorehaven.exceptions.validation import ValidationFault
from sycamorehaven.settings import split_address

if TYPE_CHECKING:
    from sycamorehaven.configuration.parsing import ParsedText

TABLE_TYPE_BY_SECTION: dict[str, type[Any]] = {
    "workspaces": WorkspaceTable,
    "services": ServiceTable,
    "servers": ServerTable,
}
"""Tables of each section."""
_ENTRY_NAME = re.compile(r"[\w.-]{1,64}")
_ENTRY_CACHE_SIZE = 16_384
"""Rows kept by their text."""


def validate_section(
    parsed: ParsedText, section: str, faults: list[ValidationFault]
) -> dict[str, Any]:
    """
    Return the rows of a section that have no fault, by name.

    :param faults: gets every fault found.
    """
    tables = parsed.document.get(section, {})
    if not isinstance(tables, dict):
        faults.append(
            ValidationFault(section, "not_a_table", "a table is expected", "write one")
        )
        return {}
    rows: dict[str, Any] = {}
    for name, table in tables.items():
        block = parsed.entry_texts.get((section, name))
        row = _validate_block(block) if block else _validate_entry(section, name, table)
        if isinstance(row, list):
            faults.extend(row)
        else:
            rows[name] = row
    return rows


def validate_calls(
    service: str, row: ServiceTable, faults: list[ValidationFault]
) -> list[CallTable]:
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
        ValidationFault(
            f"services.{service}.calls",
            "doubled_call",
            f"{method} {prefix} is declared {count} times",
            "declare it once",
        )
        for (method, prefix), count in doubled.items()
        if count > 1
    )
    return calls


@functools.lru_cache(maxsize=_ENTRY_CACHE_SIZE)
def _validate_block(block: str) -> Any | list[ValidationFault]:
    row = parse_entry(block)
    return _validate_entry(row.section, row.name, row.table) if row else []


def _validate_entry(
    section: str, name: str, table: object
) -> Any | list[ValidationFault]:
    path = f"{section}.{name}"
    row: Any = convert_table(path, table, TABLE_TYPE_BY_SECTION[section])
    faults: list[ValidationFault] = row if isinstance(row, list) else []
    if not _ENTRY_NAME.fullmatch(name):
        faults.append(
            ValidationFault(
                path,
                "wrong_name",
                "the name has other characters or is too long",
                "use 1 to 64 letters, digits, '_', '-' and '.'",
            )
        )
    if not faults and section == "servers":
        faults += _check_address(path, row["address"])
    return faults or row


def _check_address(path: str, address: str) -> list[ValidationFault]:
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        port = 0
    if 0 < port < 65_536:
        return []
    return [
        ValidationFault(
            f"{path}.address",
            "wrong_address",
            f"{address!r} is not an IP number with a port",
            "write it as 10.0.0.1:8000",
        )
    ]
