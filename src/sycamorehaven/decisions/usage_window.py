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

HEADROOM_FACTOR = 1.1
"""Room above what was given, for requests that are on their way."""
YIELD_MARGIN_RATIO = 0.15
"""Difference in the parts of their due that two workspaces got, from which
one yields to the other."""
BUCKET_COUNT = 8
"""Steps in which the window slides."""


def compute_max_min_share(demands: Iterable[float], capacity: float) -> float:
    """
    Return the most that a workspace gets, so that all get ``capacity``.

    :param demands: what each workspace asks.
    """
    sorted_demands = sorted(demands)
    remaining = capacity
    for index, demand in enumerate(sorted_demands):
        even_share = remaining / (len(sorted_demands) - index)
        if demand > even_share:
            return even_share
        remaining -= demand
    return float("inf")


class UsageWindow:
    """
    What workspaces asked and got, over a sliding window, fleet-wide.

    :param length: seconds of the window.
    """

    def __init__(self, length: float) -> None:
        self._length = length
        self._step = length / BUCKET_COUNT
        self._buckets: deque[tuple[int, dict[str, list[float]]]] = deque()
        self._demanded: dict[str, float] = {}
        self._received: dict[str, float] = {}

    @property
    def length(self) -> float:
        """Seconds of the window."""
        return self._length

    def add(self, workspace: str, demanded: float, received: float, now: float) -> None:
        """Count what a workspace asked and got."""
        self._slide(now)
        number = int(now / self._step)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
        amounts = self._buckets[-1][1].setdefault(workspace, [0.0, 0.0])
        amounts[0] += demanded
        amounts[1] += received
        self._demanded[workspace] = self._demanded.get(workspace, 0.0) + demanded
        self._received[workspace] = self._received.get(workspace, 0.0) + received

    def get_received(self, workspace: str, now: float) -> float:
        """Return what a workspace got in the window."""
        self._slide(now)
        return self._received.get(workspace, 0.0)

    def get_satisfaction(self, workspace: str, fair_share: float, now: float) -> float:
        """
        Return what a workspace got as a part of what it is due.

        :param fair_share: the most that a workspace is due.
        """
        self._slide(now)
        due = min(self._demanded.get(workspace, 0.0), fair_share)
        return self._received.get(workspace, 0.0) / due if due > 0.0 else 1.0

    def get_fair_share(self, now: float) -> float:
        """
        Return the most that a workspace is due in the window.

        What all of them got is what the engines can give while requests wait;
        while none waits, it is what they asked and nobody is bounded.
        """
        self._slide(now)
        received = sum(self._received.values()) * HEADROOM_FACTOR
        return compute_max_min_share(self._demanded.values(), received)

    def _slide(self, now: float) -> None:
        oldest = int(now / self._step) - BUCKET_COUNT
        if not self._buckets or self._buckets[0][0] > oldest:
            return
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
        self._demanded.clear()
        self._received.clear()
        for _, amounts in self._buckets:
            for workspace, (demanded, received) in amounts.items():
                self._demanded[workspace] = (
                    self._demanded.get(workspace, 0.0) + demanded
                )
                self._received[workspace] = (
                    self._received.get(workspace, 0.0) + received
                )
