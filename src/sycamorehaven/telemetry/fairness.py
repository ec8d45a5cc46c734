"""The fairness gap: how far apart backlogged workspaces are in service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class GapTracker:
    """
    Follows the workspaces of one service that are backlogged.

    A workspace that becomes backlogged starts level with the least served of
    those that already are, since service from before does not count.
    """

    def __init__(self) -> None:
        self._lifts: dict[str, float] = {}
        self._gap = 0.0
        self._largest = 0.0

    @property
    def gap(self) -> float:
        """Most less least service received, units per weight."""
        return self._gap

    @property
    def largest(self) -> float:
        """The largest gap since the start of the process."""
        return self._largest

    def observe(self, received: Mapping[str, float]) -> None:
        """
        Take the service received by each backlogged workspace.

        :param received: weighted service by workspace, units per weight.
        """
        staying = [name for name in received if name in self._lifts]
        floor = min((received[name] + self._lifts[name] for name in staying), default=0)
        self._lifts = {
            name: self._lifts.get(name, floor - received[name]) for name in received
        }
        levels = [received[name] + lift for name, lift in self._lifts.items()]
        self._gap = max(levels) - min(levels) if levels else 0.0
        self._largest = max(self._largest, self._gap)
