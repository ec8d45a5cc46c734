"""Command-line options that several commands share."""

from __future__ import annotations

from typing import Annotated

import typer

AdminOption = Annotated[
    str,
    typer.Option(
        "--admin",
        envvar="SYCAMOREHAVEN_ADMIN",
        help="Address of a router's [admin] listener, ip:port or URL.",
    ),
]
KeyOption = Annotated[
    str,
    typer.Option(
        "--key",
        envvar="SYCAMOREHAVEN_ADMIN_KEY",
        help="Admin key of the router; the variable keeps it out of shell history.",
        show_default=False,
        show_envvar=True,
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]
DEFAULT_ADMIN_ADDRESS = "127.0.0.1:7300"
"""Address of the ``[admin]`` listener that commands query by default."""
