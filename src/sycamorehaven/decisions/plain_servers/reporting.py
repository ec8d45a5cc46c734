"""
Which results of plain servers a router tells the others, and when.

Load: 84 routers with a few requests per second each. If each told every
success at once, every router would read thousands of bytes per second while
nothing fails. Successes at a server without failures are therefore told
seldom. Results at a server that fails are told with the next news.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_REPORTED_SERVERS = 16
"""Servers in one report, those with failures first."""
REPORT_PERIOD_PER_MEMBER_SECONDS = 0.04
"""Time between two reports of successes only, for each member, which makes 25
reports per second and server in a fleet of any size. Shorter periods cost more
bytes, longer ones leave the window of a failure domain with few results."""
PROMPT_REPORT_RATIO = 0.02
"""Expected failure ratio from which results are told at once."""


class ServerReport(NamedTuple):
    """
    Results of a server that are to be told.

    :ivar server: id of the server.
    :ivar answered: number of results, failures included.
    :ivar failed: number of failures.
    """

    server: str
    answered: int
    failed: int


class UnreportedResults:
    """
    The results of one server at this router that others do not know.

    :param now: current time, in monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self._held_successes = 0
        self._answered = 0
        self._failed = 0
        self._reported_at = now

    def record(self, *, failed: bool) -> None:
        """Count a result."""
        self._answered += 1
        self._failed += failed

    def take(
        self, period_seconds: float, now: float, *, is_prompt: bool
    ) -> tuple[int, int]:
        """
        Return the results and failures to tell now, 0 and 0 for none.

        Successes that were held back are dropped when this router has seen a
        failure. They are from before it and would hide it.

        :param period_seconds: time between two reports of successes only.
        :param is_prompt: whether the server is known to fail requests.
        """
        answered, failed = self._answered, self._failed
        self._answered = self._failed = 0
        if not failed:
            answered += self._held_successes
            if not is_prompt and now - self._reported_at < period_seconds:
                self._held_successes = answered
                return 0, 0
        self._held_successes = 0
        if answered:
            self._reported_at = now
        return answered, failed

    def put_back(self, answered: int, failed: int) -> None:
        """Count results that did not fit in a report as not told."""
        self._answered += answered
        self._failed += failed


def choose_report_period_seconds(members: int) -> float:
    """Return the time between two reports of successes only, in seconds."""
    return members * REPORT_PERIOD_PER_MEMBER_SECONDS


def choose_reports(
    reports: Collection[ServerReport],
) -> tuple[list[ServerReport], list[ServerReport]]:
    """Return the reports to send now and those for which there is no room."""
    ordered = sorted(reports, key=lambda report: (-report.failed, report.server))
    return ordered[:MAX_REPORTED_SERVERS], ordered[MAX_REPORTED_SERVERS:]
