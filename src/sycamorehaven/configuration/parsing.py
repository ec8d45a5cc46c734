"""
Parsing of a configuration text, a table at a time.

The text is split at its table headers. The tables of workspaces and backend
servers are by far the most, each stands alone, and one change touches few of
them: each is parsed once and kept by its text. The result is always what
``tomllib`` gives for the whole text.
"""

from __future__ import annotations

import functools
import re
import tomllib
from typing import Any, NamedTuple

from sycamorehaven.exceptions.validation import ConfigurationError, ValidationFault

_TABLE_START = re.compile(r"(?m)^(?=\[)")
_ENTRY_HEADER = re.compile(
    r"\[(workspaces|servers)\.([A-Za-z0-9_-]+)\][ \t]*(?:#.*)?\r?\n"
)
_ENTRY_SECTIONS = ("workspaces", "servers")
_ENTRY_CACHE_SIZE = 16_384
"""Tables kept by their text: several times the target's 2,200."""


class SectionEntry(NamedTuple):
    """
    A table of one workspace or backend server.

    :ivar section: ``"workspaces"`` or ``"servers"``.
    :ivar name: the table's name.
    :ivar table: its keys; not to be changed, it is shared.
    """

    section: str
    name: str
    table: dict[str, Any]


class ParsedText(NamedTuple):
    """
    A parsed text.

    :ivar document: as ``tomllib`` gives it but for the order of tables.
    :ivar blocks: the text of rows that stand alone, by section and name.
    """

    document: dict[str, Any]
    entry_texts: dict[tuple[str, str], str]


def split_blocks(text: str) -> list[str]:
    """Return the text in pieces, each but the first from a table header on."""
    return _TABLE_START.split(text)


def parse_text(text: str) -> ParsedText:
    """
    Return the document of a text.

    :raises ConfigurationError: if the text is not TOML.
    """
    parsed = _parse_by_entries(text)
    if parsed is not None:
        return parsed
    try:
        return ParsedText(tomllib.loads(text), {})
    except (ValueError, RecursionError, OverflowError) as error:
        fault = ValidationFault(
            "text", "not_toml", str(error), "correct the TOML syntax"
        )
        raise ConfigurationError([fault]) from error


def _parse_by_entries(text: str) -> ParsedText | None:
    """Return the document, ``None`` if the text has to be parsed whole."""
    sections: dict[str, dict[str, Any]] = {}
    blocks: dict[tuple[str, str], str] = {}
    runs: list[list[str]] = [[]]
    for block in split_blocks(text):
        row = parse_entry(block)
        if row is None:
            runs[-1].append(block)
            continue
        if row.name in sections.setdefault(row.section, {}):
            return None
        sections[row.section][row.name] = row.table
        blocks[row.section, row.name] = block
        runs.append([])
    rest = _parse_remainder(["".join(run) for run in runs if run])
    if rest is None or any(name in rest for name in _ENTRY_SECTIONS):
        return None
    return ParsedText({**rest, **sections}, blocks)


def _parse_remainder(runs: list[str]) -> dict[str, Any] | None:
    """
    Return what stands between rows.

    A run that does not parse alone may have been split inside a string or an
    array, so the text has to be parsed whole.
    """
    try:
        for run in runs:
            tomllib.loads(run)
        return tomllib.loads("".join(runs))
    except (ValueError, RecursionError, OverflowError):
        return None


@functools.lru_cache(maxsize=_ENTRY_CACHE_SIZE)
def parse_entry(block: str) -> SectionEntry | None:
    """Return the block as a row, ``None`` if it does not stand alone."""
    header = _ENTRY_HEADER.match(block)
    if header is None:
        return None
    section, name = header.groups()
    try:
        document = tomllib.loads(block)
    except (ValueError, RecursionError, OverflowError):
        return None
    if list(document) != [section] or list(document[section]) != [name]:
        return None
    return SectionEntry(section, name, document[section][name])
