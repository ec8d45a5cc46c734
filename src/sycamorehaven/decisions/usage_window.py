"""
Max-min fair shares of the engines' capacity over a sliding window.

A few workspaces may send many times their usual load while the others send as
much as ever. The capacity of the window is divided by max-min fairness: a
workspace that demands less than an even share gets all that it demands, and
the others get equal shares of the rest.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HEADROOM_FACTOR = 1.1
"""Factor applied to the capacity, to leave room for requests in flight."""
USABLE_GROWTH_FACTOR = 3.0
"""Multiple of what it received that a workspace can use soon."""
USABLE_FLOOR_RATIO = 0.02
"""Fraction of the capacity that each workspace can use soon."""
YIELD_MARGIN_RATIO = 0.15
"""Difference, as a fraction of the fair share, between what two workspaces
received from which one yields to the other."""
BUCKET_COUNT = 8
"""Number of buckets that the window is divided into."""


def compute_max_min_share(demands: Iterable[float], capacity: float) -> float:
    """
    Return the largest allocation of a max-min fair division.

    :param demands: demand of each workspace.
    :param capacity: amount to be divided.
    :returns: the share of those who demand more; infinite if all demands fit.
    """
    sorted_demands = sorted(demands)
    remaining = capacity
    for index, demand in enumerate(sorted_demands):
        even_share = remaining / (len(sorted_demands) - index)
        if demand > even_share:
            return even_share
        remaining -= demand
    return float("inf")


RECENT_BUCKETS = 4
"""Number of whole buckets that the recent demand is measured over."""


class UsageWindow:
    """
    Fleet-wide demand and usage of workspaces over a sliding window.

    :param length: length of the window in seconds.
    """

    def __init__(self, length: float) -> None:
        self._length = length
        self._step = length / BUCKET_COUNT
        self._buckets: deque[tuple[int, dict[str, list[float]]]] = deque()
        self._demanded: dict[str, float] = {}
        self._received: dict[str, float] = {}

    @property
    def length(self) -> float:
        """Length of the window in seconds."""
        return self._length

    def add(self, workspace: str, demanded: float, received: float, now: float) -> None:
        """Add to a workspace's demand and to the service that it received."""
        self._slide(now)
        bucket_number = int(now / self._step)
        if not self._buckets or self._buckets[-1][0] != bucket_number:
            self._buckets.append((bucket_number, {}))
        amounts = self._buckets[-1][1].setdefault(workspace, [0.0, 0.0])
        amounts[0] += demanded
        amounts[1] += received
        self._demanded[workspace] = self._demanded.get(workspace, 0.0) + demanded
        self._received[workspace] = self._received.get(workspace, 0.0) + received

    def get_received(self, workspace: str, now: float) -> float:
        """
        Return the service that a workspace received in the window.

        It is never negative: a charge that is taken back after it has left the
        window counts as 0.
        """
        self._slide(now)
        return max(self._received.get(workspace, 0.0), 0.0)

    def get_total_received(self, now: float) -> float:
        """Return the service that all workspaces received in the window."""
        self._slide(now)
        # Charges that were taken back later may exceed what is left of them.
        return max(sum(self._received.values()), 0.0)

    def demands_even_part(self, workspace: str, now: float) -> bool:
        """
        Return whether a workspace demands at least an even part of the total.
        """
        self._slide(now)
        even_part = sum(self._demanded.values()) / max(len(self._demanded), 1)
        return self._demanded.get(workspace, 0.0) >= even_part

    def get_satisfaction(self, workspace: str, fair_share: float, now: float) -> float:
        """
        Return the fraction of its entitlement that a workspace received.

        The entitlement is the workspace's demand, limited by the fair share;
        the fraction is 1 if there was no demand.

        :param fair_share: the largest amount that a workspace is entitled to.
        """
        self._slide(now)
        entitlement = min(self._demanded.get(workspace, 0.0), fair_share)
        return (
            self.get_received(workspace, now) / entitlement
            if entitlement > 0.0
            else 1.0
        )

    def get_entitled_ratio(
        self, workspace: str, fair_share: float, now: float
    ) -> float:
        """
        Return the fraction of its demand that a workspace is entitled to.

        What it received beyond the share is made up for: the entitlement falls
        by as much, to nothing at twice the share.

        :param fair_share: the largest amount that a workspace is entitled to.
        :returns: 1 if it demands no more than the fair share.
        """
        self._slide(now)
        demanded = self._estimate_demand(workspace, now)
        if demanded <= 0.0 or math.isinf(fair_share):
            return 1.0
        excess = max(self.get_received(workspace, now) - fair_share, 0.0)
        return min(max(fair_share - excess, 0.0) / demanded, 1.0)

    def _estimate_demand(self, workspace: str, now: float) -> float:
        """
        Return a workspace's demand in the window, or its recent one if larger.

        The recent one is scaled to the window, so that a demand that rises is
        not divided by what it was before.
        """
        first = int(now / self._step) - RECENT_BUCKETS
        recent = sum(
            amounts[workspace][0]
            for bucket_number, amounts in self._buckets
            if bucket_number >= first and workspace in amounts
        )
        recent_seconds = now - first * self._step
        return max(
            self._demanded.get(workspace, 0.0), recent * self._length / recent_seconds
        )

    def get_fill_level(self, workspace: str, fair_share: float, now: float) -> float:
        """
        Return what a workspace received as a fraction of the fair share.

        It is 0 if no workspace is limited, or none has received anything.

        :param fair_share: the largest amount that a workspace is entitled to.
        """
        if fair_share <= 0.0:
            return 0.0
        return self.get_received(workspace, now) / fair_share

    def get_fair_share(self, now: float) -> float:
        """
        Return the largest amount that a workspace is entitled to.

        While requests wait, the total received equals the capacity of the
        engines. While none waits, it equals the total demand, so no workspace
        is limited. A workspace counts with what it can use soon at most, so
        that one that reaches no engine holds back no other.
        """
        capacity = self.get_total_received(now) * HEADROOM_FACTOR
        if capacity <= 0.0:
            return compute_max_min_share(self._demanded.values(), 0.0)
        floor = USABLE_FLOOR_RATIO * capacity
        usable = (
            min(
                demanded,
                max(USABLE_GROWTH_FACTOR * self._received.get(workspace, 0.0), floor),
            )
            for workspace, demanded in self._demanded.items()
        )
        return compute_max_min_share(usable, capacity)

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
