"""Validation of parsed TOML tables; it reports every fault with its path."""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable, Mapping
from typing import (
    Any,
    NamedTuple,
    NotRequired,
    TypeVar,
    cast,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

from sycamorehaven.exceptions.validation import ValidationFault

T = TypeVar("T")
Table = Mapping[str, Any]
"""A parsed TOML table."""


class KeyRule(NamedTuple):
    """
    Constraints on one key of a table.

    :ivar value_type: type of the value, which may carry a ``msgspec.Meta``.
    :ivar required: whether the key must be present.
    """

    value_type: Any
    required: bool


def join_path(path: str, key: str) -> str:
    """Return the dotted path of ``key`` below ``path``."""
    return f"{path}.{key}" if path else key


def find_unknown_keys(
    path: str, table: Table, known: set[str]
) -> list[ValidationFault]:
    """
    Return a fault for each unknown key of a table.

    :param path: dotted path of the table.
    :param table: the parsed table.
    :param known: names of the known keys.
    """
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


def convert_table(
    path: str, table: object, table_type: type[T]
) -> T | list[ValidationFault]:
    """
    Convert a parsed table to a ``TypedDict``.

    :param path: dotted path of the table, for the faults.
    :param table: the parsed table.
    :param table_type: a ``TypedDict`` whose annotations may carry a
        ``msgspec.Meta``.
    :return: the converted table, or every fault found.
    """
    if not isinstance(table, Mapping):
        return [
            ValidationFault(path, "not_a_table", "a table is expected", "write a table")
        ]
    rules = _collect_key_rules(cast("Any", table_type))
    value = _convert_valid_table(table, table_type, rules)
    if value is not None:
        return value
    faults = find_unknown_keys(path, table, set(rules))
    for key, key_rule in rules.items():
        key_path = join_path(path, key)
        if key in table:
            faults += _check_value(key_path, table[key], key_rule.value_type)
        elif key_rule.required:
            faults.append(
                ValidationFault(
                    key_path, "missing_key", "the key is missing", "add the key"
                )
            )
    return faults or msgspec.convert(table, table_type, strict=True)


def _convert_valid_table(
    table: Table, table_type: type[T], rules: Mapping[str, KeyRule]
) -> T | None:
    """
    Convert a table that has no fault.

    :return: the converted table, ``None`` if the table has a fault.
    """
    if not all(key in rules for key in table) or not _are_all_finite(table.values()):
        return None
    try:
        return msgspec.convert(table, table_type, strict=True)
    except (msgspec.ValidationError, OverflowError):
        return None


def _are_all_finite(values: Iterable[object]) -> bool:
    return all(math.isfinite(v) for v in values if isinstance(v, float))


@functools.cache
def _collect_key_rules(table_type: Any) -> dict[str, KeyRule]:
    key_rules: dict[str, KeyRule] = {}
    for key, hint in get_type_hints(table_type, include_extras=True).items():
        optional = get_origin(hint) is NotRequired
        key_rules[key] = KeyRule(get_args(hint)[0] if optional else hint, not optional)
    return key_rules


def _check_value(path: str, value: object, value_type: Any) -> list[ValidationFault]:
    if get_origin(value_type) is list and isinstance(value, list):
        (item_type,) = get_args(value_type)
        return [
            fault
            for index, item in enumerate(value)
            for fault in _check_value(f"{path}[{index}]", item, item_type)
        ]
    if isinstance(value, float) and not math.isfinite(value):
        return [_create_value_fault(path, f"{value} is not a finite number")]
    try:
        msgspec.convert(value, value_type, strict=True)
    except (msgspec.ValidationError, OverflowError) as error:
        return [_create_value_fault(path, str(error))]
    return []


def _create_value_fault(path: str, detail: str) -> ValidationFault:
    return ValidationFault(path, "wrong_value", detail, "write a value of this kind")
