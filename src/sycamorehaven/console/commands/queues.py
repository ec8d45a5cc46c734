"""``sycamorehaven queues``: shows the queues of one router."""

from __future__ import annotations

from sycamorehaven.console.client import AdminClient
from sycamorehaven.console.options import (
    DEFAULT_ADMIN_ADDRESS,
    AdminOption,
    JsonOption,
    KeyOption,
)
from sycamorehaven.console.output import print_json, print_table, report_errors

COLUMNS = ("service", "workspace", "priority", "waiting", "oldest_age", "permits")
"""Fields of a queue to show."""


def show_queues(
    admin: AdminOption = DEFAULT_ADMIN_ADDRESS,
    key: KeyOption = "",
    json: JsonOption = False,
) -> None:
    """Show the queues of a router, oldest ages in seconds, and its permits."""
    with report_errors():
        document = AdminClient(admin, key).get_document("/v1/queues")
        if json:
            print_json(document)
            return
        rows = [[row[name] for name in COLUMNS] for row in document["queues"]]
        print_table("Queues", COLUMNS, rows)
