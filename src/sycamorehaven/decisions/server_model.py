"""
Estimate of the load, speed, cache and health of one backend server.

A router counts the requests that it sent itself and receives the counts of
other routers. The server's own reports are older than both, so the router does
not wait for them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.concurrency import ConcurrencyLimit
from sycamorehaven.decisions.outlier_detection import ServerHealth
from sycamorehaven.decisions.prefill_rate import PrefillRate
from sycamorehaven.decisions.prefix_cache import PrefixCache, PrefixIndex

if TYPE_CHECKING:
    from sycamorehaven.decisions.engine_queue import EngineState

EXPIRY_INTERVAL_SECONDS = 0.25
"""Time between two searches for expired loads."""


class RemoteLoad(NamedTuple):
    """
    Load that another router has put on a server.

    :ivar running_requests: number of its running requests.
    :ivar pending_tokens: prompt tokens of its requests without a first token.
    :ivar expires_at: when the load no longer counts unless the router reports
        it again, monotonic seconds.
    """

    running_requests: int
    pending_tokens: int
    expires_at: float


class Prefill(NamedTuple):
    """
    Prefill of a prompt, from the sending of its request to its first token.

    :ivar tokens: prompt tokens that are not in the server's cache.
    :ivar tokens_ahead: tokens of earlier prompts that are read before.
    :ivar sent_at: when the request was sent, monotonic seconds.
    """

    tokens: int
    tokens_ahead: float
    sent_at: float


class LoadCorrection(NamedTuple):
    """
    What the scheduler of an engine knows beyond the counts of the routers.

    :ivar requests: requests to add to the counted ones; negative if some of
        these have ended.
    :ivar pending_tokens: prompt tokens to add, likewise.
    :ivar expires_at: when the news will have told the difference, in monotonic
        seconds.
    """

    requests: int = 0
    pending_tokens: float = 0.0
    expires_at: float = 0.0


NO_CORRECTION = LoadCorrection()


class ServerModel:
    """
    Estimate of one server from the requests of all routers.

    :param server: id of the server.
    :param prefix_index: index of the prompt prefixes that servers keep.
    """

    def __init__(
        self, server: str = "", prefix_index: PrefixIndex | None = None
    ) -> None:
        self._concurrency = ConcurrencyLimit(1)
        self._own_requests = 0
        self._own_pending_tokens = 0.0
        self._applied_requests = 0
        self._applied_tokens = 0
        self._remote_loads: dict[str, RemoteLoad] = {}
        self._remote_requests = 0
        self._remote_pending_tokens = 0
        self._correction = NO_CORRECTION
        self._expired_at = 0.0
        self._prefill_rate = PrefillRate()
        self._prefix_cache = PrefixCache(index=prefix_index, server=server)
        self._health = ServerHealth()

    @property
    def prefix_cache(self) -> PrefixCache:
        """Model of the prompt prefixes that the server keeps."""
        return self._prefix_cache

    @property
    def concurrency(self) -> ConcurrencyLimit:
        """Limit on the requests that the server may run."""
        return self._concurrency

    @property
    def health(self) -> ServerHealth:
        """Recent results of the requests to the server."""
        return self._health

    @property
    def prefill_rate(self) -> float:
        """Estimated number of prompt tokens that it reads per second."""
        return self._prefill_rate.rate

    @property
    def own_requests(self) -> int:
        """Number of running requests of this router."""
        return self._own_requests

    @property
    def own_pending_tokens(self) -> float:
        """Prompt tokens of this router's requests without a first token."""
        return self._own_pending_tokens

    def update_capacity(self, cache_tokens: int, slots: int) -> None:
        """
        Update what is known of the server's capacity.

        :param cache_tokens: tokens that fit into its memory, 0 if unknown.
        :param slots: number of requests that it can run at a time.
        """
        if cache_tokens:
            self._prefix_cache.resize(cache_tokens)
        if slots != self._concurrency.slots:
            self._concurrency = ConcurrencyLimit(slots)

    def count_requests(self, now: float) -> int:
        """Return the number of running requests of all routers."""
        self._expire(now)
        counted = self._own_requests + self._applied_requests + self._remote_requests
        return max(counted + self._correction.requests, self._own_requests)

    def count_pending_tokens(self, now: float) -> float:
        """Return the prompt tokens of all routers that are yet to be read."""
        self._expire(now)
        counted = (
            self._own_pending_tokens
            + self._applied_tokens
            + self._remote_pending_tokens
        )
        return max(counted + self._correction.pending_tokens, 0.0)

    def add_application(self, tokens: int) -> None:
        """
        Count a request for which the scheduler of the engine is asked.

        :param tokens: prompt tokens that the engine must read.
        """
        self._applied_requests += 1
        self._applied_tokens += tokens

    def remove_application(self, tokens: int) -> None:
        """Stop counting such a request, since the scheduler counts it now."""
        self._applied_requests = max(self._applied_requests - 1, 0)
        self._applied_tokens = max(self._applied_tokens - tokens, 0)

    def correct_load(self, state: EngineState, lifetime: float, now: float) -> None:
        """
        Take over what the scheduler of an engine knows of it.

        :param lifetime: seconds until the news have told the same.
        """
        self._correction = NO_CORRECTION
        self._prefill_rate.replace(state.prefill_rate)
        self._concurrency.replace(state.limit)
        requests = state.running + state.waiting
        tokens = state.waiting_tokens + state.backlog_seconds * state.prefill_rate
        self._correction = LoadCorrection(
            requests - self.count_requests(now),
            tokens - self.count_pending_tokens(now),
            now + lifetime,
        )

    def start_request(self, tokens: int, now: float) -> Prefill:
        """
        Count a request that is sent to the server.

        :param tokens: prompt tokens that the server must read.
        :param now: monotonic seconds.
        """
        prefill = Prefill(tokens, self.count_pending_tokens(now), now)
        self._own_requests += 1
        self._own_pending_tokens += tokens
        return prefill

    def record_first_token(self, prefill: Prefill, now: float) -> None:
        """Count a prompt as read and measure the prefill rate by it."""
        self._own_pending_tokens = max(self._own_pending_tokens - prefill.tokens, 0.0)
        self._prefill_rate.observe(
            prefill.tokens + prefill.tokens_ahead, now - prefill.sent_at
        )

    def abandon_prefill(self, prefill: Prefill) -> None:
        """Stop counting a prompt that will not be read to its end."""
        self._own_pending_tokens = max(self._own_pending_tokens - prefill.tokens, 0.0)

    def finish_request(self) -> None:
        """Stop counting a request that has ended."""
        self._own_requests = max(self._own_requests - 1, 0)

    def update_remote_load(self, host: str, load: RemoteLoad) -> None:
        """Replace the load that another router has on the server."""
        self._remove_remote_load(host)
        if load.running_requests or load.pending_tokens:
            self._remote_loads[host] = load
            self._remote_requests += load.running_requests
            self._remote_pending_tokens += load.pending_tokens

    def reset_after_restart(self) -> None:
        """Reset the cache and health, because the server has restarted."""
        self._prefix_cache.clear()
        self._health = ServerHealth()

    def _expire(self, now: float) -> None:
        if now >= self._correction.expires_at:
            self._correction = NO_CORRECTION
        # The sums make the cost of a look-up independent of the fleet's size.
        # A search for expired loads does not, so it takes place at intervals.
        if now - self._expired_at < EXPIRY_INTERVAL_SECONDS:
            return
        self._expired_at = now
        for host, load in list(self._remote_loads.items()):
            if now >= load.expires_at:
                self._remove_remote_load(host)

    def _remove_remote_load(self, host: str) -> None:
        load = self._remote_loads.pop(host, None)
        if load is not None:
            self._remote_requests -= load.running_requests
            self._remote_pending_tokens -= load.pending_tokens
