"""
Choice of the backend server for a request.

Prompts about the same subject begin with the same long part. A server that has
the part in its prefix cache needs to read only a fifth of such a prompt.
Requests about one subject therefore go to the server that read the subject
last, unless the queue at that server costs more time than reading the part on
another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.prefill_rate import FIRST_TOKEN_OVERHEAD_SECONDS
from sycamorehaven.routing.model import ServerRecord

if TYPE_CHECKING:
    from collections.abc import Sequence


PREFILL_WEIGHT = 2.0
"""Weight of the time to read uncached tokens, which delays both the request
and those behind it."""
RANK_COST_SECONDS = 0.03
"""Cost, for a prompt, of each rank in the order of servers that all routers
share; a hundredth of it for a request without a prompt."""
MAX_RANK = 4
"""Rank from which all servers cost the same for a prompt."""
COPY_COST_SECONDS = 0.015
"""Cost of copying 1,000 prompt tokens from another server."""
REMOTE_DOMAIN_COST_SECONDS = 0.004
"""Cost, for a request without a prompt, of another failure domain."""
ERROR_COST_SECONDS = 1.0
"""Cost of a server that returns only errors."""
FULL_SLOTS_COST_SECONDS = 0.05
"""Cost, for a request without a prompt, of a server with all slots taken."""
FULL_ENGINE_COST_SECONDS = 0.2
"""Cost of an engine that runs as many requests as its limit allows."""
QUEUED_ENGINE_COST_SECONDS = 2.0
"""Time until as many requests have ended as an engine's limit allows; requests
beyond the limit wait for that."""


class Candidate(NamedTuple):
    """
    Server that could run a request.

    :ivar server: the server.
    :ivar running_requests: number of requests that it runs, which may be an
        average.
    :ivar concurrency_limit: number of requests that it may run.
    :ivar pending_tokens: prompt tokens of earlier requests still to be read.
    :ivar uncached_tokens: prompt tokens of this request that it must read.
    :ivar copied_tokens: prompt tokens of this request that it would copy from
        another server.
    :ivar copy_source: address of the server to copy from, or "".
    :ivar prefill_rate: prompt tokens that it reads per second.
    :ivar error_ratio: recent fraction of failed requests, 0 to 1.
    :ivar is_local: whether it is in this router's failure domain.
    :ivar rank: its place in the order of servers that all routers share for
        the subject of the request, 0 for the first.
    :ivar has_scheduler: whether a router admits requests to it, at which a
        request can wait while it is full.
    :ivar service_seconds: expected time of a request without a prompt from its
        start to its end; 0 if unknown.
    """

    server: ServerRecord
    running_requests: float
    concurrency_limit: float
    pending_tokens: float
    uncached_tokens: int
    copied_tokens: int
    copy_source: str
    prefill_rate: float
    error_ratio: float
    is_local: bool
    rank: int
    has_scheduler: bool = False
    service_seconds: float = 0.0

    @property
    def running_ratio(self) -> float:
        """Requests that it runs, as a fraction of its limit."""
        return self.running_requests / self.concurrency_limit

    @property
    def wait_seconds(self) -> float:
        """Expected time until it begins to read the prompt."""
        reading = self.pending_tokens / self.prefill_rate
        return max(reading, estimate_slot_wait(self.running_ratio))


class Placement(NamedTuple):
    """
    Server that was chosen for a request, with the expected times.

    :ivar server: the server.
    :ivar wait_seconds: time until it begins to read the prompt.
    :ivar prefill_seconds: time that it takes to read the prompt.
    :ivar uncached_tokens: prompt tokens that it must read.
    :ivar copy_source: address of the server from which it copies cached
        tokens, or "".
    """

    server: ServerRecord
    wait_seconds: float
    prefill_seconds: float
    uncached_tokens: int
    copy_source: str = ""

    @property
    def first_token_seconds(self) -> float:
        """Expected time to the first token."""
        return FIRST_TOKEN_OVERHEAD_SECONDS + self.wait_seconds + self.prefill_seconds


def choose_engine(candidates: Sequence[Candidate]) -> Placement | None:
    """Return the best engine for a prompt, or ``None`` if all are full."""
    free = [
        item
        for item in candidates
        if item.has_scheduler or item.running_requests < item.concurrency_limit
    ]
    if not free:
        return None
    best = min(free, key=_score_engine)
    return Placement(
        best.server,
        best.wait_seconds,
        best.uncached_tokens / best.prefill_rate,
        best.uncached_tokens,
        best.copy_source,
    )


def choose_plain_server(candidates: Sequence[Candidate]) -> Placement | None:
    """
    Return the best server for a request without a prompt.

    :returns: ``None`` if all servers are full.
    """
    free = [item for item in candidates if item.running_requests < item.server.slots]
    if not free:
        return None
    best = min(free, key=_score_plain_server)
    return Placement(best.server, 0.0, 0.0, 0)


def estimate_slot_wait(running_ratio: float) -> float:
    """
    Return the time until an engine has a free slot, in seconds.

    :param running_ratio: requests that it has, as a fraction of its limit.
    """
    return QUEUED_ENGINE_COST_SECONDS * max(running_ratio - 1.0, 0.0)


def compute_load_cost(
    pending_tokens: float,
    uncached_tokens: float,
    prefill_rate: float,
    running_ratio: float,
    error_ratio: float,
) -> float:
    """
    Return the cost of an engine to a prompt that it has not been chosen for.

    :param pending_tokens: prompt tokens that the engine has yet to read.
    :param uncached_tokens: tokens of the prompt that it would have to read.
    :param prefill_rate: prompt tokens that it reads per second.
    :param running_ratio: requests that it runs, as a fraction of its limit.
    :param error_ratio: recent fraction of failed requests, 0 to 1.
    :returns: cost in seconds.
    """
    return (
        (pending_tokens + PREFILL_WEIGHT * uncached_tokens) / prefill_rate
        + FULL_ENGINE_COST_SECONDS * min(running_ratio, 1.0)
        + estimate_slot_wait(running_ratio)
        + ERROR_COST_SECONDS * error_ratio
    )


def _score_engine(candidate: Candidate) -> float:
    return (
        compute_load_cost(
            candidate.pending_tokens,
            candidate.uncached_tokens,
            candidate.prefill_rate,
            candidate.running_ratio,
            candidate.error_ratio,
        )
        + COPY_COST_SECONDS * candidate.copied_tokens / 1_000
        + RANK_COST_SECONDS * min(candidate.rank, MAX_RANK)
    )


def _score_plain_server(candidate: Candidate) -> float:
    return (
        FULL_SLOTS_COST_SECONDS * candidate.running_requests / candidate.server.slots
        + ERROR_COST_SECONDS * candidate.error_ratio
        + (0.0 if candidate.is_local else REMOTE_DOMAIN_COST_SECONDS)
        + RANK_COST_SECONDS / 100 * candidate.rank
        + candidate.service_seconds
    )
