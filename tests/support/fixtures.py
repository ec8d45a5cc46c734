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

_SYNCHRONOUS: dict[str, Callable[[], Any]] = {}
_ASYNCHRONOUS: dict[str, Callable[[], Any]] = {}


def fixture(maker: Callable[[], Iterator[Any]]) -> Callable[[], Any]:
    """Register a generator function as the fixture of its name."""
    made = contextlib.contextmanager(maker)
    _SYNCHRONOUS[maker.__name__] = made
    return made


def async_fixture(maker: Callable[[], AsyncIterator[Any]]) -> Callable[[], Any]:
    """Register an async generator function as the fixture of its name."""
    made = contextlib.asynccontextmanager(maker)
    _ASYNCHRONOUS[maker.__name__] = made
    return made


def call_with_fixtures(function: Callable[..., Any]) -> None:
    """Call a test that is a plain function."""
    with contextlib.ExitStack() as stack:
        values = {
            name: stack.enter_context(_SYNCHRONOUS[name]())
            for name in inspect.signature(function).parameters
        }
        function(**values)


async def await_with_fixtures(function: Callable[..., Any]) -> None:
    """Await a test that is a coroutine function."""
    async with contextlib.AsyncExitStack() as stack:
        values: dict[str, Any] = {}
        for name in inspect.signature(function).parameters:
            if name in _ASYNCHRONOUS:
                values[name] = await stack.enter_async_context(_ASYNCHRONOUS[name]())
            else:
                values[name] = stack.enter_context(_SYNCHRONOUS[name]())
        await function(**values)
