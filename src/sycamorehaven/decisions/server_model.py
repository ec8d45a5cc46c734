"""
What this router believes of one backend server.

The router counts what it sent itself; other routers tell what they sent. The
server's own reports are older than both and are not waited for.
"""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.decisions.concurrency import ConcurrencyLimit
from sycamorehaven.decisions.outliers import ServerHealth
from sycamorehaven.decisions.prefixes import PrefixCache

FIRST_RATE = 50_000.0
"""Prompt tokens a second that an engine reads, before any was measured."""
SLOWEST_RATE = 2_000.0
"""Lowest rate that is believed, tokens a second."""
FASTEST_RATE = 200_000.0
"""Highest rate that is believed, tokens a second."""
RATE_WEIGHT = 0.2
"""Weight of the newest measurement of the rate."""
FIRST_TOKEN = 0.07
"""Seconds to the first token beyond the reading of the prompt."""
SMALLEST_SAMPLE = 2_000
"""Prompt tokens below which a first token tells nothing about the rate."""
REPORT_LIFETIME = 2.0
"""Seconds after which a router that says nothing counts for nothing."""


EXPIRY_PERIOD = 0.25
"""Seconds between two looks for routers that say nothing any more."""


class RemoteLoad(NamedTuple):
    """
    What another router has at a server.

    :ivar running: its requests.
    :ivar unread: prompt tokens of its requests without a first token.
    :ivar heard: monotonic seconds at which it told.
    """

    running: int
    unread: int
    heard: float


class Reading(NamedTuple):
    """
    A prompt that a server has to read.

    :ivar tokens: tokens that it does not keep.
    :ivar ahead: tokens that it reads before.
    :ivar sent: monotonic seconds at which it was sent.
    """

    tokens: int
    ahead: float
    sent: float


class ServerModel:
    """
    The load, speed, memory and health of one server.

    """

    def __init__(self) -> None:
        self._concurrency = ConcurrencyLimit(1)
        self._running = 0
        self._unread = 0.0
        self._remote: dict[str, RemoteLoad] = {}
        self._remote_running = 0
        self._remote_unread = 0
        self._expired_at = 0.0
        self._rate = FIRST_RATE
        self._cache = PrefixCache()
        self._health = ServerHealth()

    @property
    def cache(self) -> PrefixCache:
        """Parts of prompts that it keeps."""
        return self._cache

    @property
    def concurrency(self) -> ConcurrencyLimit:
        """How many requests it may run."""
        return self._concurrency

    @property
    def health(self) -> ServerHealth:
        """What became of its requests."""
        return self._health

    @property
    def rate(self) -> float:
        """Prompt tokens that it reads a second."""
        return self._rate

    @property
    def running(self) -> int:
        """Requests of this router."""
        return self._running

    @property
    def unread(self) -> float:
        """Prompt tokens of this router's requests without a first token."""
        return self._unread

    def describe(self, memory: int, slots: int) -> None:
        """
        Take in what the server is like.

        :param memory: tokens that its memory holds, 0 if unknown.
        :param slots: requests that it can run at once.
        """
        if memory:
            self._cache.resize(memory)
        if slots != self._concurrency.slots:
            self._concurrency = ConcurrencyLimit(slots)

    def count_running(self, now: float) -> int:
        """Return the requests of all routers."""
        self._expire(now)
        return self._running + self._remote_running

    def count_unread(self, now: float) -> float:
        """Return the prompt tokens that it has still to read."""
        self._expire(now)
        return self._unread + self._remote_unread

    def begin(self, tokens: int, now: float) -> Reading:
        """Count a request in; ``tokens`` of its prompt have to be read."""
        reading = Reading(tokens, self.count_unread(now), now)
        self._running += 1
        self._unread += tokens
        return reading

    def note_first_token(self, reading: Reading, now: float) -> None:
        """Take in that a prompt was read, and how long it took."""
        self._unread = max(self._unread - reading.tokens, 0.0)
        total = reading.tokens + reading.ahead
        if total < SMALLEST_SAMPLE:
            return
        elapsed = max(now - reading.sent - FIRST_TOKEN, 0.01)
        measured = min(max(total / elapsed, SLOWEST_RATE), FASTEST_RATE)
        self._rate += (measured - self._rate) * RATE_WEIGHT

    def give_up(self, reading: Reading) -> None:
        """Take in that a prompt is not read to its end."""
        self._unread = max(self._unread - reading.tokens, 0.0)

    def end(self) -> None:
        """Count a request out."""
        self._running = max(self._running - 1, 0)

    def note_remote(self, host: str, load: RemoteLoad) -> None:
        """Take in what another router has there."""
        self._drop(host)
        if load.running or load.unread:
            self._remote[host] = load
            self._remote_running += load.running
            self._remote_unread += load.unread

    def restart(self) -> None:
        """Forget what its earlier life kept."""
        self._cache.clear()
        self._health = ServerHealth()

    def _expire(self, now: float) -> None:
        # Sums make a look at a server cost the same in a fleet of any size.
        if now - self._expired_at < EXPIRY_PERIOD:
            return
        self._expired_at = now
        for host, load in list(self._remote.items()):
            if now - load.heard >= REPORT_LIFETIME:
                self._drop(host)

    def _drop(self, host: str) -> None:
        load = self._remote.pop(host, None)
        if load is not None:
            self._remote_running -= load.running
            self._remote_unread -= load.unread
