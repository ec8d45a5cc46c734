"""``sycamorehaven configuration``: validates the operators' configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.console.options import JsonOption
from sycamorehaven.console.output import report_faults
from sycamorehaven.exceptions.validation import ConfigurationError, ValidationFault

configuration_commands = typer.Typer(
    no_args_is_help=True, help="The operators' configuration text."
)
PLACEHOLDER_REVISION = 1
"""Revision to validate a text with; the result does not depend on it."""


@configuration_commands.callback()
def group_configuration_commands() -> None:
    """Work with the operators' configuration text."""


@configuration_commands.command("check")
def check_configuration(
    file: Annotated[Path, typer.Argument(help="TOML file with the configuration.")],
    json: JsonOption = False,
) -> None:
    """Validate a text as routers do; exit with 0 if it is valid, 2 if not."""
    report_faults(find_faults(file), "the configuration is valid", json=json)


def find_faults(file: Path) -> list[ValidationFault]:
    """Return every fault of the configuration text in a file."""
    try:
        accept_text(file.read_bytes(), PLACEHOLDER_REVISION)
    except OSError as error:
        return [
            ValidationFault(str(file), "unreadable", str(error), "name a readable file")
        ]
    except ConfigurationError as error:
        return error.faults
    return []
