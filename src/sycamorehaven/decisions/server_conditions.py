"""
What a backend server has said of itself: a limit, a rest, or that it leaves.

A server says these in its responses, and each holds from then on for every
request that might go to it. A limit and a rest end; a server that leaves does
not come back, and its successor at the same address is another server.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from sycamorehaven.routing.requests import ServerStatement

MAX_REST_SECONDS = 60.0
"""Longest rest that is kept; a longer one would lose the server for good if it
was a mistake."""
UNREADABLE_REPORT_SECONDS = 10.0
"""Least time between two reports that a server's headers make no sense."""

MIN_LIMIT_RATE = 0.25
"""Requests per second that are sent to a server in any case, since only its
responses tell that a limit has ended."""

Condition = Literal["limit", "rest", "leaving", "unreadable"]
"""Kind of a server's condition."""


class ConditionChange(NamedTuple):
    """
    A change of what a server says of itself.

    :ivar condition: what has changed.
    :ivar state: ``"named"``, ``"changed"`` or ``"ended"``.
    :ivar value: requests per second, seconds of rest, or 0.
    :ivar previous: the value before.
    :ivar detail: the headers that cannot be read.
    """

    condition: Condition
    state: Literal["named", "changed", "ended"]
    value: float = 0.0
    previous: float = 0.0
    detail: str = ""


class NamedLimit(NamedTuple):
    """
    The limit that a server has named last.

    :ivar rate: requests per second from all routers together; 0 for none.
    :ivar said_at: when a router received it, in monotonic seconds.
    """

    rate: float = 0.0
    said_at: float = 0.0


class ServerConditions:
    """What one incarnation of a server has said of itself."""

    def __init__(self) -> None:
        self._limit = NamedLimit()
        self._rest_until = 0.0
        self._rest_seconds = 0.0
        self._leaving_since: float | None = None
        self._unreadable_reported_at: float | None = None

    @property
    def limit(self) -> NamedLimit:
        """The newest limit."""
        return self._limit

    @property
    def rest_until(self) -> float:
        """When the rest ends that it asked this router for."""
        return self._rest_until

    @property
    def leaving_since(self) -> float | None:
        """When it was first heard that it leaves; ``None`` if it was not."""
        return self._leaving_since

    @property
    def holds_for_all(self) -> bool:
        """Whether a condition holds that concerns all routers."""
        return bool(self._limit.rate) or self._leaving_since is not None

    def apply_response(
        self, statement: ServerStatement, sent_at: float, now: float
    ) -> list[ConditionChange]:
        """
        Apply what the server says in a response, and return what changed.

        A response that names no limit ends the limit only if its request was
        sent after the limit was heard of. Otherwise it may be older.

        A limit so small that hardly any response would come counts as
        ``MIN_LIMIT_RATE``.

        :param sent_at: when the request was sent, in monotonic seconds.
        :param now: when the response was received, in monotonic seconds.
        """
        changes = []
        if statement.limit is not None:
            rate = max(statement.limit, MIN_LIMIT_RATE)
            changes += self.apply_limit(NamedLimit(rate, now))
        elif not statement.unreadable and sent_at >= self._limit.said_at:
            changes += self.apply_limit(NamedLimit(0.0, now))
        if statement.rest is not None:
            changes += self._begin_rest(statement.rest, now)
        if statement.leaving:
            changes += self.apply_leaving(now)
        if statement.unreadable:
            changes += self._report_unreadable(statement.unreadable, now)
        return changes

    def apply_limit(self, limit: NamedLimit) -> list[ConditionChange]:
        """Apply a limit unless a newer one is known; return the changes."""
        previous = self._limit
        if limit.said_at < previous.said_at:
            return []
        self._limit = limit
        if limit.rate == previous.rate:
            return []
        if not limit.rate:
            return [ConditionChange("limit", "ended", previous=previous.rate)]
        state: Literal["named", "changed"] = "changed" if previous.rate else "named"
        return [ConditionChange("limit", state, limit.rate, previous.rate)]

    def apply_leaving(self, since: float) -> list[ConditionChange]:
        """Record that the server leaves, and return whether that is news."""
        if self._leaving_since is not None:
            return []
        self._leaving_since = since
        return [ConditionChange("leaving", "named")]

    def end_rest(self, now: float) -> list[ConditionChange]:
        """Return the end of a rest that is over, once."""
        if not self._rest_seconds or now < self._rest_until:
            return []
        seconds, self._rest_seconds = self._rest_seconds, 0.0
        return [ConditionChange("rest", "ended", previous=seconds)]

    def _begin_rest(self, seconds: float, now: float) -> list[ConditionChange]:
        until = now + min(seconds, MAX_REST_SECONDS)
        if until <= self._rest_until:
            return []
        previous = max(self._rest_until - now, 0.0)
        self._rest_until, self._rest_seconds = until, seconds
        if previous:
            return [ConditionChange("rest", "changed", seconds, previous)]
        return [ConditionChange("rest", "named", seconds)]

    def _report_unreadable(
        self, headers: tuple[str, ...], now: float
    ) -> list[ConditionChange]:
        reported_at = self._unreadable_reported_at
        if reported_at is not None and now - reported_at < UNREADABLE_REPORT_SECONDS:
            return []
        self._unreadable_reported_at = now
        return [ConditionChange("unreadable", "named", detail="; ".join(headers))]
