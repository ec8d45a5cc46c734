"""Model of the prompt prefixes that a backend server keeps in its cache."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.requests import PromptPart

DROPPED_KEY_BITS = 2
"""Bits of a hash that are dropped so that the key fits in messages."""
CACHE_MEMORY_RATIO = 1.0
"""Fraction of an engine's memory that is used as prefix cache; the rest holds
the running requests."""
DEFAULT_CAPACITY_TOKENS = 400_000
"""Capacity assumed for an engine that does not report its memory."""


def hash_prefixes(
    model: str, parts: Iterable[PromptPart]
) -> tuple[tuple[int, int], ...]:
    """
    Return the key and the number of tokens of each part of a prompt, in order.

    An engine can reuse a cached part only after the parts that precede it. The
    key of a part is therefore a hash of the model and of all parts up to and
    including this one.

    :param model: name of the model.
    :param parts: parts of the prompt in their order.
    """
    prefixes, key = [], xxhash.xxh3_64_intdigest(model.encode())
    for part in parts:
        key = xxhash.xxh3_64_intdigest(f"{key}/{part.key}".encode())
        prefixes.append((key >> DROPPED_KEY_BITS, part.tokens))
    return tuple(prefixes)


class PrefixIndex:
    """
    The servers that are expected to keep each prompt prefix.

    Looking up a prompt costs as much as there are servers that keep a part of
    it, however many servers there are.
    """

    def __init__(self) -> None:
        self._holders: dict[int, set[str]] = {}

    def add(self, key: int, server: str) -> None:
        """Record that a server keeps a prefix."""
        self._holders.setdefault(key, set()).add(server)

    def remove(self, key: int, server: str) -> None:
        """Record that a server no longer keeps a prefix."""
        holders = self._holders.get(key)
        if holders is None:
            return
        holders.discard(server)
        if not holders:
            del self._holders[key]

    def list_holders(
        self, prefixes: Iterable[tuple[int, int]]
    ) -> list[tuple[int, set[str]]]:
        """
        Return which servers keep the beginning of a prompt.

        :returns: leading tokens of the prompt and the servers that keep at
            least these, from the most tokens to the fewest.
        """
        levels: list[tuple[int, set[str]]] = []
        tokens_so_far = 0
        for key, tokens in prefixes:
            holders = self._holders.get(key)
            if levels and holders:
                holders = holders & levels[-1][1]
            if not holders:
                break
            tokens_so_far += tokens
            levels.append((tokens_so_far, holders))
        levels.reverse()
        return levels


class PrefixCache:
    """
    Prompt prefixes that one server is expected to keep, in LRU order.

    :param capacity_tokens: number of tokens that fit into the cache.
    :param index: index of all servers' prefixes, which is kept up to date.
    :param server: id of the server in the index.
    """

    def __init__(
        self,
        capacity_tokens: int = DEFAULT_CAPACITY_TOKENS,
        index: PrefixIndex | None = None,
        server: str = "",
    ) -> None:
        self._index = index or PrefixIndex()
        self._server = server
        self._capacity_tokens = capacity_tokens * CACHE_MEMORY_RATIO
        self._prefixes: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0

    def resize(self, capacity_tokens: int) -> None:
        """Change the capacity; it takes effect with the next prompt."""
        self._capacity_tokens = capacity_tokens * CACHE_MEMORY_RATIO

    def count_cached_tokens(self, prefixes: Iterable[tuple[int, int]]) -> int:
        """Return how many leading tokens of a prompt are cached."""
        cached = 0
        for key, tokens in prefixes:
            if key not in self._prefixes:
                break
            cached += tokens
        return cached

    def record_prompt(self, prefixes: Iterable[tuple[int, int]]) -> None:
        """Record that the server reads a prompt and evict old prefixes."""
        for key, tokens in prefixes:
            known = self._prefixes.pop(key, None)
            if known is None:
                self._index.add(key, self._server)
            self._cached_tokens += tokens - (known or 0)
            self._prefixes[key] = tokens
        while self._cached_tokens > self._capacity_tokens and self._prefixes:
            key, tokens = self._prefixes.popitem(last=False)
            self._cached_tokens -= tokens
            self._index.remove(key, self._server)

    def clear(self) -> None:
        """Drop all prefixes, because the server has restarted or is gone."""
        for key in self._prefixes:
            self._index.remove(key, self._server)
        self._prefixes.clear()
        self._cached_tokens = 0
