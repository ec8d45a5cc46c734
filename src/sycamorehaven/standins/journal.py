"""A record of what a stand-in ran that outlives its process."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

JournalOption = Annotated[
    Path | None, typer.Option(help="File to which each run adds a line.")
]


class RunJournal:
    """
    Writes a JSON line a run, before the run starts.

    :param path: the file, ``None`` to write nothing.
    """

    def __init__(self, path: Path | None = None) -> None:
        self._file = None if path is None else path.open("ab", buffering=0)

    def record_run(self, what: str) -> None:
        """Note a run of a prompt or of a booking's body."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(what) + b"\n")


def read_journal(path: Path) -> list[str]:
    """Return what ran, in order; nothing if the file is missing."""
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=str) for line in path.open("rb")]
