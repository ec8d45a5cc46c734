"""
When a router leaves the load balancer's rotation, and when it comes back.

The balancer sends all connections of a client to one router, and so all that a
workspace with few clients asks for. A router that gets more than it can relay
spends its time on rejections, and the repeats come to it again. While it
reports that it is not ready, new connections go to other routers of the
failure domain; those that are open stay.

Its load is then somewhere else, and comes back with the router. So the router
stays away for as long as others tell that they get more of it than the router
relayed. It does not leave if the others have less processor than its own host,
since they could carry less. The balancer goes on using all routers of a
failure domain if fewer than half of them are ready.
"""

from __future__ import annotations

import statistics
from collections import Counter
from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_SECONDS = 1.0
"""Time over which arriving requests are counted."""
MIN_REJECTIONS = 50
"""Rejections in a window from which a router leaves; fewer cost little."""
MIN_ASKING_REJECTIONS = 10
"""Rejections in a window from which a router asks others for their load."""
REPLY_SECONDS = 0.3
"""Time for which a router waits for the first reports before it leaves."""
MAX_FLOODING_WORKSPACES = 4
"""Number of workspaces of which others are asked, those rejected most."""
MIN_ABSENCE_SECONDS = 4.0
"""Shortest absence. The balancer asks once a second and acts after two
misses."""
MAX_ABSENCE_SECONDS = 16.0
"""Longest time after which a router comes back if no other has its load."""
RELAPSE_SECONDS = 8.0
"""Time after a return within which the next absence is twice as long."""
REPORT_LIFETIME_SECONDS = 3.0
"""Time for which the report of another router counts. The load of a workspace
changes within a second."""
MIN_READY_RATIO = 0.5
"""Fraction of a failure domain's routers that must be ready for the balancer
to pass over the others."""
MIN_MEASURED_SECONDS = 0.25
"""Shortest time from which the rate of accepted requests is computed."""

Departure = Literal["left", "others_smaller", "few_ready"]
"""Whether an overloaded router leaves, or why it stays."""


class RotationReport(NamedTuple):
    """
    What another router of the failure domain says.

    :ivar rates: requests per second that arrive there, by workspace.
    :ivar cores: processor that its host has, in cores.
    :ivar is_absent: whether it has left the rotation.
    :ivar heard_at: when it said so, in monotonic seconds.
    :ivar callers_address: where it accepts requests, ``ip:port``.
    :ivar spare_cores: processor that it does not use, in cores.
    """

    rates: dict[str, float]
    cores: float
    is_absent: bool
    heard_at: float
    callers_address: str = ""
    spare_cores: float = 0.0


class RotationControl:
    """
    Decides from accepted and rejected requests, and from reports of others.

    A request counts as rejected if the router had no time to relay it.

    :param cores: processor that the host has, in cores.
    """

    def __init__(self, cores: float = 1.0) -> None:
        self._cores = cores
        self._window_began_at = 0.0
        self._accepted: Counter[str] = Counter()
        self._rejected: Counter[str] = Counter()
        self._last_rates: dict[str, float] = {}
        self._has_told_why = False
        self._overloaded_since: float | None = None
        self._is_absent = False
        self._earliest_return = 0.0
        self._returned_at = float("-inf")
        self._absence = MIN_ABSENCE_SECONDS
        self._flooding: tuple[str, ...] = ()
        self._carried_rate = 0.0
        self._reports: dict[str, RotationReport] = {}

    @property
    def cores(self) -> float:
        """Processor that the host has, in cores."""
        return self._cores

    @property
    def is_absent(self) -> bool:
        """Whether the router has to report that it is not ready."""
        return self._is_absent

    @property
    def flooding(self) -> tuple[str, ...]:
        """Workspaces of which the router gets, or got, more than it relays."""
        return self._flooding

    @property
    def carried_rate(self) -> float:
        """Requests per second that the router accepted when it left."""
        return self._carried_rate

    def measure_overload(self, now: float) -> float:
        """Return the seconds for which requests have been rejected."""
        self._slide(now)
        since = self._overloaded_since
        return now - since if since is not None else 0.0

    def record(self, workspace: str, now: float, *, accepted: bool) -> Departure | None:
        """
        Count a request, and decide whether the router leaves because of it.

        :param workspace: workspace of the request.
        :param now: time of its arrival, in monotonic seconds.
        :returns: ``None`` unless the router has just become overloaded.
        """
        self._slide(now)
        counts = self._accepted if accepted else self._rejected
        counts[workspace] += 1
        rejections = self._rejected.total()
        if accepted or rejections < MIN_ASKING_REJECTIONS or self._is_absent:
            return None
        self._flooding = tuple(
            name for name, _ in self._rejected.most_common(MAX_FLOODING_WORKSPACES)
        )
        if self._overloaded_since is None:
            self._overloaded_since = now
        if rejections < MIN_REJECTIONS or rejections <= self._accepted.total():
            return None
        departure = self._choose_departure(now, now - self._overloaded_since)
        if departure is None:
            return None
        if departure == "left":
            self._leave(now)
        elif self._has_told_why:
            return None
        self._has_told_why = True
        return departure

    def record_report(self, host: str, report: RotationReport) -> None:
        """
        Keep what another router of the failure domain says.

        :param host: host of the router.
        """
        self._reports[host] = report

    def forget_report(self, host: str) -> None:
        """Forget what another router has said, since it can't be reached."""
        self._reports.pop(host, None)

    def get_reports(self, now: float) -> dict[str, RotationReport]:
        """Return what the other routers have said lately, by host."""
        return {
            host: report
            for host, report in self._reports.items()
            if now - report.heard_at < REPORT_LIFETIME_SECONDS
        }

    def needs_reports(self, now: float) -> bool:
        """Return whether the load of the other routers has to be known."""
        self._slide(now)
        return self._is_absent or self._rejected.total() >= MIN_ASKING_REJECTIONS

    def measure_rates(self, workspaces: Iterable[str], now: float) -> dict[str, float]:
        """Return the requests per second that arrive here, by workspace."""
        self._slide(now)
        return {
            name: max(
                self._last_rates.get(name, 0.0),
                float(self._accepted[name] + self._rejected[name]),
            )
            for name in workspaces
        }

    def try_return(self, now: float) -> bool:
        """Return to the rotation if there is less load, and whether it did."""
        if not self._is_absent or now < self._earliest_return:
            return False
        if self.measure_flood(now) - self._carried_rate >= MIN_REJECTIONS:
            return False
        self._is_absent = False
        self._returned_at = now
        return True

    def measure_flood(self, now: float) -> float:
        """
        Return the rate at which the load that made the router leave arrives.

        All connections of a client reach one router, so it is the largest rate
        at any router.
        """
        own = sum(self.measure_rates(self._flooding, now).values())
        elsewhere = (
            sum(report.rates.get(name, 0.0) for name in self._flooding)
            for report in self._list_reports(now)
        )
        return max(own, *elsewhere, 0.0)

    def _list_reports(self, now: float) -> list[RotationReport]:
        return list(self.get_reports(now).values())

    def _choose_departure(self, now: float, overloaded_for: float) -> Departure | None:
        reports = self._list_reports(now)
        if not reports:
            return "left" if overloaded_for >= REPLY_SECONDS else None
        ready = [report.cores for report in reports if not report.is_absent]
        if len(ready) < MIN_READY_RATIO * (len(reports) + 1):
            return "few_ready"
        return "left" if statistics.fmean(ready) >= self._cores else "others_smaller"

    def _leave(self, now: float) -> None:
        if now - self._returned_at < RELAPSE_SECONDS:
            self._absence = min(2 * self._absence, MAX_ABSENCE_SECONDS)
        else:
            self._absence = MIN_ABSENCE_SECONDS
        self._is_absent = True
        self._earliest_return = now + self._absence
        measured = max(now - self._window_began_at, MIN_MEASURED_SECONDS)
        self._carried_rate = self._accepted.total() / measured

    def _slide(self, now: float) -> None:
        elapsed = now - self._window_began_at
        if elapsed < WINDOW_SECONDS:
            return
        if self._rejected.total() < MIN_ASKING_REJECTIONS:
            self._overloaded_since = None
        counts = self._accepted + self._rejected
        is_recent = elapsed < 2 * WINDOW_SECONDS
        self._last_rates = (
            {name: count / elapsed for name, count in counts.items()}
            if is_recent
            else {}
        )
        self._window_began_at = now
        self._accepted.clear()
        self._rejected.clear()
        self._has_told_why = False
