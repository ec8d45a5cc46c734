"""
Adaptive concurrency limit of an engine, based on gaps in its streams.

An engine reads prompts in between the tokens of the streams that it runs. An
engine that always has prompts to read makes every stream pause, holds the
memory of all of them for longer, and evicts cached prompt prefixes that other
requests share. This happens when requests arrive faster than the engines can
read their prompts. So the limit is multiplied by a factor below 1 when events
arrive later than the route allows, and grows slowly while they are on time.

Each router sees the events of its own streams only, so the routers exchange
their limits and converge. Otherwise, the router with the most streams would
learn the highest limit and take every slot.
"""

from __future__ import annotations

INITIAL_SLOT_RATIO = 0.3
"""Fraction of an engine's slots used before anything has been observed."""
MIN_SLOT_RATIO = 0.15
"""Fraction of an engine's slots that is always used."""
LATE_GAP_RATIO = 0.6
"""Fraction of the longest allowed gap from which an event counts as late."""
DECREASE_FACTOR = 0.93
"""Factor applied to the limit after a late event."""
DECREASE_INTERVAL_SECONDS = 0.15
"""Minimum time between two decreases, since late events come in bursts."""
INCREASE_REQUESTS = 0.02
"""Requests by which each event that is on time raises the limit."""
CONVERGENCE_RATIO = 0.3
"""Fraction of the difference to another router's limit that is applied if all
running requests are that router's."""


def is_late_gap(gap: float, max_gap: float) -> bool:
    """
    Return whether an event came late.

    :param gap: time since the event before, in seconds.
    :param max_gap: longest gap that the route allows, in seconds; 0 if it sets
        none.
    """
    return max_gap > 0.0 and gap >= max_gap * LATE_GAP_RATIO


class ConcurrencyLimit:
    """
    The number of requests that one engine may run.

    :param slots: number of requests that the engine can run.
    :param initial_ratio: fraction of the slots used before anything has been
        observed.
    """

    def __init__(self, slots: int, initial_ratio: float = INITIAL_SLOT_RATIO) -> None:
        self._slots = slots
        self._limit = slots * initial_ratio
        self._decreased_at = 0.0

    @property
    def slots(self) -> int:
        """Number of requests that the engine can run."""
        return self._slots

    @property
    def limit(self) -> float:
        """Number of requests that the engine may run now."""
        return self._limit

    def replace(self, limit: float) -> None:
        """Replace the limit by that of the engine's scheduler."""
        lowest = self._slots * MIN_SLOT_RATIO
        self._limit = min(max(limit, lowest), float(self._slots))

    def blend_peer_limit(
        self, peer_limit: float, peer_running: int, own_running: int
    ) -> None:
        """
        Move the limit towards that of another router.

        The weight is the other router's fraction of the requests that both run
        at the engine.

        :param peer_limit: limit of the other router.
        :param peer_running: requests that the other router runs at the engine.
        :param own_running: requests that this router runs at the engine.
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
        Adjust the limit to the time between two events of a stream.

        :param gap: time between the events, in seconds.
        :param max_gap: longest gap that the route allows, in seconds; 0 if it
            sets none.
        """
        if not max_gap:
            return
        is_late = is_late_gap(gap, max_gap)
        self.observe_gaps(int(not is_late), int(is_late), now)

    def observe_gaps(self, on_time: int, late: int, now: float) -> None:
        """
        Adjust the limit to the events of some streams.

        :param on_time: number of events that came on time.
        :param late: number of events that came late.
        """
        self._limit = min(self._limit + INCREASE_REQUESTS * on_time, float(self._slots))
        if late and now - self._decreased_at > DECREASE_INTERVAL_SECONDS:
            self._decreased_at = now
            self._limit = max(
                self._limit * DECREASE_FACTOR, self._slots * MIN_SLOT_RATIO
            )
