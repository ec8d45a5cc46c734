"""
Peer addresses through which this router joins the fleet.

Written by the controller that follows the host list, and by the gateway when
its settings are reloaded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SEED_ADDRESSES = 4_096
"""Limit of addresses that are kept; further ones are ignored."""


class SeedsSection:
    """The peer addresses, ``ip:port``, of the last list or of the settings."""

    def __init__(self) -> None:
        self._addresses: tuple[str, ...] = ()
        self._changed = Signal()

    @property
    def addresses(self) -> tuple[str, ...]:
        """The peer addresses, sorted."""
        return self._addresses

    @property
    def changed(self) -> Signal:
        """Notified when the addresses change."""
        return self._changed

    def replace(self, addresses: Iterable[str]) -> None:
        """Replace the addresses by those of a new list."""
        view = tuple(sorted(set(addresses))[:MAX_SEED_ADDRESSES])
        if view == self._addresses:
            return
        self._addresses = view
        self._changed.notify()
