"""
Which suspects explain the losses of several backend servers.

A bad part of a prompt is there at every loss that it causes. So are the parts
that always come with it, and some that were there by chance. The suspect that
explains the most losses is blamed first, and those losses don't count against
others.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

MIN_LOSSES = 3
"""Number of lost servers from which a suspect is blamed."""
FIRST_BLOCK_SECONDS = 5.0
"""Time for which a suspect is blocked after ``MIN_LOSSES`` losses."""
BLOCK_GROWTH = 5.0
"""Factor by which each further loss lengthens the block."""
MAX_BLOCK_SECONDS = 600.0
"""Longest block, after which one request is tried."""


class Culprit(NamedTuple):
    """
    What is blamed for the loss of servers.

    :ivar keys: hashes of the suspects. If there are several, none of the
        losses tells them apart, and only requests with all of them are blamed.
    :ivar is_request: whether it is a request as a whole.
    :ivar losses: when each server was lost, in monotonic seconds.
    """

    keys: frozenset[int]
    is_request: bool
    losses: Mapping[str, float]

    @property
    def name(self) -> str:
        """Name in logs, the same on all routers."""
        return f"{min(self.keys):016x}"

    @property
    def blocked_until(self) -> float:
        """When one request may be tried, in monotonic seconds."""
        growth = BLOCK_GROWTH ** (len(self.losses) - MIN_LOSSES)
        block = min(FIRST_BLOCK_SECONDS * growth, MAX_BLOCK_SECONDS)
        return max(self.losses.values()) + block


def find_culprits(
    losses: Mapping[int, Mapping[str, float]], requests: Collection[int]
) -> tuple[Culprit, ...]:
    """
    Return the suspects that explain the losses.

    Of suspects that explain the same number of losses, a request goes first:
    its parts are in others, too.

    :param losses: for each suspect the lost servers, with the time of each
        loss in monotonic seconds.
    :param requests: the suspects that are requests as a whole.
    """
    culprits: list[Culprit] = []
    explained: set[str] = set()
    remaining = {
        suspect: set(servers)
        for suspect, servers in losses.items()
        if len(servers) >= MIN_LOSSES
    }
    while remaining:
        best = max(
            remaining,
            key=lambda suspect: (
                len(remaining[suspect] - explained),
                suspect in requests,
                suspect,
            ),
        )
        if len(remaining[best] - explained) < MIN_LOSSES:
            break
        is_request = best in requests
        keys = {best} if is_request else _list_equal(remaining, best, requests)
        culprits.append(Culprit(frozenset(keys), is_request, dict(losses[best])))
        explained |= remaining[best]
        for suspect in keys:
            del remaining[suspect]
    return tuple(culprits)


def _list_equal(
    remaining: Mapping[int, set[str]], best: int, requests: Collection[int]
) -> set[int]:
    """Return the parts that were there at the same losses as ``best``."""
    return {
        suspect
        for suspect, servers in remaining.items()
        if servers == remaining[best] and suspect not in requests
    }
