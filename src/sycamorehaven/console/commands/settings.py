"""``sycamorehaven settings``: checks a settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import EXIT_INVALID, print_json
from sycamorehaven.exceptions.faults import Fault, SettingsError
from sycamorehaven.settings import RouterSettings

settings_commands = typer.Typer(no_args_is_help=True, help="Settings of a router.")


@settings_commands.callback()
def describe() -> None:
    """Work with the settings of a router."""


@settings_commands.command("check")
def check_settings(
    file: Annotated[Path, typer.Argument(help="TOML file with the settings.")],
    json: JsonOption = False,
) -> None:
    """Check a settings file; exit 0 if it is right, 2 if not."""
    faults = find_faults(file)
    if json:
        print_json({"valid": not faults, "faults": [f._asdict() for f in faults]})
    else:
        for fault in faults:
            typer.echo(fault.format(), err=True)
    if faults:
        raise typer.Exit(EXIT_INVALID)
    if not json:
        typer.echo("the settings are valid")


def find_faults(file: Path) -> list[Fault]:
    """Return every fault of the settings in a file."""
    try:
        RouterSettings.from_file(file)
    except SettingsError as error:
        return error.faults
    return []
