"""``sycamorehaven status``: shows the state of one router."""

from __future__ import annotations

from sycamorehaven.console.client import AdminClient
from sycamorehaven.console.options import (
    DEFAULT_ADMIN_ADDRESS,
    AdminOption,
    JsonOption,
    KeyOption,
)
from sycamorehaven.console.output import print_json, print_table, report_errors


def show_status(
    admin: AdminOption = DEFAULT_ADMIN_ADDRESS,
    key: KeyOption = "",
    json: JsonOption = False,
) -> None:
    """Show the readiness, the configuration and the load of a router."""
    with report_errors():
        document = AdminClient(admin, key).get_document("/v1/status")
        if json:
            print_json(document)
            return
        rows = [(name, _format_value(value)) for name, value in document.items()]
        print_table("Router", ("field", "value"), rows)


def _format_value(value: object) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{name}: {count}" for name, count in value.items()) or "none"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "none"
    return "none" if value is None else str(value)
