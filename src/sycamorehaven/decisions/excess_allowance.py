"""
How many excess requests a router may place.

All routers see the same free slots until news tell them that these are taken.
If each of them placed its excess requests on all free slots, they would
together place many times as many as there are, and starve those who are
entitled to the next ones. So each router takes only its part of them between
two news: the free slots divided by the number of routers with waiting
requests.
"""

from __future__ import annotations


class ExcessAllowance:
    """Excess requests that a router may place at the servers of a service."""

    def __init__(self) -> None:
        self._allowance = 1.0
        self._updated_at = 0.0

    def accrue(
        self, spare_slots: float, routers: int, period: float, now: float
    ) -> None:
        """
        Add what has accrued since the last call.

        :param spare_slots: free slots beyond those that are left to others.
        :param routers: number of routers that have requests for them.
        :param period: seconds until all routers know what one has placed.
        :param now: monotonic seconds.
        """
        part = max(spare_slots, 0.0) / routers
        elapsed = min(now - self._updated_at, period)
        self._updated_at = now
        self._allowance = min(self._allowance + part * elapsed / period, max(part, 1.0))

    def is_available(self) -> bool:
        """Return whether one more excess request may be placed."""
        return self._allowance >= 1.0

    def take(self) -> None:
        """Count an excess request that is placed."""
        self._allowance -= 1.0
