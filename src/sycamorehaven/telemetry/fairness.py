"""
The fairness gap of a service.

The amount that each backlogged workspace has received of the service, in the
service's unit of cost, is divided by the workspace's weight. The gap is the
difference between the largest and the smallest of these quotients.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class FairnessGapTracker:
    """
    Tracks the fairness gap between the backlogged workspaces of one service.

    The amount that a workspace received before its present backlog does not
    count. A workspace that becomes backlogged is therefore put on a level with
    the least served of the workspaces that already are.
    """

    def __init__(self) -> None:
        self._offsets: dict[str, float] = {}
        self._gap = 0.0
        self._largest_gap = 0.0

    @property
    def gap(self) -> float:
        """Largest minus smallest amount received, in units per weight."""
        return self._gap

    @property
    def largest_gap(self) -> float:
        """Largest gap since the start of the process, in units per weight."""
        return self._largest_gap

    def update(self, received: Mapping[str, float]) -> None:
        """
        Update the gap with the amounts received so far.

        :param received: amount that each backlogged workspace has received,
            in units of cost per weight. A workspace that is missing has no
            backlog.
        """
        still_backlogged = [name for name in received if name in self._offsets]
        lowest_level = min(
            (received[name] + self._offsets[name] for name in still_backlogged),
            default=0,
        )
        self._offsets = {
            name: self._offsets.get(name, lowest_level - received[name])
            for name in received
        }
        levels = [received[name] + offset for name, offset in self._offsets.items()]
        self._gap = max(levels) - min(levels) if levels else 0.0
        self._largest_gap = max(self._largest_gap, self._gap)
