"""
Tests of the incremental parser.

It must return the same document as ``tomllib`` does for the whole text, and
parse only those tables again that have changed.
"""

from __future__ import annotations

import tomllib

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.configuration.parsing import parse_entry, parse_text
from sycamorehaven.exceptions.validation import ConfigurationError
from tests.support.large_configurations import (
    build_large_configuration,
    build_workspace_table,
)

TOML_LINES = st.sampled_from(
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


def parse_with_tomllib(text: str) -> object:
    """Return the document that ``tomllib`` parses, ``None`` if invalid."""
    try:
        return tomllib.loads(text)
    except ValueError:
        return None


@settings(derandomize=True, deadline=None, max_examples=1_000)
@given(st.lists(TOML_LINES, max_size=8).map("".join))
def test_document_equals_that_of_tomllib(text: str) -> None:
    try:
        document: object = parse_text(text).document
    except ConfigurationError:
        document = None
    assert document == parse_with_tomllib(text)


def test_only_the_changed_entry_is_parsed_again() -> None:
    text = build_large_configuration(50, 50, 3)
    parse_text(text)
    before = parse_entry.cache_info().misses
    parsed = parse_text(
        text.replace(build_workspace_table(7), build_workspace_table(7, 2.0))
    )
    blocks_of_services = 1 + 2 * 3
    assert parse_entry.cache_info().misses - before <= 1 + blocks_of_services
    assert parsed.document["workspaces"]["workspace-7"]["weight"] == 2.0
