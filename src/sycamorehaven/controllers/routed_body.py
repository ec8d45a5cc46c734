"""Bodies of answers on published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator


class ClosableRun(Protocol):
    """The run that produces a body."""

    def close(self) -> None:
        """Close the connection and release the reservation on the server."""
        ...


class RoutedBody:
    """
    The body of an answer while it is sent to the client.

    ``aclose`` ends the run even if nothing was read from the body. Closing a
    plain generator that has not started would not run its cleanup.

    :param run: the run that produces the body.
    :param chunks: the chunks of the body.
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
