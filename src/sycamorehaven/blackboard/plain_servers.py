"""
Results, slowdowns and service times of the plain servers.

Written by the controllers of routed requests: the reservations and the
controllers of the fleet state and of plain servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.plain_servers.reporting import (
    PROMPT_REPORT_RATIO,
    ServerReport,
    UnreportedResults,
    choose_report_period_seconds,
    choose_reports,
)
from sycamorehaven.decisions.plain_servers.results import (
    NO_FAILURES,
    FailureEstimate,
    PooledResults,
)
from sycamorehaven.decisions.plain_servers.slowdown import (
    NO_SLOWDOWN,
    ServiceTimes,
    SlowdownReport,
)

if TYPE_CHECKING:
    from collections.abc import Collection


class PlainServersSection:
    """
    What is known of the servers of services without engines.

    :param domain: failure domain of this router.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._results: dict[str, PooledResults] = {}
        self._unreported: dict[str, UnreportedResults] = {}
        self._slowdowns: dict[str, SlowdownReport] = {}
        self._service_times = ServiceTimes()

    @property
    def service_times(self) -> ServiceTimes:
        """Average time of a request of each route."""
        return self._service_times

    def record_own_result(self, server: str, now: float, *, failed: bool) -> None:
        """
        Count a result of this router, which other routers are to hear.

        :param server: id of the server.
        """
        self.add_results(server, self._domain, 1, int(failed), now)
        unreported = self._unreported.get(server)
        if unreported is None:
            unreported = self._unreported[server] = UnreportedResults(now)
        unreported.record(failed=failed)

    def add_results(
        self, server: str, domain: str, answered: int, failed: int, now: float
    ) -> None:
        """
        Add results of a router to those of all routers.

        :param domain: failure domain of the router.
        :param answered: number of results, failures included.
        :param failed: number of failures.
        """
        results = self._results.get(server)
        if results is None:
            results = self._results[server] = PooledResults(self._domain)
        results.add(domain, answered, failed, now)

    def find_results(self, server: str) -> PooledResults | None:
        """Return the pooled results of a server; ``None`` if it has none."""
        return self._results.get(server)

    def estimate_failures(self, server: str, now: float) -> FailureEstimate:
        """Return what the results of a server say of its next request."""
        results = self._results.get(server)
        return results.estimate(now) if results else NO_FAILURES

    def take_reports(self, members: int, now: float) -> list[ServerReport]:
        """
        Return the results to tell the other routers, which count as told.

        :param members: number of members of the fleet.
        """
        period = choose_report_period_seconds(members)
        reports = []
        for server, unreported in self._unreported.items():
            estimate = self.estimate_failures(server, now)
            is_prompt = estimate.is_failing or estimate.ratio >= PROMPT_REPORT_RATIO
            answered, failed = unreported.take(period, now, is_prompt=is_prompt)
            if answered:
                reports.append(ServerReport(server, answered, failed))
        chosen, postponed = choose_reports(reports)
        for report in postponed:
            self._unreported[report.server].put_back(report.answered, report.failed)
        return chosen

    def get_slowdown(self, server: str) -> SlowdownReport:
        """Return what a server has last said of its slowdown."""
        return self._slowdowns.get(server, NO_SLOWDOWN)

    def record_slowdown(self, server: str, report: SlowdownReport) -> None:
        """Record what a server says of its slowdown."""
        self._slowdowns[server] = report

    def retain(self, servers: Collection[str], routes: set[str]) -> None:
        """
        Forget the servers and routes that are gone.

        :param servers: ids of the registered plain servers.
        :param routes: names of the published routes.
        """
        for name in (self._results.keys() | self._slowdowns.keys()) - set(servers):
            self._results.pop(name, None)
            self._unreported.pop(name, None)
            self._slowdowns.pop(name, None)
        self._service_times.retain(routes)
