"""
Register fixtures and pass them to test functions.

A test function requests a fixture by naming a parameter after it. Each fixture
is entered as a context manager before the test and closed after it.
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
    """Register a generator function as the fixture of the same name."""
    made = contextlib.contextmanager(generator_function)
    _SYNC_FIXTURES[generator_function.__name__] = made
    return made


def async_fixture(
    generator_function: Callable[[], AsyncIterator[Any]],
) -> Callable[[], Any]:
    """Register an async generator function as the fixture of the same name."""
    made = contextlib.asynccontextmanager(generator_function)
    _ASYNC_FIXTURES[generator_function.__name__] = made
    return made


def call_with_fixtures(function: Callable[..., Any]) -> None:
    """Call a synchronous test function with the fixtures that it requests."""
    with contextlib.ExitStack() as stack:
        values = {
            name: stack.enter_context(_SYNC_FIXTURES[name]())
            for name in inspect.signature(function).parameters
        }
        function(**values)


async def await_with_fixtures(function: Callable[..., Any]) -> None:
    """Await an asynchronous test function with its requested fixtures."""
    async with contextlib.AsyncExitStack() as stack:
        values: dict[str, Any] = {}
        for name in inspect.signature(function).parameters:
            if name in _ASYNC_FIXTURES:
                values[name] = await stack.enter_async_context(_ASYNC_FIXTURES[name]())
            else:
                values[name] = stack.enter_context(_SYNC_FIXTURES[name]())
        await function(**values)
