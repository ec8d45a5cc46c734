"""``sycamorehaven workspaces``: shares and fairness gaps."""

from __future__ import annotations

from sycamorehaven.console.client import AdminClient
from sycamorehaven.console.options import (
    DEFAULT_ADMIN,
    AdminOption,
    JsonOption,
    KeyOption,
)
from sycamorehaven.console.output import print_json, print_table, report_errors

COLUMNS = ("workspace", "weight", "received", "share", "entitled", "waiting")


def show_workspaces(
    admin: AdminOption = DEFAULT_ADMIN, key: KeyOption = "", json: JsonOption = False
) -> None:
    """Show the service each workspace received fleet-wide, and the gaps."""
    with report_errors():
        document = AdminClient(admin, key).read("/v1/workspaces")
        if json:
            print_json(document)
            return
        for service in document["services"]:
            rows = [[row[name] for name in COLUMNS] for row in service["workspaces"]]
            title = (
                f"{service['service']} ({service['unit']}): gap {service['gap']:.3f}"
                f" = {service['gap_in_requests']:.3f} of the largest request"
            )
            print_table(title, COLUMNS, rows)
