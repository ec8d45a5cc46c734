"""A file that records the runs of a stand-in beyond the end of its process."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

JournalOption = Annotated[
    Path | None, typer.Option(help="File to which a line is appended for each run.")
]


class RunJournal:
    """
    Appends a JSON string to a file before each run starts.

    :param path: path of the file, ``None`` to record nothing.
    """

    def __init__(self, path: Path | None = None) -> None:
        self._file = None if path is None else path.open("ab", buffering=0)

    def record_run(self, request: str) -> None:
        """
        Record a run.

        :param request: the prompt or the body of the booking.
        """
        if self._file is not None:
            self._file.write(msgspec.json.encode(request) + b"\n")


def read_journal(path: Path) -> list[str]:
    """Return the recorded runs in order, none if the file does not exist."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=str) for line in path.open("rb")]
