"""
Shared fixtures of test functions.

A test function names the fixtures that it wants as its parameters; the loader
enters each as a context manager and closes it after the test.
"""

from __future__ import annotations

import contextlib
import inspect
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

_SYNC_FIXTURES: dict[str, Callable[[], Any]] = {}
_ASYNC_FIXTURES: dict[str, Callable[[], Any]] = {}


def fixture(generator_function: Callable[[], Iterator[Any]]) -> Callable[[], Any]:
    """Register a generator function as the fixture of its name."""
    made = contextlib.contextmanager(generator_function)
    _SYNC_FIXTURES[generator_function.__name__] = made
    return made


def async_fixture(
    generator_function: Callable[[], AsyncIterator[Any]],
) -> Callable[[], Any]:
    """Register an async generator function as the fixture of its name."""
    made = contextlib.asynccontextmanager(generator_function)
    _ASYNC_FIXTURES[generator_function.__name__] = made
    return made


def call_with_fixtures(function: Callable[..., Any]) -> None:
    """Call a test that is a plain function."""
    with contextlib.ExitStack() as stack:
        values = {
            name: stack.enter_context(_SYNC_FIXTURES[name]())
            for name in inspect.signature(function).parameters
        }
        function(**values)


async def await_with_fixtures(function: Callable[..., Any]) -> None:
    """Await a test that is a coroutine function."""
    async with contextlib.AsyncExitStack() as stack:
        values: dict[str, Any] = {}
        for name in inspect.signature(function).parameters:
            if name in _ASYNC_FIXTURES:
                values[name] = await stack.enter_async_context(_ASYNC_FIXTURES[name]())
            else:
                values[name] = stack.enter_context(_SYNC_FIXTURES[name]())
        await function(**values)
