"""``sycamorehaven``: the command-line tool."""

from __future__ import annotations

import typer

from sycamorehaven.console.commands.settings import settings_commands

application = typer.Typer(no_args_is_help=True, add_completion=False)
application.add_typer(settings_commands, name="settings")


def main() -> None:
    """Run the command line."""
    application()
