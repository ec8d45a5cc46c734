"""Checks on parsed TOML tables that report every fault with its path."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from sycamorehaven.exceptions.faults import Fault

T = TypeVar("T")
Table = Mapping[str, Any]


def join_path(path: str, key: str) -> str:
    """Return the dotted path of ``key`` below ``path``."""
    return f"{path}.{key}" if path else key


def find_unknown_keys(path: str, table: Table, known: set[str]) -> list[Fault]:
    """Return a fault for each key of ``table`` that is not in ``known``."""
    return [
        Fault(
            join_path(path, key),
            "unknown_key",
            "the key is not known",
            f"remove it or use one of {', '.join(sorted(known))}",
        )
        for key in table
        if key not in known
    ]


def convert_table(path: str, table: object, kind: type[T]) -> T | list[Fault]:
    """
    Return ``table`` as the ``TypedDict`` ``kind``, or the faults found.

    :param path: dotted path of the table, for the faults.
    :param kind: a ``TypedDict`` whose annotations may carry ``msgspec.Meta``.
    """
    if not isinstance(table, Mapping):
        return [Fault(path, "not_a_table", "a table is expected", "write a table")]
    faults = find_unknown_keys(path, table, set(kind.__annotations__))
    try:
        value = msgspec.convert(table, kind, strict=True)
    except msgspec.ValidationError as error:
        faults.append(_describe(path, error))
        return faults
    return faults or value


def _describe(path: str, error: msgspec.ValidationError) -> Fault:
    detail, _, place = str(error).partition(" - at `$")
    key = place.rstrip("`").lstrip(".").removeprefix("[...]")
    full = join_path(path, key) if key else path
    return Fault(full, "wrong_value", detail, "write a value of this kind")
