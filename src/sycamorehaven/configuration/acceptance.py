"""
Acceptance of a configuration text.

A pure function of the text and its revision, so that all routers decide
alike. An invalid text never takes force.
"""

from __future__ import annotations

import xxhash

from sycamorehaven.configuration.building import (
    build_server,
    build_service,
    build_workspace,
)
from sycamorehaven.configuration.checks import (
    check_addresses,
    check_costs,
    check_cycles,
    check_keys,
    check_names,
    check_slots,
)
from sycamorehaven.configuration.delta import LARGEST_TEXT
from sycamorehaven.configuration.model import Configuration
from sycamorehaven.configuration.parsing import parse_text
from sycamorehaven.configuration.rows import KINDS, read_calls, read_rows
from sycamorehaven.exceptions.faults import ConfigurationError, Fault
from sycamorehaven.table_validation import find_unknown_keys


def accept_text(raw: bytes, revision: int) -> Configuration:
    """
    Return the configuration that ``raw`` describes.

    :param raw: the text as the configuration service gave it.
    :param revision: its revision.
    :raises ConfigurationError: with every fault found.
    """
    text = _decode(raw)
    parsed = parse_text(text)
    faults = find_unknown_keys("", parsed.document, set(KINDS))
    workspaces = read_rows(parsed, "workspaces", faults)
    services = read_rows(parsed, "services", faults)
    servers = read_rows(parsed, "servers", faults)
    calls = {name: read_calls(name, row, faults) for name, row in services.items()}
    declared = parsed.document.get("services", {})
    faults += check_names(declared, services, servers)
    faults += check_keys(workspaces)
    faults += check_slots(servers)
    faults += check_addresses(servers)
    faults += check_costs(services)
    faults += check_cycles(services)
    if faults:
        raise ConfigurationError(faults)
    return Configuration(
        revision=revision,
        digest=xxhash.xxh3_128_hexdigest(raw),
        text=text,
        workspaces={n: build_workspace(n, r) for n, r in workspaces.items()},
        services={n: build_service(n, r, calls[n]) for n, r in services.items()},
        servers={n: build_server(n, r) for n, r in servers.items()},
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
