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

INITIAL_SLOT_RATIO = 0.3
"""Part of an engine's slots that are used before anything was learned."""
MIN_SLOT_RATIO = 0.15
"""Part of an engine's slots that are always used."""
LATE_GAP_RATIO = 0.6
"""Part of the longest pause from which an event counts as late."""
DECREASE_FACTOR = 0.93
"""Factor for a late event."""
DECREASE_INTERVAL_SECONDS = 0.15
"""Seconds between two reductions; late events come together."""
INCREASE_REQUESTS = 0.02
"""Requests by which an event that is not late raises the limit."""
CONVERGENCE_RATIO = 0.3
"""Part of the way to the limit of a router that runs all there is to run."""


class ConcurrencyLimit:
    """
    Requests that one engine may run.

    :param slots: requests that it can run.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = slots * INITIAL_SLOT_RATIO
        self._reduced_at = 0.0

    @property
    def slots(self) -> int:
        """Requests that it can run."""
        return self._slots

    @property
    def limit(self) -> float:
        """Requests that it may run now."""
        return self._limit

    def blend_peer_limit(
        self, peer_limit: float, peer_running: int, own_running: int
    ) -> None:
        """
        Approach the limit of another router.

        :param peer_running: its requests at the engine.
        :param own_running: those of this router.
        """
        if peer_running <= 0:
            return
        weight = CONVERGENCE_RATIO * peer_running / (peer_running + own_running)
        peer_limit = min(
            max(peer_limit, self._slots * MIN_SLOT_RATIO), float(self._slots)
        )
        self._limit += (peer_limit - self._limit) * weight

    def observe_gap(self, gap: float, max_gap: float, now: float) -> None:
        """
        Take in the time between two events of a stream.

        :param max_gap: longest pause that is on time, seconds; 0 for none.
        """
        if not max_gap:
            return
        if gap < max_gap * LATE_GAP_RATIO:
            self._limit = min(self._limit + INCREASE_REQUESTS, float(self._slots))
        elif now - self._reduced_at > DECREASE_INTERVAL_SECONDS:
            self._reduced_at = now
            self._limit = max(
                self._limit * DECREASE_FACTOR, self._slots * MIN_SLOT_RATIO
            )
