"""Find test functions and wrap them as ``unittest`` test cases."""

from __future__ import annotations

import asyncio
import functools
import importlib
import inspect
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, Any

from tests.support.fixtures import await_with_fixtures, call_with_fixtures

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).parents[2]
TEST_TIMEOUT_SECONDS = 120.0
"""Seconds after which an asynchronous test fails because it hangs."""


class NamedTestCase(unittest.FunctionTestCase):
    """
    A test function as a test case that is identified by its dotted name.

    :param name: dotted name, such as ``tests.decisions.test_roles.test_x``.
    :param function: the test, which takes no arguments.
    """

    def __init__(self, name: str, function: Callable[[], None]) -> None:
        super().__init__(function)
        self._name = name

    def id(self) -> str:
        """Return the dotted name."""
        return self._name


def list_modules(pattern: str) -> list[str]:
    """
    Return the dotted names of the test modules that match a pattern.

    A module matches if its name contains the pattern or begins it. If none
    matches, the pattern may be part of the name of a test function, and all
    modules are returned.
    """
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(p.relative_to(ROOT).with_suffix("").parts) for p in paths]
    chosen = [n for n in names if pattern in n or pattern.startswith(n)]
    return chosen or names


def load_cases(pattern: str = "") -> list[NamedTestCase]:
    """
    Return the test cases whose dotted name contains ``pattern``.

    A module that cannot be imported yields one test case that fails.
    """
    cases: list[NamedTestCase] = []
    for name in list_modules(pattern):
        try:
            module = importlib.import_module(name)
        except Exception as error:
            cases.append(
                NamedTestCase(name, functools.partial(_raise_import_error, error))
            )
            continue
        cases += [
            NamedTestCase(f"{name}.{key}", bind_fixtures(value))
            for key, value in vars(module).items()
            if key.startswith("test_") and inspect.isfunction(value)
        ]
    return [case for case in cases if pattern in case.id() or not pattern]


def bind_fixtures(function: Callable[..., Any]) -> Callable[[], None]:
    """Bind a test function to its fixtures; return a function to call."""
    if inspect.iscoroutinefunction(function):
        return functools.partial(_run_async_test, function)
    return functools.partial(call_with_fixtures, function)


def _run_async_test(function: Callable[..., Any]) -> None:
    async def run() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await await_with_fixtures(function)

    asyncio.run(run())


def _raise_import_error(error: Exception) -> None:
    raise error
