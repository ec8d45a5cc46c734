"""
When an edge sends demand reports, and to which schedulers.

A change is reported at once only if it is significant: a queue that the
scheduler believes to be empty has requests, or a queue has more than doubled.
All other changes wait for the periodic refresh. The longer a request waits,
the more schedulers get a report of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

MIN_REFRESH_SECONDS = 1.0
"""Shortest interval between two refreshes of one scheduler."""
MAX_REFRESH_SECONDS = 5.0
"""Longest interval between two refreshes of one scheduler."""
REPORT_BYTES = 150
"""Assumed size of one report, from which the refresh interval is computed."""
REFRESH_BYTES_PER_SECOND = 6_000
"""Bandwidth that the refreshes of one router may use."""
REPORT_LIFETIME_REFRESHES = 4.0
"""Number of refresh intervals after which a report expires."""
SMALL_SERVICE_SCHEDULERS = 8
"""Number of schedulers up to which a report goes to all of them at once."""
INITIAL_FANOUT = 2
"""Schedulers of a larger service that get the first report of a request."""
FAST_FANOUT = 4
"""Fan-out up to which it doubles quickly, unless all slots are taken."""
MAX_SATURATED_FANOUT = 8
"""Maximum fan-out while all slots are taken."""
DOUBLING_SECONDS = 0.01
"""Waiting time after which the fan-out doubles."""
SLOW_DOUBLING_SECONDS = 0.2
"""Waiting time after which the fan-out doubles while all slots are taken, or
from ``FAST_FANOUT`` on."""
FREE_SLOTS_TTL_SECONDS = 1.0
"""Time for which a scheduler that announced free slots is assumed to have
some."""
SATURATION_WAIT_SECONDS = 0.05
"""Waiting time of a granted request above which all slots are assumed
taken."""
SATURATION_TTL_SECONDS = 3.0
"""Time for which this assumption holds."""
WITHDRAWAL_DELAY_SECONDS = 0.05
"""Time after the last report at which a scheduler is informed that a queue has
become empty."""


def compute_refresh_interval(report_count: int) -> float:
    """
    Return the seconds between refreshes that the byte budget allows.

    :param report_count: number of reports in one round of refreshes.
    """
    needed = report_count * REPORT_BYTES / REFRESH_BYTES_PER_SECOND
    return min(max(needed, MIN_REFRESH_SECONDS), MAX_REFRESH_SECONDS)


class DemandKey(NamedTuple):
    """
    A queue that demand is reported for.

    :ivar workspace: workspace of the requests.
    :ivar priority: priority class of the requests.
    """

    workspace: str
    priority: str


class QueueSnapshot(NamedTuple):
    """
    State of one queue.

    :ivar waiting: number of waiting requests.
    :ivar oldest_at: arrival time of the oldest request, in monotonic seconds.
    """

    waiting: int
    oldest_at: float


class SentReport(NamedTuple):
    """
    The last report sent to a scheduler.

    :ivar sent_at: time of sending, in monotonic seconds.
    :ivar counts: reported number of requests by queue, lowered by the grants
        and returns since then.
    """

    sent_at: float
    counts: dict[DemandKey, int]


class ReportPlanner:
    """
    Chooses the schedulers of one service that get a report.

    :param initial_fanout: schedulers that get the first report of a request.
    :param max_saturated_fanout: maximum fan-out while all slots are taken.
    :param doubling_seconds: waiting time after which the fan-out doubles.
    :param slow_doubling_seconds: the same while all slots are taken, or from
        ``FAST_FANOUT`` on.
    """

    def __init__(
        self,
        initial_fanout: int = INITIAL_FANOUT,
        max_saturated_fanout: int = MAX_SATURATED_FANOUT,
        doubling_seconds: float = DOUBLING_SECONDS,
        slow_doubling_seconds: float = SLOW_DOUBLING_SECONDS,
    ) -> None:
        self._initial_fanout = initial_fanout
        self._max_saturated_fanout = max_saturated_fanout
        self._doubling_seconds = doubling_seconds
        self._slow_doubling_seconds = slow_doubling_seconds
        self._free_until: dict[str, float] = {}
        self._saturated_until = 0.0
        self._sent: dict[str, SentReport] = {}

    @property
    def recipient_count(self) -> int:
        """Number of schedulers that need periodic refreshes."""
        return len(self._sent)

    def choose_recipients(
        self,
        queues: Mapping[DemandKey, QueueSnapshot],
        schedulers: Sequence[str],
        permit_schedulers: Collection[str],
        now: float,
        refresh: float = MIN_REFRESH_SECONDS,
    ) -> list[str]:
        """
        Return the hosts that get a report now, and record it as sent.

        :param queues: the non-empty queues.
        :param schedulers: hosts in order of preference.
        :param permit_schedulers: hosts that must be informed of the permits
            held at this edge.
        :param refresh: seconds between refreshes.
        """
        fanout = self.compute_fanout(queues, len(schedulers), now)
        counts = {key: queue.waiting for key, queue in queues.items()}
        within_fanout = self._order_by_free_slots(schedulers, now)[:fanout]
        chosen = [host for host in within_fanout if self._is_significant(host, counts)]
        for host in dict.fromkeys(
            (*within_fanout, *sorted(permit_schedulers), *self._sent)
        ):
            sent = self._sent.get(host)
            due = sent is None or now >= self._get_due_time(sent, counts, refresh)
            if due and host not in chosen:
                chosen.append(host)
        for host in chosen:
            self._record_sent(host, counts, host in permit_schedulers, now)
        return chosen

    def compute_fanout(
        self,
        queues: Mapping[DemandKey, QueueSnapshot],
        scheduler_count: int,
        now: float,
    ) -> int:
        """
        Return the number of schedulers that the oldest request is reported to.

        :param scheduler_count: number of schedulers of the service.
        """
        if not queues:
            return 0
        if scheduler_count <= SMALL_SERVICE_SCHEDULERS:
            return scheduler_count
        age = now - min(queue.oldest_at for queue in queues.values())
        saturated = now < self._saturated_until
        limit = (
            min(self._max_saturated_fanout, scheduler_count)
            if saturated
            else scheduler_count
        )
        fanout = self._initial_fanout
        while fanout < limit and age >= (
            step := self._get_doubling_seconds(fanout, now)
        ):
            fanout, age = 2 * fanout, age - step
        return min(fanout, limit)

    def get_next_due(
        self,
        queues: Mapping[DemandKey, QueueSnapshot],
        scheduler_count: int,
        now: float,
        refresh: float = MIN_REFRESH_SECONDS,
    ) -> float:
        """
        Return the latest time of the next choice, in monotonic seconds.

        :param scheduler_count: number of schedulers of the service.
        :param refresh: seconds between refreshes.
        """
        due = now + refresh
        for sent in self._sent.values():
            due = min(due, self._get_due_time(sent, queues, refresh))
        fanout = self.compute_fanout(queues, scheduler_count, now)
        if 0 < fanout < scheduler_count:
            due = min(due, now + self._get_doubling_seconds(fanout, now))
        return due

    def record_grant(self, host: str, key: DemandKey, free: int, now: float) -> None:
        """
        Record a grant, after which the scheduler expects one request less.

        :param free: slots that the scheduler still has free.
        """
        if free > 0:
            self._free_until[host] = now + FREE_SLOTS_TTL_SECONDS
        else:
            self._free_until.pop(host, None)
        sent = self._sent.get(host)
        if sent is not None and sent.counts.get(key, 0) > 0:
            sent.counts[key] -= 1

    def record_wait(self, waited: float, now: float) -> None:
        """Record the time in seconds that a request waited for its permit."""
        if waited > SATURATION_WAIT_SECONDS:
            self._saturated_until = now + SATURATION_TTL_SECONDS

    def record_return(self, host: str, workspace: str, waiting: int) -> None:
        """
        Record that a returned permit informs a scheduler of a newer count.

        :param waiting: requests of the workspace that wait at this edge now.
        """
        sent = self._sent.get(host)
        if sent is None:
            return
        for key, count in sent.counts.items():
            if key.workspace == workspace:
                sent.counts[key] = min(count, waiting)

    def forget_host(self, host: str) -> None:
        """Discard the state of a host that has left or restarted."""
        self._sent.pop(host, None)

    def _get_doubling_seconds(self, fanout: int, now: float) -> float:
        if fanout >= FAST_FANOUT or now < self._saturated_until:
            return self._slow_doubling_seconds
        return self._doubling_seconds

    def _order_by_free_slots(
        self, schedulers: Sequence[str], now: float
    ) -> Sequence[str]:
        if len(schedulers) <= SMALL_SERVICE_SCHEDULERS or not self._free_until:
            return schedulers
        return sorted(schedulers, key=lambda h: self._free_until.get(h, 0.0) <= now)

    def _get_due_time(
        self, sent: SentReport, counts: Collection[DemandKey], refresh: float
    ) -> float:
        has_emptied_queue = any(
            count > 0 and key not in counts for key, count in sent.counts.items()
        )
        return sent.sent_at + (
            WITHDRAWAL_DELAY_SECONDS if has_emptied_queue else refresh
        )

    def _is_significant(self, host: str, counts: Mapping[DemandKey, int]) -> bool:
        sent = self._sent.get(host)
        if sent is None:
            return True
        return any(count > 2 * sent.counts.get(key, 0) for key, count in counts.items())

    def _record_sent(
        self, host: str, counts: dict[DemandKey, int], holds_permits: bool, now: float
    ) -> None:
        if counts or holds_permits:
            self._sent[host] = SentReport(now, dict(counts))
        else:
            self._sent.pop(host, None)
