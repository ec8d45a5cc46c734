"""
How many requests an engine may run, learned from the pauses of its streams.

Load pattern: more comes than the engines can read. An engine reads prompts
between the tokens of the streams that it runs, so one that always has prompts
to read makes every stream pause, holds the memory of all of them for longer
and forgets the prompt parts that others share. The limit shrinks while events
come later than the route allows and grows slowly while they don't.

Routers see the events of their own streams only, so they agree on a limit:
else the one with most streams learns the highest and takes every slot.
"""

from __future__ import annotations

FIRST_SHARE = 0.3
"""Part of an engine's slots that are used before anything was learned."""
LEAST_SHARE = 0.15
"""Part of an engine's slots that are always used."""
LATE_SHARE = 0.6
"""Part of the longest pause from which an event counts as late."""
SHRINK = 0.93
"""Factor for a late event."""
SHRINK_PERIOD = 0.15
"""Seconds between two reductions; late events come together."""
GROWTH = 0.02
"""Requests by which an event that is not late raises the limit."""
AGREEMENT = 0.3
"""Part of the way to the limit of a router that runs all there is to run."""


class ConcurrencyLimit:
    """
    Requests that one engine may run.

    :param slots: requests that it can run.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = slots * FIRST_SHARE
        self._reduced_at = 0.0

    @property
    def slots(self) -> int:
        """Requests that it can run."""
        return self._slots

    @property
    def limit(self) -> float:
        """Requests that it may run now."""
        return self._limit

    def hear(self, limit: float, running: int, own: int) -> None:
        """
        Approach the limit of another router.

        :param running: its requests at the engine.
        :param own: those of this router.
        """
        if running <= 0:
            return
        pull = AGREEMENT * running / (running + own)
        limit = min(max(limit, self._slots * LEAST_SHARE), float(self._slots))
        self._limit += (limit - self._limit) * pull

    def note_gap(self, gap: float, longest: float, now: float) -> None:
        """
        Take in the time between two events of a stream.

        :param longest: longest pause that is on time, seconds; 0 for none.
        """
        if not longest:
            return
        if gap < longest * LATE_SHARE:
            self._limit = min(self._limit + GROWTH, float(self._slots))
        elif now - self._reduced_at > SHRINK_PERIOD:
            self._reduced_at = now
            self._limit = max(self._limit * SHRINK, self._slots * LEAST_SHARE)
