"""
Incremental parsing of a configuration text.

The text is split into blocks at its table headers. Most blocks are the table
of a single workspace or backend server. Such a block can be parsed on its
own, and a new revision of the text usually changes few of them. Each of these
blocks is therefore parsed once and its result cached by the block's text. The
resulting document always equals what ``tomllib`` returns for the whole text.
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
"""
Workspace and server tables whose parsed form is cached, by their text.

The size is several times the 2,200 tables of the fleet's target size.
"""


class SectionEntry(NamedTuple):
    """
    The parsed table of one workspace or backend server.

    :ivar section: ``"workspaces"`` or ``"servers"``.
    :ivar name: name of the workspace or backend server.
    :ivar table: keys and values of the table. It is shared between callers
        and must not be modified.
    """

    section: str
    name: str
    table: dict[str, Any]


class ParsedText(NamedTuple):
    """
    A parsed configuration text.

    :ivar document: the document as ``tomllib`` returns it, except for the
        order of its tables.
    :ivar entry_texts: text of each workspace or server table that was parsed
        on its own, by section and name.
    """

    document: dict[str, Any]
    entry_texts: dict[tuple[str, str], str]


def split_blocks(text: str) -> list[str]:
    """
    Return the blocks of a text.

    Each block except the first begins at a table header. The blocks join to
    the text.
    """
    return _TABLE_START.split(text)


def parse_text(text: str) -> ParsedText:
    """
    Parse a configuration text.

    :raises ConfigurationError: if the text is not valid TOML.
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
    """Parse a text block by block; return ``None`` if that is not possible."""
    sections: dict[str, dict[str, Any]] = {}
    entry_texts: dict[tuple[str, str], str] = {}
    runs: list[list[str]] = [[]]
    for block in split_blocks(text):
        entry = parse_entry(block)
        if entry is None:
            runs[-1].append(block)
            continue
        if entry.name in sections.setdefault(entry.section, {}):
            return None
        sections[entry.section][entry.name] = entry.table
        entry_texts[entry.section, entry.name] = block
        runs.append([])
    remainder = _parse_remainder(["".join(run) for run in runs if run])
    if remainder is None or any(name in remainder for name in _ENTRY_SECTIONS):
        return None
    return ParsedText({**remainder, **sections}, entry_texts)


def _parse_remainder(runs: list[str]) -> dict[str, Any] | None:
    """
    Parse the text between the workspace and server tables.

    Returns ``None`` if a run does not parse on its own. The text may then have
    been split inside a string or an array, so it must be parsed as a whole.

    :param runs: runs of adjacent blocks, each joined to one text.
    """
    try:
        for run in runs:
            tomllib.loads(run)
        return tomllib.loads("".join(runs))
    except (ValueError, RecursionError, OverflowError):
        return None


@functools.lru_cache(maxsize=_ENTRY_CACHE_SIZE)
def parse_entry(block: str) -> SectionEntry | None:
    """
    Parse a block that is the table of one workspace or backend server.

    Returns ``None`` for any other block.
    """
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
