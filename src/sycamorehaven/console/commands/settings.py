"""``sycamorehaven settings``: checks a settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from sycamorehaven.exceptions.faults import SettingsError
from sycamorehaven.settings import RouterSettings

settings_commands = typer.Typer(no_args_is_help=True, help="Settings of a router.")


@settings_commands.callback()
def describe() -> None:
    """Work with the settings of a router."""


@settings_commands.command("check")
def check_settings(
    file: Annotated[Path, typer.Argument(help="TOML file with the settings.")],
) -> None:
    """Check a settings file; exit 0 if it is right, 2 if not."""
    try:
        RouterSettings.from_file(file)
    except SettingsError as error:
        for fault in error.faults:
            typer.echo(fault.format(), err=True)
        raise typer.Exit(2) from error
    typer.echo("the settings are valid")
