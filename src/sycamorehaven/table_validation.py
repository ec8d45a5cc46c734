"""Checks on parsed TOML tables that report every fault with its path."""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, NotRequired, TypeVar, cast, get_args, get_origin
from typing import get_type_hints as read_hints

import msgspec

from sycamorehaven.exceptions.validation import ValidationFault

T = TypeVar("T")
Table = Mapping[str, Any]


class KeyRule(NamedTuple):
    """
    What one key of a table must be.

    :ivar kind: type of the value, with its ``msgspec.Meta``.
    :ivar required: whether the key must be there.
    """

    value_type: Any
    required: bool


def join_path(path: str, key: str) -> str:
    """Return the dotted path of ``key`` below ``path``."""
    return f"{path}.{key}" if path else key


def find_unknown_keys(
    path: str, table: Table, known: set[str]
) -> list[ValidationFault]:
    """Return a fault for each key of ``table`` that is not in ``known``."""
    return [
        ValidationFault(
            join_path(path, key),
            "unknown_key",
            "the key is not known",
            f"remove it or use one of {', '.join(sorted(known))}",
        )
        for key in table
        if key not in known
    ]


def convert_table(path: str, table: object, kind: type[T]) -> T | list[ValidationFault]:
    """
    Return ``table`` as the ``TypedDict`` ``kind``, or every fault found.

    :param path: dotted path of the table, for the faults.
    :param kind: a ``TypedDict`` whose annotations may carry ``msgspec.Meta``.
    """
    if not isinstance(table, Mapping):
        return [
            ValidationFault(path, "not_a_table", "a table is expected", "write a table")
        ]
    rules = _collect_key_rules(cast("Any", kind))
    value = _convert_valid_table(table, kind, rules)
    if value is not None:
        return value
    faults = find_unknown_keys(path, table, set(rules))
    for key, rule in rules.items():
        place = join_path(path, key)
        if key in table:
            faults += _check_value(place, table[key], rule.value_type)
        elif rule.required:
            faults.append(
                ValidationFault(
                    place, "missing_key", "the key is missing", "add the key"
                )
            )
    return faults or msgspec.convert(table, kind, strict=True)


def _convert_valid_table(
    table: Table, kind: type[T], rules: Mapping[str, KeyRule]
) -> T | None:
    """Return a sound table, ``None`` if its faults are to be listed."""
    if not all(key in rules for key in table) or not _are_all_finite(table.values()):
        return None
    try:
        return msgspec.convert(table, kind, strict=True)
    except (msgspec.ValidationError, OverflowError):
        return None


def _are_all_finite(values: Iterable[object]) -> bool:
    return all(math.isfinite(v) for v in values if isinstance(v, float))


@functools.cache
def _collect_key_rules(kind: Any) -> dict[str, KeyRule]:
    key_rules: dict[str, KeyRule] = {}
    for key, hint in read_hints(kind, include_extras=True).items():
        optional = get_origin(hint) is NotRequired
        key_rules[key] = KeyRule(get_args(hint)[0] if optional else hint, not optional)
    return key_rules


def _check_value(path: str, value: object, kind: Any) -> list[ValidationFault]:
    if get_origin(kind) is list and isinstance(value, list):
        (element,) = get_args(kind)
        return [
            fault
            for index, item in enumerate(value)
            for fault in _check_value(f"{path}[{index}]", item, element)
        ]
    if isinstance(value, float) and not math.isfinite(value):
        return [_create_value_fault(path, f"{value} is not a finite number")]
    try:
        msgspec.convert(value, kind, strict=True)
    except (msgspec.ValidationError, OverflowError) as error:
        return [_create_value_fault(path, str(error))]
    return []


def _create_value_fault(path: str, detail: str) -> ValidationFault:
    return ValidationFault(path, "wrong_value", detail, "write a value of this kind")
