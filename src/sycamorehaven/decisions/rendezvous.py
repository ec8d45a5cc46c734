"""
Rendezvous hashing, which assigns roles to the live members.

Each candidate has a pseudo-random rank for a key, and the candidate with the
highest rank holds the key. If a candidate leaves, only its own keys move.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """
    Return the candidates in their order for a key, the holder first.

    :param key: what is assigned, for example ``server/engine-1``.
    :param candidates: names of the candidates, such as hosts.
    """

    def rank(candidate: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()), candidate

    return sorted(candidates, key=rank, reverse=True)


def choose_candidate(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate that holds a key, ``None`` if there is none."""
    ranked = rank_candidates(key, candidates)
    return ranked[0] if ranked else None
