"""
Memory for what clients have sent, shared by all of their connections.

It addresses crowds whose requests are legal one by one, but together exceed
the memory of the machine.
"""

from __future__ import annotations

BUDGET_RATIO = 0.25
"""Fraction of the memory of a process that requests of clients may occupy. A
router needs 65 MB for itself; of 160 MB, a quarter holds 400 bodies of 100 KB,
and as much is left for the copies that are on their way to servers."""
SLACK_RATIO = 0.25
"""Fraction of the budget by which it may be exceeded while requests that make
way still occupy their memory, which takes some turns of the event loop."""
MEGABYTE = 1_048_576
FIELD_BYTES = 512
"""Bytes that one header field occupies besides its text; 400 in the parser and
the others in the tuples that are forwarded."""
HEAD_BYTE_FACTOR = 3
"""Copies of the text of a head: as it arrived, and decoded twice."""


def choose_budget(memory: float | None, machine_bytes: int) -> int:
    """
    Return the bytes that requests of clients may occupy.

    :param memory: megabytes that the process may use; ``None`` for the memory
        of the machine.
    :param machine_bytes: memory of the machine.
    """
    available = machine_bytes if memory is None else memory * MEGABYTE
    return int(available * BUDGET_RATIO)


def measure_head(size: int, fields: int) -> int:
    """
    Return the bytes of memory that a head occupies.

    :param size: its length as it arrived, in bytes.
    :param fields: number of its fields.
    """
    return size * HEAD_BYTE_FACTOR + fields * FIELD_BYTES


class ByteBudget:
    """
    Bytes that requests occupy.

    :param limit: bytes that all of them may occupy together.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._total = 0
        self._leaving = 0

    @property
    def limit(self) -> int:
        """Bytes that all requests may occupy together."""
        return self._limit

    @property
    def total(self) -> int:
        """Bytes that all requests occupy."""
        return self._total

    @property
    def is_exceeded(self) -> bool:
        """Whether requests have to make way."""
        return self._total - self._leaving > self._limit

    @property
    def is_full(self) -> bool:
        """Whether there is no memory for what has arrived."""
        return self.is_exceeded or self._total > self._limit * (1 + SLACK_RATIO)

    def draw(self, size: int) -> bool:
        """Record bytes that have arrived; return whether they fit."""
        self._total += size
        return not self.is_full

    def expect(self, size: int) -> None:
        """Record that bytes will be released soon, or were if negative."""
        self._leaving += size

    def release(self, size: int) -> None:
        """Record that bytes are no longer occupied."""
        self._total -= size
