"""``sycamorehaven settings``: validates a settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import report_faults
from sycamorehaven.exceptions.validation import SettingsError, ValidationFault
from sycamorehaven.settings import RouterSettings

settings_commands = typer.Typer(no_args_is_help=True, help="Settings of a router.")


@settings_commands.callback()
def group_settings_commands() -> None:
    """Work with the settings of a router."""


@settings_commands.command("check")
def check_settings(
    file: Annotated[Path, typer.Argument(help="TOML file with the settings.")],
    json: JsonOption = False,
) -> None:
    """Validate a settings file; exit with 0 if it is valid, 2 if not."""
    report_faults(find_faults(file), "the settings are valid", json=json)


def find_faults(file: Path) -> list[ValidationFault]:
    """Return every fault of a settings file."""
    try:
        RouterSettings.from_file(file)
    except SettingsError as error:
        return error.faults
    return []
