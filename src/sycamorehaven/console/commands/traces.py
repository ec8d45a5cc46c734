"""``sycamorehaven traces``: shows finished spans of one router."""

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

MILLISECONDS_PER_SECOND = 1_000


def show_traces(
    admin: AdminOption = DEFAULT_ADMIN_ADDRESS,
    key: KeyOption = "",
    json: JsonOption = False,
    trace: Annotated[str, typer.Option(help="Show only the spans of this trace.")] = "",
    limit: Annotated[
        int, typer.Option(min=1, max=2_000, help="Maximum number of spans.")
    ] = 100,
) -> None:
    """Show the spans that a router finished last."""
    with report_errors():
        query = {"trace_id": trace, "limit": str(limit)}
        document = AdminClient(admin, key).get_document("/v1/traces", **query)
        if json:
            print_json(document)
            return
        rows = [
            (
                span["trace_id"],
                span["parent_id"] or "-",
                span["span_id"],
                span["name"],
                f"{span['duration'] * MILLISECONDS_PER_SECOND:.2f}",
                span["status"],
            )
            for span in document["spans"]
        ]
        print_table("Spans", ("trace", "parent", "span", "hop", "ms", "status"), rows)
