"""
Rate of requests that the processor of a host can relay.

A request costs most of its processor time before any of its answer is there,
and a stream costs more until it ends, seconds later. A router whose event loop
is busy all the time may still be on time, since what arrives meanwhile waits
in the kernel and is read at once. Whatever it accepts then takes the time of
what it has accepted before. So while the loop is busy, requests are accepted
at a rate, which falls as long as there is no time left, and grows once there
is.
"""

from __future__ import annotations

INITIAL_RATE_PER_CORE = 250.0
"""Requests per second for each core of the host that are accepted before
anything was measured; a short stream takes some 4 ms of a core."""
MIN_RATE_PER_CORE = 150.0
"""Requests per second for each core that are accepted at least; a stream takes
at most some 7 ms of a core. Rejections may take all other time, and accepting
less would only lead to more of them."""
BURST_SECONDS = 0.25
"""Time in which requests may arrive at once that are accepted at the rate."""
BUSY_UTILIZATION = 0.9
"""Fraction of the time in which the loop has work from which the rate
counts."""
SATURATED_UTILIZATION = 0.95
"""The same from which the rate falls."""
ADAPTATION_SECONDS = 0.2
"""Time between two changes of the rate."""
DECREASE_FACTOR = 0.95
"""Factor applied to the rate while there is no time left."""
INCREASE_FACTOR = 1.1
"""Factor applied to the rate while there is time for more."""


class RelayBudget:
    """
    The requests that a router may accept now.

    :param cores: processor that the host has, in cores.
    """

    def __init__(self, cores: float = 1.0) -> None:
        self._rate = INITIAL_RATE_PER_CORE * cores
        self._min_rate = MIN_RATE_PER_CORE * cores
        self._available = self._rate * BURST_SECONDS
        self._is_wanted = False
        self._updated_at = 0.0
        self._adapted_at = 0.0

    @property
    def rate(self) -> float:
        """Requests per second that are accepted while the loop is busy."""
        return self._rate

    def has_room(self, utilization: float, now: float, arriving: int = 0) -> bool:
        """
        Return whether one more request may be accepted.

        :param utilization: fraction of the time in which the event loop had
            work to do.
        :param now: monotonic seconds.
        :param arriving: requests that will be accepted before this one.
        """
        self._refill(now)
        is_within_rate = self._available >= arriving + 1.0
        is_busy = utilization >= BUSY_UTILIZATION
        self._is_wanted |= is_busy and not is_within_rate
        if now - self._adapted_at >= ADAPTATION_SECONDS:
            self._adapt(utilization)
            self._adapted_at = now
        return is_within_rate or not is_busy

    def take(self, now: float) -> None:
        """Count a request that is accepted, for lack of room, too."""
        self._refill(now)
        burst = self._rate * BURST_SECONDS
        self._available = max(self._available - 1.0, -burst)

    def _adapt(self, utilization: float) -> None:
        if utilization >= SATURATED_UTILIZATION:
            self._rate = max(self._rate * DECREASE_FACTOR, self._min_rate)
        elif self._is_wanted:
            self._rate *= INCREASE_FACTOR
        self._is_wanted = False

    def _refill(self, now: float) -> None:
        burst = self._rate * BURST_SECONDS
        elapsed = max(now - self._updated_at, 0.0)
        self._available = min(self._available + self._rate * elapsed, burst)
        self._updated_at = max(now, self._updated_at)
