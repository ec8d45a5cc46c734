"""Memory for answers that are read before they are passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.client_limits.byte_budget import ByteBudget

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

MAX_HELD_BYTES = 16_777_216
"""Bytes of answers that all requests may hold together; sixteen of the largest
answers, and a tenth of the memory of the smallest host. Further answers are
passed on as they arrive: clients that don't read would make them hold more."""
MAX_PIECE_BYTES = 65_536
"""Bytes that are written at a time. The rest of a larger piece would be copied
until the client takes it."""


class HeldAnswer:
    """
    The bytes of one answer.

    :param budget: the memory of all answers.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._size = 0

    def grow(self, size: int) -> bool:
        """Hold further bytes; return whether there is memory for them."""
        self._size += size
        return self._budget.draw(size)

    def close(self) -> None:
        """Release all bytes."""
        self._budget.release(self._size)
        self._size = 0


class AnswerMemory:
    """
    Memory for the answers of all requests.

    :param limit: bytes that they may hold together.
    """

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        self._budget = ByteBudget(limit)

    @property
    def total(self) -> int:
        """Bytes that all answers hold."""
        return self._budget.total

    def open(self) -> HeldAnswer:
        """Return an answer that holds nothing yet."""
        return HeldAnswer(self._budget)


async def yield_pieces(body: bytes) -> AsyncGenerator[bytes, None]:
    """Yield a complete body in pieces that are written one after another."""
    for start in range(0, len(body), MAX_PIECE_BYTES):
        yield body[start : start + MAX_PIECE_BYTES]
