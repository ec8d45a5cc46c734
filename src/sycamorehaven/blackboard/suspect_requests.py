"""
Requests that are suspected of crashing backend servers.

Written by the quarantine controller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.quarantine import SuspectTable

if TYPE_CHECKING:
    from sycamorehaven.decisions.quarantine import QuarantineStatus, ServerLoss


class SuspectRequestsSection:
    """The known strikes, by fingerprint of the request."""

    def __init__(self) -> None:
        self._table = SuspectTable()
        self._changed = Signal()

    @property
    def changed(self) -> Signal:
        """Notified when strikes are added or cleared."""
        return self._changed

    def __len__(self) -> int:
        return len(self._table)

    def assess(self, fingerprint: bytes, now: float) -> QuarantineStatus:
        """Return the quarantine status of a request."""
        return self._table.assess(fingerprint, now)

    def list_strikes(self, now: float) -> list[tuple[bytes, int, ServerLoss]]:
        """Return fingerprint, number and loss of each current strike."""
        return self._table.list_strikes(now)

    def add_strike(
        self, fingerprint: bytes, strike: int, loss: ServerLoss, now: float
    ) -> bool:
        """Add a strike; return whether it is new."""
        added = self._table.add_strike(fingerprint, strike, loss, now)
        if added:
            self._changed.notify()
        return added

    def clear_strikes(self, fingerprint: bytes, at: float) -> bool:
        """Clear strikes up to a time; return whether there were any."""
        cleared = self._table.clear_strikes(fingerprint, at)
        if cleared:
            self._changed.notify()
        return cleared
