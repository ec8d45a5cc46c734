"""``sycamorehaven members``: shows the live routers."""

from __future__ import annotations

from sycamorehaven.console.client import AdminClient
from sycamorehaven.console.options import (
    DEFAULT_ADMIN_ADDRESS,
    AdminOption,
    JsonOption,
    KeyOption,
)
from sycamorehaven.console.output import print_json, print_table, report_errors

COLUMNS = ("host", "failure_domain", "address", "state", "incarnation")
"""Fields of a member to show."""


def show_members(
    admin: AdminOption = DEFAULT_ADMIN_ADDRESS,
    key: KeyOption = "",
    json: JsonOption = False,
) -> None:
    """Show the live routers that one router knows."""
    with report_errors():
        document = AdminClient(admin, key).get_document("/v1/members")
        if json:
            print_json(document)
            return
        rows = [[row[name] for name in COLUMNS] for row in document["members"]]
        print_table("Members", COLUMNS, rows)
