"""Whether a request goes to another backend server after a failed attempt."""

from __future__ import annotations

from typing import Literal, NamedTuple

Cause = Literal["", "may_have_run", "attempts", "budget", "deadline"]

MOST_CONNECTS = 4
"""Servers to which a connection is tried for one request."""
SHORTEST_TRY = 0.03
"""Seconds before the deadline at which no further attempt begins."""


class AttemptHistory(NamedTuple):
    """
    The attempts of a request so far.

    :ivar arrived: attempts that reached a server.
    :ivar unreached: attempts for which no connection opened.
    :ivar may_have_run: whether one of them may have run.
    """

    arrived: int = 0
    unreached: int = 0
    may_have_run: bool = False

    def add(self, *, arrived: bool, may_have_run: bool) -> AttemptHistory:
        """Return the history with one more attempt."""
        return AttemptHistory(
            self.arrived + arrived,
            self.unreached + (not arrived),
            self.may_have_run or may_have_run,
        )


def find_obstacle(
    history: AttemptHistory, attempts: int, left: float, *, repeatable: bool
) -> Cause:
    """
    Return what speaks against another attempt, "" if nothing does.

    :param attempts: servers that one request may reach.
    :param left: seconds until the deadline.
    :param repeatable: whether the request may run more than once.
    """
    if history.may_have_run and not repeatable:
        return "may_have_run"
    if history.arrived >= attempts or history.unreached >= MOST_CONNECTS:
        return "attempts"
    if left < SHORTEST_TRY:
        return "deadline"
    return ""


class SilenceLimits(NamedTuple):
    """
    How long a server may be silent before a request goes elsewhere.

    :ivar first: seconds to the first byte.
    :ivar next: seconds between two parts of an answer.
    """

    first: float
    next: float


FIRST_BYTE_TARGETS = 2.0
"""Targets within which a repeatable request gets a first byte."""
SHORTEST_SILENCE = 0.3
"""Seconds of silence that are always allowed."""
PAUSES = 4.0
"""Longest pauses of a route after which a stream goes on elsewhere."""
UNLIMITED = 3_600.0
"""Seconds for what may only end with its deadline."""


def choose_silence(
    *, repeatable: bool, target: float, longest_pause: float
) -> SilenceLimits:
    """Return the limits for a request."""
    if not repeatable:
        return SilenceLimits(UNLIMITED, UNLIMITED)
    first = max(FIRST_BYTE_TARGETS * target, SHORTEST_SILENCE)
    return SilenceLimits(first, max(PAUSES * longest_pause, first))
