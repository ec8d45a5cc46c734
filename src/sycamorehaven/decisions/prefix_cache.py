"""Which parts of prompts a backend server is believed to keep in memory."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.requests import PromptPart

DROPPED_KEY_BITS = 2
"""Bits of a part's key that are dropped, so that messages can carry it."""
CACHE_MEMORY_RATIO = 1.0
"""Part of an engine's memory that keeps parts; the rest serves what runs."""
DEFAULT_CAPACITY_TOKENS = 400_000
"""Tokens assumed for an engine that does not tell its memory."""


def hash_prefixes(
    model: str, parts: Iterable[PromptPart]
) -> tuple[tuple[int, int], ...]:
    """
    Return a key and the tokens of each part, in their order.

    An engine keeps a part only behind the parts before it, so the key covers
    the model and all parts up to this one.
    """
    prefixes, key = [], xxhash.xxh3_64_intdigest(model.encode())
    for part in parts:
        key = xxhash.xxh3_64_intdigest(f"{key}/{part.key}".encode())
        prefixes.append((key >> DROPPED_KEY_BITS, part.tokens))
    return tuple(prefixes)


class PrefixCache:
    """
    The parts that one server keeps, the least recently used first.

    :param capacity: tokens that fit.
    """

    def __init__(self, capacity_tokens: int = DEFAULT_CAPACITY_TOKENS) -> None:
        self._capacity_tokens = capacity_tokens * CACHE_MEMORY_RATIO
        self._prefixes: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0

    def resize(self, capacity_tokens: int) -> None:
        """Keep ``capacity`` tokens from now on."""
        self._capacity_tokens = capacity_tokens * CACHE_MEMORY_RATIO

    def count_cached_tokens(self, prefixes: Iterable[tuple[int, int]]) -> int:
        """Return the tokens of a prompt that need not be read again."""
        cached = 0
        for key, tokens in prefixes:
            if key not in self._prefixes:
                break
            cached += tokens
        return cached

    def record_prompt(self, prefixes: Iterable[tuple[int, int]]) -> None:
        """Take in that the server reads a prompt."""
        for key, tokens in prefixes:
            self._cached_tokens += tokens - self._prefixes.pop(key, 0)
            self._prefixes[key] = tokens
        while self._cached_tokens > self._capacity_tokens and self._prefixes:
            self._cached_tokens -= self._prefixes.popitem(last=False)[1]

    def clear(self) -> None:
        """Forget everything: the server has started again."""
        self._prefixes.clear()
        self._cached_tokens = 0
