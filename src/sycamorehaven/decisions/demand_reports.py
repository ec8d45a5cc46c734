"""
What an edge tells of its waiting requests, to whom and when.

A change is told at once only when it matters: a queue that was empty as far
as the scheduler knows, or one that has doubled. All else waits for the
refresh. A request that keeps waiting is told to more and more schedulers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

MIN_REFRESH_SECONDS = 1.0
"""Shortest time between two refreshes of one scheduler, seconds."""
MAX_REFRESH_SECONDS = 5.0
"""Longest time between two refreshes of one scheduler, seconds."""
REPORT_BYTES = 150
"""Size of one report, for the length of a refresh, bytes."""
REFRESH_BYTES_PER_SECOND = 6_000
"""Bytes per second that one router's refreshes may take."""
REPORT_LIFETIME_REFRESHES = 4.0
"""Refreshes after which a report is void."""
SMALL_SERVICE_SCHEDULERS = 8
"""Schedulers of one service that are all told at once."""
INITIAL_FANOUT = 2
"""Schedulers of a larger service told of a request at once."""
FAST_FANOUT = 4
"""Schedulers told within some exchanges of messages unless all are busy."""
MAX_SATURATED_FANOUT = 8
"""Schedulers that are told at most while all slots are taken."""
DOUBLING_SECONDS = 0.01
"""Seconds of waiting after which the reach doubles."""
SLOW_DOUBLING_SECONDS = 0.2
"""The same while all slots are taken."""
FREE_SLOTS_TTL_SECONDS = 1.0
"""Seconds for which a scheduler is taken to have the free slots it told of."""
SATURATION_WAIT_SECONDS = 0.05
"""Seconds of waiting that tell that all slots are taken."""
SATURATION_TTL_SECONDS = 3.0
"""Seconds for which all slots are then believed to be taken."""
WITHDRAWAL_DELAY_SECONDS = 0.05
"""Seconds after which a scheduler is told that nothing waits any more."""


def compute_refresh_interval(report_count: int) -> float:
    """
    Return the seconds between refreshes, within the byte budget.

    :param report_count: reports that one round of refreshes takes.
    """
    needed = report_count * REPORT_BYTES / REFRESH_BYTES_PER_SECOND
    return min(max(needed, MIN_REFRESH_SECONDS), MAX_REFRESH_SECONDS)


class DemandKey(NamedTuple):
    """
    A queue that a scheduler is told of.

    :ivar workspace: whose requests.
    :ivar priority: their class.
    """

    workspace: str
    priority: str


class QueueSnapshot(NamedTuple):
    """
    State of one queue.

    :ivar waiting: how many wait.
    :ivar oldest_at: when the oldest came in, monotonic seconds.
    """

    waiting: int
    oldest_at: float


class SentReport(NamedTuple):
    """
    What a scheduler was last told.

    :ivar sent_at: when, monotonic seconds.
    :ivar counts: requests by queue.
    """

    sent_at: float
    counts: dict[DemandKey, int]


class ReportPlanner:
    """
    Decides which schedulers of one service get a report now.

    :param initial_fanout: schedulers told of a request at once.
    :param max_saturated_fanout: schedulers told at most while all slots are
        taken.
    :param doubling_seconds: seconds of waiting after which the reach doubles.
    :param slow_doubling_seconds: the same while all slots are taken.
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
        """Schedulers that must be refreshed."""
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
        Return the hosts to report to, and note them as told.

        :param schedulers: hosts, the first to tell of demand first.
        :param permit_schedulers: hosts that must know of permits held here.
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
        self, queues: Mapping[DemandKey, QueueSnapshot], schedulers: int, now: float
    ) -> int:
        """Return to how many schedulers the oldest request is told."""
        if not queues:
            return 0
        if schedulers <= SMALL_SERVICE_SCHEDULERS:
            return schedulers
        age = now - min(queue.oldest_at for queue in queues.values())
        saturated = now < self._saturated_until
        limit = min(self._max_saturated_fanout, schedulers) if saturated else schedulers
        fanout = self._initial_fanout
        while fanout < limit and age >= (
            step := self._get_doubling_seconds(fanout, now)
        ):
            fanout, age = 2 * fanout, age - step
        return min(fanout, limit)

    def get_next_due(
        self,
        queues: Mapping[DemandKey, QueueSnapshot],
        schedulers: int,
        now: float,
        refresh: float = MIN_REFRESH_SECONDS,
    ) -> float:
        """Return when to choose again at the latest, monotonic seconds."""
        due = now + refresh
        for sent in self._sent.values():
            due = min(due, self._get_due_time(sent, queues, refresh))
        fanout = self.compute_fanout(queues, schedulers, now)
        if 0 < fanout < schedulers:
            due = min(due, now + self._get_doubling_seconds(fanout, now))
        return due

    def record_grant(self, host: str, key: DemandKey, free: int, now: float) -> None:
        """
        Note that a scheduler has counted a request out.

        :param free: slots that it still has free.
        """
        if free > 0:
            self._free_until[host] = now + FREE_SLOTS_TTL_SECONDS
        else:
            self._free_until.pop(host, None)
        sent = self._sent.get(host)
        if sent is not None and sent.counts.get(key, 0) > 0:
            sent.counts[key] -= 1

    def record_wait(self, waited: float, now: float) -> None:
        """Note how long a request waited for its permit, seconds."""
        if waited > SATURATION_WAIT_SECONDS:
            self._saturated_until = now + SATURATION_TTL_SECONDS

    def record_return(self, host: str, workspace: str, waiting: int) -> None:
        """Note that a scheduler is told a workspace's newer count."""
        sent = self._sent.get(host)
        if sent is None:
            return
        for key, count in sent.counts.items():
            if key.workspace == workspace:
                sent.counts[key] = min(count, waiting)

    def forget_host(self, host: str) -> None:
        """Forget what was told to a host that is gone or was restarted."""
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
        self, host: str, counts: dict[DemandKey, int], holds: bool, now: float
    ) -> None:
        if counts or holds:
            self._sent[host] = SentReport(now, dict(counts))
        else:
            self._sent.pop(host, None)
