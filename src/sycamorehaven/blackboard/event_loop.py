"""
How late this process is in handling what has arrived.

Written by the event loop monitor.
"""

from __future__ import annotations


class EventLoopSection:
    """The lag of the event loop of this process."""

    def __init__(self) -> None:
        self._lag = 0.0

    @property
    def lag(self) -> float:
        """Lag of the event loop when it was last measured, in seconds."""
        return self._lag

    def update_lag(self, lag: float) -> None:
        """Replace the lag, in seconds."""
        self._lag = lag
