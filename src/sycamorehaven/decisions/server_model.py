"""
What this router believes of one backend server.

The router counts what it sent itself; other routers tell what they sent. The
server's own reports are older than both and are not waited for.
"""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.decisions.concurrency import ConcurrencyLimit
from sycamorehaven.decisions.outlier_detection import ServerHealth
from sycamorehaven.decisions.prefix_cache import PrefixCache

INITIAL_TOKENS_PER_SECOND = 50_000.0
"""Prompt tokens a second that an engine reads, before any was measured."""
MIN_TOKENS_PER_SECOND = 2_000.0
"""Lowest rate that is believed, tokens a second."""
MAX_TOKENS_PER_SECOND = 200_000.0
"""Highest rate that is believed, tokens a second."""
RATE_SMOOTHING_RATIO = 0.2
"""Weight of the newest measurement of the rate."""
FIRST_TOKEN_OVERHEAD_SECONDS = 0.07
"""Seconds to the first token beyond the reading of the prompt."""
MIN_SAMPLE_TOKENS = 2_000
"""Prompt tokens below which a first token tells nothing about the rate."""
REMOTE_LOAD_LIFETIME_SECONDS = 2.0
"""Seconds after which a router that says nothing counts for nothing."""


EXPIRY_INTERVAL_SECONDS = 0.25
"""Seconds between two looks for routers that say nothing any more."""


class RemoteLoad(NamedTuple):
    """
    What another router has at a server.

    :ivar running: its requests.
    :ivar unread: prompt tokens of its requests without a first token.
    :ivar heard: monotonic seconds at which it told.
    """

    running_requests: int
    pending_tokens: int
    reported_at: float


class Prefill(NamedTuple):
    """
    A prompt that a server has to read.

    :ivar tokens: tokens that it does not keep.
    :ivar ahead: tokens that it reads before.
    :ivar sent: monotonic seconds at which it was sent.
    """

    tokens: int
    tokens_ahead: float
    sent_at: float


class ServerModel:
    """
    The load, speed, memory and health of one server.

    """

    def __init__(self) -> None:
        self._concurrency = ConcurrencyLimit(1)
        self._own_requests = 0
        self._own_pending_tokens = 0.0
        self._remote_loads: dict[str, RemoteLoad] = {}
        self._remote_requests = 0
        self._remote_pending_tokens = 0
        self._expired_at = 0.0
        self._prefill_rate = INITIAL_TOKENS_PER_SECOND
        self._prefix_cache = PrefixCache()
        self._health = ServerHealth()

    @property
    def prefix_cache(self) -> PrefixCache:
        """Parts of prompts that it keeps."""
        return self._prefix_cache

    @property
    def concurrency(self) -> ConcurrencyLimit:
        """How many requests it may run."""
        return self._concurrency

    @property
    def health(self) -> ServerHealth:
        """What became of its requests."""
        return self._health

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens that it reads a second."""
        return self._prefill_rate

    @property
    def own_requests(self) -> int:
        """Requests of this router."""
        return self._own_requests

    @property
    def own_pending_tokens(self) -> float:
        """Prompt tokens of this router's requests without a first token."""
        return self._own_pending_tokens

    def update_capacity(self, cache_tokens: int, slots: int) -> None:
        """
        Take in what the server is like.

        :param memory: tokens that its memory holds, 0 if unknown.
        :param slots: requests that it can run at once.
        """
        if cache_tokens:
            self._prefix_cache.resize(cache_tokens)
        if slots != self._concurrency.slots:
            self._concurrency = ConcurrencyLimit(slots)

    def count_requests(self, now: float) -> int:
        """Return the requests of all routers."""
        self._expire(now)
        return self._own_requests + self._remote_requests

    def count_pending_tokens(self, now: float) -> float:
        """Return the prompt tokens that it has still to read."""
        self._expire(now)
        return self._own_pending_tokens + self._remote_pending_tokens

    def start_request(self, tokens: int, now: float) -> Prefill:
        """Count a request in; ``tokens`` of its prompt have to be read."""
        prefill = Prefill(tokens, self.count_pending_tokens(now), now)
        self._own_requests += 1
        self._own_pending_tokens += tokens
        return prefill

    def record_first_token(self, prefill: Prefill, now: float) -> None:
        """Take in that a prompt was read, and how long it took."""
        self._own_pending_tokens = max(self._own_pending_tokens - prefill.tokens, 0.0)
        total = prefill.tokens + prefill.tokens_ahead
        if total < MIN_SAMPLE_TOKENS:
            return
        elapsed = max(now - prefill.sent_at - FIRST_TOKEN_OVERHEAD_SECONDS, 0.01)
        measured = min(
            max(total / elapsed, MIN_TOKENS_PER_SECOND), MAX_TOKENS_PER_SECOND
        )
        self._prefill_rate += (measured - self._prefill_rate) * RATE_SMOOTHING_RATIO

    def abandon_prefill(self, prefill: Prefill) -> None:
        """Take in that a prompt is not read to its end."""
        self._own_pending_tokens = max(self._own_pending_tokens - prefill.tokens, 0.0)

    def finish_request(self) -> None:
        """Count a request out."""
        self._own_requests = max(self._own_requests - 1, 0)

    def update_remote_load(self, host: str, load: RemoteLoad) -> None:
        """Take in what another router has there."""
        self._remove_remote_load(host)
        if load.running_requests or load.pending_tokens:
            self._remote_loads[host] = load
            self._remote_requests += load.running_requests
            self._remote_pending_tokens += load.pending_tokens

    def reset_after_restart(self) -> None:
        """Forget what its earlier life kept."""
        self._prefix_cache.clear()
        self._health = ServerHealth()

    def _expire(self, now: float) -> None:
        # Sums make a look at a server cost the same in a fleet of any size.
        if now - self._expired_at < EXPIRY_INTERVAL_SECONDS:
            return
        self._expired_at = now
        for host, load in list(self._remote_loads.items()):
            if now - load.reported_at >= REMOTE_LOAD_LIFETIME_SECONDS:
                self._remove_remote_load(host)

    def _remove_remote_load(self, host: str) -> None:
        load = self._remote_loads.pop(host, None)
        if load is not None:
            self._remote_requests -= load.running_requests
            self._remote_pending_tokens -= load.pending_tokens
