"""The fairness gap: how far apart backlogged workspaces are in service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class FairnessGapTracker:
    """
    Follows the workspaces of one service that are backlogged.

    A workspace that becomes backlogged starts level with the least served of
    those that already are, since service from before does not count.
    """

    def __init__(self) -> None:
        self._offsets: dict[str, float] = {}
        self._gap = 0.0
        self._largest_gap = 0.0

    @property
    def gap(self) -> float:
        """Most less least service received, units per weight."""
        return self._gap

    @property
    def largest_gap(self) -> float:
        """The largest gap since the start of the process."""
        return self._largest_gap

    def update(self, received: Mapping[str, float]) -> None:
        """
        Take the service received by each backlogged workspace.

        :param received: weighted service by workspace, units per weight.
        """
        staying = [name for name in received if name in self._offsets]
        floor = min(
            (received[name] + self._offsets[name] for name in staying), default=0
        )
        self._offsets = {
            name: self._offsets.get(name, floor - received[name]) for name in received
        }
        levels = [received[name] + lift for name, lift in self._offsets.items()]
        self._gap = max(levels) - min(levels) if levels else 0.0
        self._largest_gap = max(self._largest_gap, self._gap)
