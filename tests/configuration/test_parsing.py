"""Parsing a table at a time gives what parsing the whole text gives."""

from __future__ import annotations

import tomllib

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.parsing import parse_row, parse_text
from sycamorehaven.exceptions.faults import ConfigurationError
from tests.support.large_configurations import (
    build_large_configuration,
    build_workspace_table,
)

PIECES = st.sampled_from(
    [
        "[workspaces.a]\n",
        "[workspaces.b]\n",
        "[servers.a] # c\n",
        "[servers]\n",
        "[workspaces.a.x]\n",
        "[services.s]\n",
        "[[services.s.calls]]\n",
        "[[workspaces.a]]\n",
        'k = "v"\n',
        "k.x = 1\n",
        "m = [\n[1],\n",
        "]\n",
        's = """\n',
        '"""\n',
        "workspaces = {}\n",
        "  [servers.b]\n",
    ]
)


def parse_whole(text: str) -> object:
    """Return the document by ``tomllib``, ``None`` if it is none."""
    try:
        return tomllib.loads(text)
    except ValueError:
        return None


@settings(derandomize=True, deadline=None, max_examples=1_000)
@given(st.lists(PIECES, max_size=8).map("".join))
def test_documents_are_the_same(text: str) -> None:
    try:
        document: object = parse_text(text).document
    except ConfigurationError:
        document = None
    assert document == parse_whole(text)


def test_one_change_parses_one_row() -> None:
    text = build_large_configuration(50, 50, 3)
    parse_text(text)
    before = parse_row.cache_info().misses
    parsed = parse_text(
        text.replace(build_workspace_table(7), build_workspace_table(7, 2.0))
    )
    rest = 1 + 2 * 3
    assert parse_row.cache_info().misses - before <= 1 + rest
    assert parsed.document["workspaces"]["workspace-7"]["weight"] == 2.0
