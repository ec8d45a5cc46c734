"""Which parts of prompts a backend server is believed to keep in memory."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.requests import PromptPart

SPARE_BITS = 2
"""Bits of a part's key that are dropped, so that messages can carry it."""
KEPT_SHARE = 1.0
"""Part of an engine's memory that keeps parts; the rest serves what runs."""
UNKNOWN_MEMORY = 400_000
"""Tokens assumed for an engine that does not tell its memory."""


def chain_parts(model: str, parts: Iterable[PromptPart]) -> tuple[tuple[int, int], ...]:
    """
    Return a key and the tokens of each part, in their order.

    An engine keeps a part only behind the parts before it, so the key covers
    the model and all parts up to this one.
    """
    chain, key = [], xxhash.xxh3_64_intdigest(model.encode())
    for part in parts:
        key = xxhash.xxh3_64_intdigest(f"{key}/{part.key}".encode())
        chain.append((key >> SPARE_BITS, part.tokens))
    return tuple(chain)


class PrefixCache:
    """
    The parts that one server keeps, the least recently used first.

    :param capacity: tokens that fit.
    """

    def __init__(self, capacity: int = UNKNOWN_MEMORY) -> None:
        self._capacity = capacity * KEPT_SHARE
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._total = 0

    def resize(self, capacity: int) -> None:
        """Keep ``capacity`` tokens from now on."""
        self._capacity = capacity * KEPT_SHARE

    def match(self, chain: Iterable[tuple[int, int]]) -> int:
        """Return the tokens of a prompt that need not be read again."""
        kept = 0
        for key, tokens in chain:
            if key not in self._parts:
                break
            kept += tokens
        return kept

    def note(self, chain: Iterable[tuple[int, int]]) -> None:
        """Take in that the server reads a prompt."""
        for key, tokens in chain:
            self._total += tokens - self._parts.pop(key, 0)
            self._parts[key] = tokens
        while self._total > self._capacity and self._parts:
            self._total -= self._parts.popitem(last=False)[1]

    def clear(self) -> None:
        """Forget everything: the server has started again."""
        self._parts.clear()
        self._total = 0
