"""Addresses to join the fleet through; written by the host list's follower."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SEED_ADDRESSES = 4_096
"""Addresses kept; more are ignored."""


class SeedsSection:
    """Peer addresses, ``ip:port``, that the host list last named."""

    def __init__(self) -> None:
        self._addresses: tuple[str, ...] = ()
        self._changed = Signal()

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses, sorted."""
        return self._addresses

    @property
    def changed(self) -> Signal:
        """Raised when the addresses change."""
        return self._changed

    def replace(self, addresses: Iterable[str]) -> None:
        """Take over a new list of addresses."""
        view = tuple(sorted(set(addresses))[:MAX_SEED_ADDRESSES])
        if view == self._addresses:
            return
        self._addresses = view
        self._changed.notify()
