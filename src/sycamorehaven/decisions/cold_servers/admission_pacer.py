"""
Paces the admissions to one engine while it is cold.

Requests keep their order and wait for a token in the engine's queue. What is
refused returns after the wait that it is told, so that wait covers the tokens
which earlier requests will take.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.pacing import Pacer

if TYPE_CHECKING:
    from sycamorehaven.decisions.cold_servers.paces import Pace

MAX_DELAY_SECONDS = 4.0
"""Longest delay that is told; a reduced pace may allow nothing for as long."""


class AdmissionPacer:
    """
    A token bucket that holds only while an engine is cold.

    It starts empty, because another scheduler, or this one before it knew,
    may have admitted requests just before.
    """

    def __init__(self) -> None:
        self._pacer: Pacer | None = None

    @property
    def is_active(self) -> bool:
        """Whether the engine is cold."""
        return self._pacer is not None

    def set_pace(self, pace: Pace | None, now: float) -> None:
        """
        Set what may be admitted from now on.

        :param pace: ``None`` if the engine is not cold.
        """
        if pace is None:
            self._pacer = None
            return
        if self._pacer is None:
            self._pacer = Pacer(now)
        self._pacer.set_rate(pace.rate, pace.burst, now)

    def is_open(self, now: float) -> bool:
        """Return whether a request may be admitted now."""
        return self._pacer is None or self._pacer.get_opening(now) <= now

    def take(self) -> None:
        """Count an admitted request."""
        if self._pacer is not None:
            self._pacer.take()

    def get_delay(self, ahead: int, now: float) -> float:
        """
        Return the seconds until a request may be admitted.

        :param ahead: requests that are admitted before it.
        """
        if self._pacer is None:
            return 0.0
        delay = self._pacer.get_opening(now, ahead) - now
        return min(max(delay, 0.0), MAX_DELAY_SECONDS)
