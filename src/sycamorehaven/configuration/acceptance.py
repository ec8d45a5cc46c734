"""
Validation of a configuration text and its conversion to the model.

The result depends only on the text and its revision, so all routers accept
or reject a text alike. An invalid text never becomes the configuration in
force.
"""

from __future__ import annotations

import xxhash

from sycamorehaven.configuration.builders import (
    build_server,
    build_service,
    build_workspace,
)
from sycamorehaven.configuration.consistency import (
    check_cost_bounds,
    check_dependency_cycles,
    check_server_addresses,
    check_service_references,
    check_slot_ceilings,
    check_workspace_keys,
)
from sycamorehaven.configuration.delta import MAX_TEXT_BYTES
from sycamorehaven.configuration.model import Configuration
from sycamorehaven.configuration.parsing import parse_text
from sycamorehaven.configuration.validation import (
    TABLE_TYPE_BY_SECTION,
    validate_calls,
    validate_section,
)
from sycamorehaven.exceptions.validation import ConfigurationError, ValidationFault
from sycamorehaven.table_validation import find_unknown_keys


def accept_text(raw: bytes, revision: int) -> Configuration:
    """
    Return the configuration that a text describes.

    :param raw: the text as read from the configuration service, in UTF-8.
    :param revision: revision of the text in the configuration service.
    :raises ConfigurationError: if the text is invalid; it lists every fault.
    """
    text = _decode(raw)
    parsed = parse_text(text)
    faults = find_unknown_keys("", parsed.document, set(TABLE_TYPE_BY_SECTION))
    workspaces = validate_section(parsed, "workspaces", faults)
    services = validate_section(parsed, "services", faults)
    servers = validate_section(parsed, "servers", faults)
    calls = {name: validate_calls(name, row, faults) for name, row in services.items()}
    declared = parsed.document.get("services", {})
    faults += check_service_references(declared, services, servers)
    faults += check_workspace_keys(workspaces)
    faults += check_slot_ceilings(servers)
    faults += check_server_addresses(servers)
    faults += check_cost_bounds(services)
    faults += check_dependency_cycles(services)
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
    if len(raw) > MAX_TEXT_BYTES:
        fault = ValidationFault(
            "text",
            "too_large",
            f"the text has {len(raw)} bytes",
            f"keep it to {MAX_TEXT_BYTES}",
        )
        raise ConfigurationError([fault])
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        fault = ValidationFault(
            "text", "not_utf8", str(error), "save the text as UTF-8"
        )
        raise ConfigurationError([fault]) from error
