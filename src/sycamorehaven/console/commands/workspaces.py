"""``sycamorehaven workspaces``: shares and fairness gaps."""

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


def show_workspaces(
    admin: AdminOption = DEFAULT_ADMIN_ADDRESS,
    key: KeyOption = "",
    json: JsonOption = False,
    service: Annotated[str, typer.Option(help="Show this service only.")] = "",
) -> None:
    """Show what each workspace received and the gaps, as one router knows."""
    with report_errors():
        document = AdminClient(admin, key).get_document(
            "/v1/workspaces", service=service
        )
        if json:
            print_json(document)
            return
        for shown in document["services"]:
            rows = [[row[name] for name in COLUMNS] for row in shown["workspaces"]]
            title = (
                f"{shown['service']} ({shown['unit']}): gap {shown['gap']:.3f}"
                f" = {shown['gap_in_requests']:.3f} of the largest request"
            )
            print_table(title, COLUMNS, rows)
            if not shown["schedules"]:
                typer.echo("not scheduled here; ask a router that schedules it\n")
