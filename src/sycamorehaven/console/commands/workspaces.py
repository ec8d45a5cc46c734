"""``sycamorehaven workspaces``: shows the capacity shares of workspaces."""

from __future__ import annotations

from typing import Annotated

import typer

from sycamorehaven.console.client import AdminClient
from sycamorehaven.console.options import (
    DEFAULT_ADMIN_ADDRESS,
    AdminOption,
    JsonOption,
    KeyOption,
)
from sycamorehaven.console.output import print_json, print_table, report_errors

COLUMNS = ("workspace", "weight", "received", "share", "entitled", "waiting")
"""Fields of a workspace to show."""


def show_workspaces(
    admin: AdminOption = DEFAULT_ADMIN_ADDRESS,
    key: KeyOption = "",
    json: JsonOption = False,
    service: Annotated[str, typer.Option(help="Show only this service.")] = "",
) -> None:
    """Show the share of each workspace, and the fairness gaps of services."""
    with report_errors():
        document = AdminClient(admin, key).get_document(
            "/v1/workspaces", service=service
        )
        if json:
            print_json(document)
            return
        for service_shares in document["services"]:
            rows = [
                [row[name] for name in COLUMNS] for row in service_shares["workspaces"]
            ]
            title = (
                f"{service_shares['service']} ({service_shares['unit']}): "
                f"gap {service_shares['gap']:.3f}"
                f" = {service_shares['gap_in_requests']:.3f} of the largest request"
            )
            print_table(title, COLUMNS, rows)
            if not service_shares["schedules"]:
                typer.echo(
                    "this router does not schedule the service; query one that does\n"
                )
