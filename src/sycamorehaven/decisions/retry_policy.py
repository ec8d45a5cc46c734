"""Whether a request goes to another backend server after a failed attempt."""

from __future__ import annotations

from typing import Literal, NamedTuple

RetryObstacle = Literal["", "may_have_run", "attempts", "budget", "deadline"]

MAX_CONNECT_FAILURES = 4
"""Servers to which a connection is tried for one request."""
MIN_ATTEMPT_SECONDS = 0.03
"""Seconds before the deadline at which no further attempt begins."""


class AttemptHistory(NamedTuple):
    """
    The attempts of a request so far.

    :ivar arrived: attempts that reached a server.
    :ivar unreached: attempts for which no connection opened.
    :ivar may_have_run: whether one of them may have run.
    """

    reached: int = 0
    unreached: int = 0
    may_have_run: bool = False

    def add_attempt(self, *, reached: bool, may_have_run: bool) -> AttemptHistory:
        """Return the history with one more attempt."""
        return AttemptHistory(
            self.reached + reached,
            self.unreached + (not reached),
            self.may_have_run or may_have_run,
        )


def find_retry_obstacle(
    history: AttemptHistory,
    max_attempts: int,
    remaining_seconds: float,
    *,
    is_repeatable: bool,
) -> RetryObstacle:
    """
    Return what speaks against another attempt, "" if nothing does.

    :param attempts: servers that one request may reach.
    :param left: seconds until the deadline.
    :param repeatable: whether the request may run more than once.
    """
    if history.may_have_run and not is_repeatable:
        return "may_have_run"
    if history.reached >= max_attempts or history.unreached >= MAX_CONNECT_FAILURES:
        return "attempts"
    if remaining_seconds < MIN_ATTEMPT_SECONDS:
        return "deadline"
    return ""


class IdleTimeouts(NamedTuple):
    """
    How long a server may be silent before a request goes elsewhere.

    :ivar first: seconds to the first byte.
    :ivar next: seconds between two parts of an answer.
    """

    first_byte_seconds: float
    next_chunk_seconds: float


FIRST_BYTE_TARGET_RATIO = 2.0
"""Targets within which a repeatable request gets a first byte."""
MIN_IDLE_TIMEOUT_SECONDS = 0.3
"""Seconds of silence that are always allowed."""
PAUSE_RATIO = 4.0
"""Longest pauses of a route after which a stream goes on elsewhere."""
UNLIMITED_SECONDS = 3_600.0
"""Seconds for what may only end with its deadline."""


def compute_idle_timeouts(
    *, is_repeatable: bool, target_seconds: float, longest_pause_seconds: float
) -> IdleTimeouts:
    """Return the limits for a request."""
    if not is_repeatable:
        return IdleTimeouts(UNLIMITED_SECONDS, UNLIMITED_SECONDS)
    first = max(FIRST_BYTE_TARGET_RATIO * target_seconds, MIN_IDLE_TIMEOUT_SECONDS)
    return IdleTimeouts(first, max(PAUSE_RATIO * longest_pause_seconds, first))
