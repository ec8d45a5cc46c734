"""
What became of each workspace's requests, and where processor time went.

Written by the listener, the dispatcher, the runs and the handlers of news;
the workload monitor takes it once a second.
"""

from __future__ import annotations

import contextlib
import time
from collections import Counter
from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

Activity = Literal["dispatch", "news", "rejection"]
"""Work of the event loop whose time is measured. All other work, relaying
most of all, is the rest."""
RejectionStage = Literal["on_arrival", "by_head", "by_server", "by_dispatcher"]
"""How far a request got that is rejected for lack of time: its connection was
not accepted yet, its head was read, the HTTP server had it, or the dispatcher,
which has read it whole."""


class DispatchPasses(NamedTuple):
    """
    Passes of the dispatcher over the pending requests.

    :ivar total: number of passes.
    :ivar cut_short: number of those that took too long to look at all.
    :ivar decisions: requests that they looked at.
    """

    total: int = 0
    cut_short: int = 0
    decisions: int = 0


class WorkspaceCounts(NamedTuple):
    """
    Requests of one workspace at this router.

    :ivar workspace: name of the workspace.
    :ivar arrived: requests whose headers were read.
    :ivar rejected: requests refused unrun, by reason.
    :ivar tried: attempts on backend servers.
    :ivar began: attempts whose first event arrived.
    :ivar began_tokens: prompt tokens of these.
    :ivar late: requests whose first event came later than the route's target.
    """

    workspace: str
    arrived: int
    rejected: dict[str, int]
    tried: int
    began: int
    began_tokens: int
    late: int


class FirstEvents(NamedTuple):
    """
    First events of prompts, as expected at the placement and as measured.

    :ivar events: number of them.
    :ivar expected_seconds: sum of the times that were expected.
    :ivar measured_seconds: sum of the times from placement to first event.
    """

    events: int = 0
    expected_seconds: float = 0.0
    measured_seconds: float = 0.0


class WorkloadSection:
    """
    Counts since they were last taken.

    :param clock: returns seconds for the measurement of activities.
    :ivar accept_rate: requests per second that the router accepts while it is
        busy; 0 before the first request.
    """

    def __init__(self, clock: Callable[[], float] = time.perf_counter) -> None:
        self._clock = clock
        self.accept_rate = 0.0
        self._arrived: Counter[str] = Counter()
        self._rejected: dict[str, Counter[str]] = {}
        self._tried: Counter[str] = Counter()
        self._began: Counter[str] = Counter()
        self._began_tokens: Counter[str] = Counter()
        self._late: Counter[str] = Counter()
        self._first_events = FirstEvents()
        self._relayed_events = 0
        self._connections = 0
        self._accepted = 0
        self._offloaded = 0
        self._passes = DispatchPasses()
        self._rejection_stages: Counter[str] = Counter()
        self._verdicts: dict[str, Counter[str]] = {}
        self._denials: Counter[str] = Counter()
        self._seconds: dict[str, float] = {}

    def count_arrival(self, workspace: str) -> None:
        """Count a request whose headers were read."""
        self._arrived[workspace] += 1

    def count_rejection(self, workspace: str, reason: str) -> None:
        """Count a request that is refused unrun."""
        self._rejected.setdefault(workspace, Counter())[reason] += 1

    def count_rejection_stage(self, stage: RejectionStage) -> None:
        """Count a request that is rejected for lack of time."""
        self._rejection_stages[stage] += 1

    def count_connection(self) -> None:
        """Count a connection of a client that was accepted."""
        self._connections += 1

    def count_accepted(self) -> None:
        """Count a request that the router has time for."""
        self._accepted += 1

    def count_offloaded(self) -> None:
        """Count a request that another router answers."""
        self._offloaded += 1

    def count_pass(self, decisions: int, *, is_cut_short: bool) -> None:
        """
        Count a pass of the dispatcher.

        :param decisions: requests that it looked at.
        :param is_cut_short: whether it took too long to look at all.
        """
        total, cut_short, considered = self._passes
        self._passes = DispatchPasses(
            total + 1, cut_short + is_cut_short, considered + decisions
        )

    def count_verdict(self, verdict: str, *, is_over_share: bool) -> None:
        """
        Count what this router decided as the scheduler of an engine.

        :param is_over_share: whether the workspace has received more than its
            fair share.
        """
        side = "over_share" if is_over_share else "within_share"
        self._verdicts.setdefault(side, Counter())[verdict] += 1

    def count_denial(self, cause: str) -> None:
        """
        Count a request that an engine did not admit at once.

        :param cause: what it had to wait for.
        """
        self._denials[cause] += 1

    def count_attempt(self, workspace: str) -> None:
        """Count an attempt on a backend server."""
        self._tried[workspace] += 1

    def count_begin(self, workspace: str, tokens: int) -> None:
        """
        Count an attempt whose first event arrived.

        :param tokens: prompt tokens of the request.
        """
        self._began[workspace] += 1
        self._began_tokens[workspace] += tokens

    def count_late(self, workspace: str) -> None:
        """Count a request whose first event came too late."""
        self._late[workspace] += 1

    def count_first_event(self, expected: float, measured: float) -> None:
        """
        Count the first event of a prompt.

        :param expected: seconds that were expected when it was placed.
        :param measured: seconds that it took.
        """
        events, expected_seconds, measured_seconds = self._first_events
        self._first_events = FirstEvents(
            events + 1, expected_seconds + expected, measured_seconds + measured
        )

    def count_relayed(self) -> None:
        """Count a chunk of an answer that was passed on to a client."""
        self._relayed_events += 1

    @contextlib.contextmanager
    def measure(self, activity: Activity) -> Iterator[None]:
        """Add the time that the context takes to an activity."""
        started_at = self._clock()
        try:
            yield
        finally:
            elapsed = self._clock() - started_at
            self._seconds[activity] = self._seconds.get(activity, 0.0) + elapsed

    def take_seconds(self) -> dict[str, float]:
        """Return and clear the seconds of each activity."""
        seconds, self._seconds = self._seconds, {}
        return seconds

    def take_relayed_events(self) -> int:
        """Return and clear the number of chunks passed on to clients."""
        events, self._relayed_events = self._relayed_events, 0
        return events

    def take_connections(self) -> int:
        """Return and clear the number of accepted connections."""
        connections, self._connections = self._connections, 0
        return connections

    def take_accepted(self) -> int:
        """Return and clear the number of requests that there was time for."""
        accepted, self._accepted = self._accepted, 0
        return accepted

    def take_offloaded(self) -> int:
        """Return and clear the number of requests that others answer."""
        offloaded, self._offloaded = self._offloaded, 0
        return offloaded

    def take_passes(self) -> DispatchPasses:
        """Return and clear the passes of the dispatcher."""
        passes, self._passes = self._passes, DispatchPasses()
        return passes

    def take_verdicts(self) -> dict[str, dict[str, int]]:
        """Return and clear the verdicts of a scheduler, by share."""
        verdicts, self._verdicts = self._verdicts, {}
        return {side: dict(counts) for side, counts in verdicts.items()}

    def take_denials(self) -> dict[str, int]:
        """Return and clear the denials of a scheduler, by cause."""
        denials, self._denials = self._denials, Counter()
        return dict(denials)

    def take_rejection_stages(self) -> dict[str, int]:
        """Return and clear the rejections for lack of time, by stage."""
        stages, self._rejection_stages = self._rejection_stages, Counter()
        return dict(stages)

    def take_first_events(self) -> FirstEvents:
        """Return and clear the first events of prompts."""
        first_events, self._first_events = self._first_events, FirstEvents()
        return first_events

    def take_workspaces(self, busiest: int, starved: int) -> list[WorkspaceCounts]:
        """
        Return some workspaces, and clear the counts of all.

        :param busiest: largest number of those with the most requests.
        :param starved: largest number of others, those of whose requests the
            smallest fraction began in time.
        """
        chosen = [name for name, _ in self._arrived.most_common(busiest)]
        others = self._arrived.keys() - set(chosen)
        chosen += sorted(others, key=self._get_good_ratio)[:starved]
        counts = [
            WorkspaceCounts(
                workspace,
                self._arrived[workspace],
                dict(self._rejected.get(workspace, {})),
                self._tried[workspace],
                self._began[workspace],
                self._began_tokens[workspace],
                self._late[workspace],
            )
            for workspace in chosen
        ]
        for counter in (
            self._arrived,
            self._rejected,
            self._tried,
            self._began,
            self._began_tokens,
            self._late,
        ):
            counter.clear()
        return counts

    def _get_good_ratio(self, workspace: str) -> tuple[float, str]:
        """Return the fraction of a workspace's requests that began in time."""
        good = self._began[workspace] - self._late[workspace]
        return good / self._arrived[workspace], workspace
