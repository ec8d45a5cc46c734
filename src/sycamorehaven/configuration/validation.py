"""Validation of the single tables of a configuration document."""

from __future__ import annotations

import functools
import ipaddress
import re
from collections import Counter
from typing import TYPE_CHECKING, Any

from sycamorehaven.configuration.parsing import parse_entry
from sycamorehaven.configuration.schema import (
    CallTable,
    ServerTable,
    ServiceTable,
    WorkspaceTable,
)
from sycamorehaven.exceptions.validation import ValidationFault
from sycamorehaven.settings import split_address
from sycamorehaven.table_validation import convert_table

if TYPE_CHECKING:
    from sycamorehaven.configuration.parsing import ParsedText

TABLE_TYPE_BY_SECTION: dict[str, type[Any]] = {
    "workspaces": WorkspaceTable,
    "services": ServiceTable,
    "servers": ServerTable,
}
"""Schema of the tables in each section of the document."""

_ENTRY_NAME = re.compile(r"[\w.-]{1,64}")
_ENTRY_CACHE_SIZE = 16_384
"""Workspace and server tables whose result is cached, by their text."""


def validate_section(
    parsed: ParsedText, section: str, faults: list[ValidationFault]
) -> dict[str, Any]:
    """
    Return the valid tables of a section, by name.

    :param parsed: the parsed configuration text.
    :param section: a key of ``TABLE_TYPE_BY_SECTION``.
    :param faults: list to which every fault found is appended.
    """
    tables = parsed.document.get(section, {})
    if not isinstance(tables, dict):
        faults.append(
            ValidationFault(section, "not_a_table", "a table is expected", "write one")
        )
        return {}
    valid: dict[str, Any] = {}
    for name, table in tables.items():
        block = parsed.entry_texts.get((section, name))
        result = (
            _validate_block(block) if block else _validate_entry(section, name, table)
        )
        if isinstance(result, list):
            faults.extend(result)
        else:
            valid[name] = result
    return valid


def validate_calls(
    service: str, service_table: ServiceTable, faults: list[ValidationFault]
) -> list[CallTable]:
    """
    Return the valid call tables of a service.

    :param service: name of the service.
    :param service_table: validated table of the service.
    :param faults: list to which every fault found is appended.
    """
    calls: list[CallTable] = []
    for index, table in enumerate(service_table.get("calls", [])):
        path = f"services.{service}.calls[{index}]"
        call = convert_table(path, table, CallTable)
        if isinstance(call, list):
            faults.extend(call)
        else:
            calls.append(call)
    counts = Counter((call["method"], call["path"]) for call in calls)
    faults.extend(
        ValidationFault(
            f"services.{service}.calls",
            "doubled_call",
            f"{method} {path_prefix} is declared {count} times",
            "declare it once",
        )
        for (method, path_prefix), count in counts.items()
        if count > 1
    )
    return calls


@functools.lru_cache(maxsize=_ENTRY_CACHE_SIZE)
def _validate_block(block: str) -> Any | list[ValidationFault]:
    entry = parse_entry(block)
    return _validate_entry(entry.section, entry.name, entry.table) if entry else []


def _validate_entry(
    section: str, name: str, table: object
) -> Any | list[ValidationFault]:
    path = f"{section}.{name}"
    result: Any = convert_table(path, table, TABLE_TYPE_BY_SECTION[section])
    faults: list[ValidationFault] = result if isinstance(result, list) else []
    if not _ENTRY_NAME.fullmatch(name):
        faults.append(
            ValidationFault(
                path,
                "wrong_name",
                "the name contains invalid characters or is too long",
                "use 1 to 64 letters, digits, '_', '-' and '.'",
            )
        )
    if not faults and section == "servers":
        faults += _check_address(path, result["address"])
    return faults or result


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
            f"{address!r} is not an IP address with a port",
            "write it as 10.0.0.1:8000",
        )
    ]
