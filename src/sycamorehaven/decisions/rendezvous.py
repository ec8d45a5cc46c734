"""
Rendezvous hashing: assignment of roles over the live membership.

Each candidate gets a pseudo-random rank for the key; the highest wins. A
candidate that leaves moves only the keys that it held.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """
    Return the candidates, the one to hold ``key`` first.

    :param key: what is assigned, as ``server/engine-1``.
    :param candidates: host names.
    """

    def rank(candidate: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()), candidate

    return sorted(candidates, key=rank, reverse=True)


def choose_candidate(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate that holds ``key``, or ``None`` without any."""
    ranked = rank_candidates(key, candidates)
    return ranked[0] if ranked else None
