"""Bodies of answers on published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator


class ClosableRun(Protocol):
    """What produces a body."""

    def close(self) -> None:
        """Give the connection and the place at the server back."""
        ...


class RoutedBody:
    """
    The body of an answer on its way to the client.

    Closing it ends the run also if nothing was read from it, which closing a
    generator that has not started would not do.

    :param run: the request.
    :param chunks: the body.
    """

    def __init__(self, run: ClosableRun, chunks: AsyncGenerator[bytes, None]) -> None:
        self._run = run
        self._chunks = chunks

    def __aiter__(self) -> RoutedBody:
        return self

    async def __anext__(self) -> bytes:
        return await anext(self._chunks)

    async def aclose(self) -> None:
        """End the run unless it has ended."""
        try:
            await self._chunks.aclose()
        finally:
            self._run.close()


async def yield_body(body: bytes) -> AsyncGenerator[bytes, None]:
    """Yield a body that is whole."""
    if body:
        yield body
