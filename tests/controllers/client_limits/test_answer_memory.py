"""Test the memory of answers that are read before they are passed on."""

from __future__ import annotations

from sycamorehaven.controllers.client_limits.answer_memory import (
    MAX_PIECE_BYTES,
    AnswerMemory,
    yield_pieces,
)


def test_answers_share_one_limit_until_they_are_closed() -> None:
    # Guards against clients that don't read and make each answer stay.
    memory = AnswerMemory(100)
    first, second = memory.open(), memory.open()
    assert first.grow(60)
    assert not second.grow(60)
    first.close()
    first.close()
    assert memory.total == 60
    second.close()
    assert memory.total == 0


async def test_large_body_is_written_in_pieces() -> None:
    body = b"x" * (2 * MAX_PIECE_BYTES + 1)
    pieces = [piece async for piece in yield_pieces(body)]
    assert [len(piece) for piece in pieces] == [MAX_PIECE_BYTES, MAX_PIECE_BYTES, 1]
    assert not [piece async for piece in yield_pieces(b"")]
