"""Prints the results of commands as tables or as JSON."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from sycamorehaven.exceptions.base import SycamorehavenError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from rich.console import JustifyMethod

    from sycamorehaven.exceptions.validation import ValidationFault

EXIT_FAILED = 1
"""Exit status if a command failed."""
EXIT_INVALID = 2
"""Exit status if the input of a command is invalid."""
PIPE_WIDTH_COLUMNS = 160
"""Width of a table that is not printed on a terminal."""


def print_json(document: Any) -> None:
    """Print a document as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(document), indent=2)
    typer.echo(encoded.decode())


def print_table(
    title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]
) -> None:
    """Print a table; numeric columns are aligned to the right."""
    table = Table(title=title, title_justify="left")
    cell_rows = [[format_cell(cell) for cell in row] for row in rows]
    for index, column in enumerate(columns):
        numeric = bool(cell_rows) and all(
            _is_number(cells[index]) for cells in cell_rows
        )
        justify: JustifyMethod = "right" if numeric else "left"
        table.add_column(column, justify=justify, overflow="fold")
    for cells in cell_rows:
        table.add_row(*cells)
    console = Console()
    if not console.is_terminal:
        console = Console(width=PIPE_WIDTH_COLUMNS)
    console.print(table, markup=False)


def format_cell(value: Any) -> str:
    """Format a value for a table cell."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}"
    return str(value)


@contextlib.contextmanager
def report_errors() -> Iterator[None]:
    """
    Report a ``SycamorehavenError`` of the block in one line.

    :raises typer.Exit: with status ``EXIT_FAILED`` if there was an error.
    """
    try:
        yield
    except SycamorehavenError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(EXIT_FAILED) from error


def _is_number(text: str) -> bool:
    return text.replace(".", "", 1).replace("-", "", 1).isdigit()


def report_faults(
    faults: list[ValidationFault], success_message: str, *, json: bool
) -> None:
    """
    Print the faults of a file, or a message if it has none.

    :param faults: faults of the file.
    :param success_message: message to print if there is no fault.
    :param json: whether to print the result as JSON.
    :raises typer.Exit: with status ``EXIT_INVALID`` if there is a fault.
    """
    if json:
        print_json({"valid": not faults, "faults": [f._asdict() for f in faults]})
    else:
        for fault in faults:
            typer.echo(fault.format(), err=True)
    if faults:
        raise typer.Exit(EXIT_INVALID)
    if not json:
        typer.echo(success_message)
