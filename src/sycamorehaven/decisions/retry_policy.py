"""Retries and timeouts of a request that is sent to backend servers."""

from __future__ import annotations

from typing import Literal, NamedTuple

RetryObstacle = Literal[
    "", "may_have_run", "attempts", "budget", "deadline", "quarantined"
]
"""Reason that rules out another attempt, or "" if there is none."""

MAX_CONNECT_FAILURES = 4
"""Failed connections after which a request is not tried again."""
MAX_REFUSED_CONNECTIONS = 64
"""Refused connections after which a request is not tried again. A refusal
takes one round trip, so this many take as long as a failed connection."""
MIN_ATTEMPT_SECONDS = 0.03
"""Time that must remain until the deadline to start another attempt."""


class AttemptHistory(NamedTuple):
    """
    Attempts of a request so far.

    :ivar reached: number of attempts that reached a server.
    :ivar unreached: number of attempts for which no connection was opened.
    :ivar may_have_run: whether a server may have run one of the attempts.
    :ivar refused: number of attempts whose connection was refused.
    """

    reached: int = 0
    unreached: int = 0
    may_have_run: bool = False
    refused: int = 0

    def add_attempt(
        self, *, reached: bool, may_have_run: bool, refused: bool = False
    ) -> AttemptHistory:
        """Return a history with one more attempt."""
        return AttemptHistory(
            self.reached + reached,
            self.unreached + (not reached and not refused),
            self.may_have_run or may_have_run,
            self.refused + refused,
        )


def find_retry_obstacle(
    history: AttemptHistory,
    max_attempts: int,
    remaining_seconds: float,
    *,
    is_repeatable: bool,
) -> RetryObstacle:
    """
    Return why no other attempt may be made, or "" if one may.

    :param history: attempts so far.
    :param max_attempts: number of servers that the request may reach.
    :param remaining_seconds: time until the deadline of the request.
    :param is_repeatable: whether the request may run more than once.
    """
    if history.may_have_run and not is_repeatable:
        return "may_have_run"
    if (
        history.reached >= max_attempts
        or history.unreached >= MAX_CONNECT_FAILURES
        or history.refused >= MAX_REFUSED_CONNECTIONS
    ):
        return "attempts"
    if remaining_seconds < MIN_ATTEMPT_SECONDS:
        return "deadline"
    return ""


class IdleTimeouts(NamedTuple):
    """
    How long a server may send nothing before the request is sent elsewhere.

    :ivar first_byte_seconds: longest time to the first byte of the answer.
    :ivar next_chunk_seconds: longest time between two chunks of the answer.
    """

    first_byte_seconds: float
    next_chunk_seconds: float


FIRST_BYTE_TARGET_RATIO = 2.0
"""Longest time to the first byte, as a multiple of the route's target
latency."""
MIN_IDLE_TIMEOUT_SECONDS = 0.3
"""Shortest timeout; a server may always be silent for this time."""
GAP_RATIO = 4.0
"""Longest time between two chunks, as a multiple of the longest gap between
events that the route allows."""
UNLIMITED_SECONDS = 3_600.0
"""Timeout of a request that may be ended only by its deadline."""


def compute_idle_timeouts(
    *, is_repeatable: bool, target_seconds: float, max_gap_seconds: float
) -> IdleTimeouts:
    """
    Return the idle timeouts of a request.

    :param is_repeatable: whether the request may run more than once.
    :param target_seconds: target latency of its route.
    :param max_gap_seconds: longest gap between two events of a stream that the
        route allows, 0 if it sets none.
    """
    if not is_repeatable:
        return IdleTimeouts(UNLIMITED_SECONDS, UNLIMITED_SECONDS)
    first_byte_seconds = max(
        FIRST_BYTE_TARGET_RATIO * target_seconds, MIN_IDLE_TIMEOUT_SECONDS
    )
    return IdleTimeouts(
        first_byte_seconds, max(GAP_RATIO * max_gap_seconds, first_byte_seconds)
    )
