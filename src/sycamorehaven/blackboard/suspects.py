"""Requests suspected of crashing servers; written by their controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.quarantine import SuspectTable

if TYPE_CHECKING:
    from sycamorehaven.decisions.quarantine import Judgement, Loss


class SuspectsSection:
    """Strikes heard of, by fingerprint of the request."""

    def __init__(self) -> None:
        self._table = SuspectTable()
        self._changed = Signal()

    @property
    def changed(self) -> Signal:
        """Raised by every new strike and clearance."""
        return self._changed

    def __len__(self) -> int:
        return len(self._table)

    def judge(self, fingerprint: bytes, now: float) -> Judgement:
        """Return how a request is treated."""
        return self._table.judge(fingerprint, now)

    def list(self, now: float) -> list[tuple[bytes, int, Loss]]:
        """Return every strike that counts: fingerprint, number and loss."""
        return self._table.list(now)

    def add(self, fingerprint: bytes, strike: int, loss: Loss, now: float) -> bool:
        """Add a strike; return whether it is new."""
        added = self._table.add(fingerprint, strike, loss, now)
        if added:
            self._changed.notify()
        return added

    def clear(self, fingerprint: bytes, at: float) -> bool:
        """Forget strikes up to a time; return whether there was any."""
        cleared = self._table.clear(fingerprint, at)
        if cleared:
            self._changed.notify()
        return cleared
