"""
How much each workspace may take of what the engines give.

Load pattern: a few workspaces send many times their usual while the rest send
what they always do. The capacity of a window is divided max-min: who asks less
than an even share gets all of it, the others get the same.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

SPARE = 1.1
"""Room above what was given, for requests that are on their way."""
YIELD_MARGIN = 0.15
"""Difference in the parts of their due that two workspaces got, from which
one yields to the other."""
BUCKETS = 8
"""Steps in which the window slides."""


def find_level(asked: Iterable[float], capacity: float) -> float:
    """
    Return the most that a workspace gets, so that all get ``capacity``.

    :param asked: what each workspace asks.
    """
    waiting = sorted(asked)
    left = capacity
    for index, amount in enumerate(waiting):
        even = left / (len(waiting) - index)
        if amount > even:
            return even
        left -= amount
    return float("inf")


class UsageWindow:
    """
    What workspaces asked and got, over a sliding window, fleet-wide.

    :param length: seconds of the window.
    """

    def __init__(self, length: float) -> None:
        self._length = length
        self._step = length / BUCKETS
        self._buckets: deque[tuple[int, dict[str, list[float]]]] = deque()
        self._asked: dict[str, float] = {}
        self._given: dict[str, float] = {}

    @property
    def length(self) -> float:
        """Seconds of the window."""
        return self._length

    def add(self, workspace: str, asked: float, given: float, now: float) -> None:
        """Count what a workspace asked and got."""
        self._slide(now)
        number = int(now / self._step)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
        amounts = self._buckets[-1][1].setdefault(workspace, [0.0, 0.0])
        amounts[0] += asked
        amounts[1] += given
        self._asked[workspace] = self._asked.get(workspace, 0.0) + asked
        self._given[workspace] = self._given.get(workspace, 0.0) + given

    def find_given(self, workspace: str, now: float) -> float:
        """Return what a workspace got in the window."""
        self._slide(now)
        return self._given.get(workspace, 0.0)

    def find_satisfaction(self, workspace: str, share: float, now: float) -> float:
        """
        Return what a workspace got as a part of what it is due.

        :param share: the most that a workspace is due.
        """
        self._slide(now)
        due = min(self._asked.get(workspace, 0.0), share)
        return self._given.get(workspace, 0.0) / due if due > 0.0 else 1.0

    def find_share(self, now: float) -> float:
        """
        Return the most that a workspace is due in the window.

        What all of them got is what the engines can give while requests wait;
        while none waits, it is what they asked and nobody is bounded.
        """
        self._slide(now)
        given = sum(self._given.values()) * SPARE
        return find_level(self._asked.values(), given)

    def _slide(self, now: float) -> None:
        oldest = int(now / self._step) - BUCKETS
        if not self._buckets or self._buckets[0][0] > oldest:
            return
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        self._asked.clear()
        self._given.clear()
        for _, amounts in self._buckets:
            for workspace, (asked, given) in amounts.items():
                self._asked[workspace] = self._asked.get(workspace, 0.0) + asked
                self._given[workspace] = self._given.get(workspace, 0.0) + given
