"""
Where a request goes.

Load pattern: every subject has a long prompt part in common with others about
it. A server that keeps the part reads a fifth of the prompt, so requests about
one subject go where it was read last, unless what waits there costs more time
than reading it elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.server_model import FIRST_TOKEN_OVERHEAD_SECONDS
from sycamorehaven.routing.model import ServerRecord

if TYPE_CHECKING:
    from collections.abc import Sequence


PREFILL_WEIGHT = 2.0
"""Weight of reading a part again: it delays this request and those behind."""
RANK_COST_SECONDS = 0.03
"""Seconds that each rank in the common order puts a server behind."""
COPY_COST_SECONDS = 0.015
"""Seconds that copying a thousand tokens of a prompt puts a server behind."""
REMOTE_DOMAIN_COST_SECONDS = 0.004
"""Seconds that another failure domain costs a plain request."""
ERROR_COST_SECONDS = 1.0
"""Seconds that a server which only answers with errors is put behind."""
FULL_SLOTS_COST_SECONDS = 0.05
"""Seconds that a plain server with all slots taken is put behind."""
FULL_ENGINE_COST_SECONDS = 0.2
"""Seconds that an engine which runs all that it may is put behind."""


class Candidate(NamedTuple):
    """
    A server that may get a request.

    :ivar server: the server.
    :ivar running: requests that it runs.
    :ivar limit: requests that it may run.
    :ivar unread: prompt tokens that it has still to read.
    :ivar uncached: prompt tokens of the request that it has to read.
    :ivar copied: prompt tokens that it copies from another server.
    :ivar source: address of that server, or "".
    :ivar rate: prompt tokens that it reads a second.
    :ivar errors: recent share of errors, 0 to 1.
    :ivar near: whether it stands in the router's failure domain.
    :ivar rank: its place in the order that all routers share for the subject.
    """

    server: ServerRecord
    running_requests: int
    concurrency_limit: float
    pending_tokens: float
    uncached_tokens: int
    copied_tokens: int
    copy_source: str
    prefill_rate: float
    error_ratio: float
    is_local: bool
    rank: int


class Placement(NamedTuple):
    """
    The server that suits a request best.

    :ivar server: the server.
    :ivar wait: seconds until it begins to read the prompt.
    :ivar reading: seconds that it reads the prompt.
    :ivar uncached: prompt tokens that it has to read.
    :ivar source: address of the server from which it copies others, or "".
    """

    server: ServerRecord
    wait_seconds: float
    prefill_seconds: float
    uncached_tokens: int
    copy_source: str = ""

    @property
    def first_token_seconds(self) -> float:
        """Seconds to the first token."""
        return FIRST_TOKEN_OVERHEAD_SECONDS + self.wait_seconds + self.prefill_seconds


def choose_engine(candidates: Sequence[Candidate]) -> Placement | None:
    """Return the engine for a prompt, ``None`` if all are full."""
    free = [one for one in candidates if one.running_requests < one.concurrency_limit]
    if not free:
        return None
    best = min(free, key=_score_engine)
    return Placement(
        best.server,
        best.pending_tokens / best.prefill_rate,
        best.uncached_tokens / best.prefill_rate,
        best.uncached_tokens,
        best.copy_source,
    )


def choose_plain_server(candidates: Sequence[Candidate]) -> Placement | None:
    """Return the server for a plain request, ``None`` if all are full."""
    free = [one for one in candidates if one.running_requests < one.server.slots]
    if not free:
        return None
    best = min(free, key=_score_plain_server)
    return Placement(best.server, 0.0, 0.0, 0)


def _score_engine(candidate: Candidate) -> float:
    return (
        candidate.pending_tokens / candidate.prefill_rate
        + PREFILL_WEIGHT * candidate.uncached_tokens / candidate.prefill_rate
        + COPY_COST_SECONDS * candidate.copied_tokens / 1_000
        + FULL_ENGINE_COST_SECONDS
        * candidate.running_requests
        / candidate.concurrency_limit
        + RANK_COST_SECONDS * min(candidate.rank, 4)
        + ERROR_COST_SECONDS * candidate.error_ratio
    )


def _score_plain_server(candidate: Candidate) -> float:
    return (
        FULL_SLOTS_COST_SECONDS * candidate.running_requests / candidate.server.slots
        + ERROR_COST_SECONDS * candidate.error_ratio
        + (0.0 if candidate.is_local else REMOTE_DOMAIN_COST_SECONDS)
        + RANK_COST_SECONDS / 100 * candidate.rank
    )
