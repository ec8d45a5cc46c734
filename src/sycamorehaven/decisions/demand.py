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

REFRESH = 1.0
"""Shortest time between two refreshes of one scheduler, seconds."""
LONGEST_REFRESH = 5.0
"""Longest time between two refreshes of one scheduler, seconds."""
REFRESH_BYTES = 150
"""Size of one report, for the length of a refresh, bytes."""
REFRESH_BUDGET = 6_000
"""Bytes per second that one router's refreshes may take."""
LIFETIME = 4.0
"""Refreshes after which a report is void."""
SMALL_SERVICE = 8
"""Schedulers of one service that are all told at once."""
FIRST_REACH = 2
"""Schedulers of a larger service told of a request at once."""
QUICK_REACH = 4
"""Schedulers told within some exchanges of messages unless all are busy."""
LARGEST_REACH = 8
"""Schedulers that are told at most while all slots are taken."""
WIDENING = 0.01
"""Seconds of waiting after which the reach doubles."""
SLOW_WIDENING = 0.2
"""The same while all slots are taken."""
FREE_MEMORY = 1.0
"""Seconds for which a scheduler is taken to have the free slots it told of."""
SATURATED_WAIT = 0.05
"""Seconds of waiting that tell that all slots are taken."""
SATURATION_MEMORY = 3.0
"""Seconds for which all slots are then believed to be taken."""
WITHDRAWAL = 0.05
"""Seconds after which a scheduler is told that nothing waits any more."""


def measure_refresh(told: int) -> float:
    """
    Return the seconds between refreshes, within the byte budget.

    :param told: reports that one round of refreshes takes.
    """
    needed = told * REFRESH_BYTES / REFRESH_BUDGET
    return min(max(needed, REFRESH), LONGEST_REFRESH)


class DemandKey(NamedTuple):
    """
    A queue that a scheduler is told of.

    :ivar workspace: whose requests.
    :ivar priority: their class.
    """

    workspace: str
    priority: str


class Queue(NamedTuple):
    """
    State of one queue.

    :ivar waiting: how many wait.
    :ivar since: when the oldest came in, monotonic seconds.
    """

    waiting: int
    since: float


class Told(NamedTuple):
    """
    What a scheduler was last told.

    :ivar at: when, monotonic seconds.
    :ivar counts: requests by queue.
    """

    at: float
    counts: dict[DemandKey, int]


class DemandPlanner:
    """
    Decides which schedulers of one service get a report now.

    :param first_reach: schedulers told of a request at once.
    :param largest_reach: schedulers told at most while all slots are taken.
    :param widening: seconds of waiting after which the reach doubles.
    :param slow_widening: the same while all slots are taken.
    """

    def __init__(
        self,
        first_reach: int = FIRST_REACH,
        largest_reach: int = LARGEST_REACH,
        widening: float = WIDENING,
        slow_widening: float = SLOW_WIDENING,
    ) -> None:
        self._first_reach = first_reach
        self._largest_reach = largest_reach
        self._widening = widening
        self._slow_widening = slow_widening
        self._free_until: dict[str, float] = {}
        self._saturated_until = 0.0
        self._told: dict[str, Told] = {}

    @property
    def told(self) -> int:
        """Schedulers that must be refreshed."""
        return len(self._told)

    def choose(
        self,
        queues: Mapping[DemandKey, Queue],
        schedulers: Sequence[str],
        holders: Collection[str],
        now: float,
        refresh: float = REFRESH,
    ) -> list[str]:
        """
        Return the hosts to report to, and note them as told.

        :param schedulers: hosts, the first to tell of demand first.
        :param holders: hosts that must know of permits held here.
        :param refresh: seconds between refreshes.
        """
        reach = self.measure_reach(queues, len(schedulers), now)
        counts = {key: queue.waiting for key, queue in queues.items()}
        near = self._order(schedulers, now)[:reach]
        chosen = [host for host in near if self._matters(host, counts)]
        for host in dict.fromkeys((*near, *sorted(holders), *self._told)):
            told = self._told.get(host)
            due = told is None or now >= self._find_due(told, counts, refresh)
            if due and host not in chosen:
                chosen.append(host)
        for host in chosen:
            self._note(host, counts, host in holders, now)
        return chosen

    def measure_reach(
        self, queues: Mapping[DemandKey, Queue], schedulers: int, now: float
    ) -> int:
        """Return to how many schedulers the oldest request is told."""
        if not queues:
            return 0
        if schedulers <= SMALL_SERVICE:
            return schedulers
        age = now - min(queue.since for queue in queues.values())
        saturated = now < self._saturated_until
        limit = min(self._largest_reach, schedulers) if saturated else schedulers
        reach = self._first_reach
        while reach < limit and age >= (step := self._find_step(reach, now)):
            reach, age = 2 * reach, age - step
        return min(reach, limit)

    def find_next(
        self,
        queues: Mapping[DemandKey, Queue],
        schedulers: int,
        now: float,
        refresh: float = REFRESH,
    ) -> float:
        """Return when to choose again at the latest, monotonic seconds."""
        due = now + refresh
        for told in self._told.values():
            due = min(due, self._find_due(told, queues, refresh))
        reach = self.measure_reach(queues, schedulers, now)
        if 0 < reach < schedulers:
            due = min(due, now + self._find_step(reach, now))
        return due

    def note_grant(self, host: str, key: DemandKey, free: int, now: float) -> None:
        """
        Note that a scheduler has counted a request out.

        :param free: slots that it still has free.
        """
        if free > 0:
            self._free_until[host] = now + FREE_MEMORY
        else:
            self._free_until.pop(host, None)
        told = self._told.get(host)
        if told is not None and told.counts.get(key, 0) > 0:
            told.counts[key] -= 1

    def note_wait(self, waited: float, now: float) -> None:
        """Note how long a request waited for its permit, seconds."""
        if waited > SATURATED_WAIT:
            self._saturated_until = now + SATURATION_MEMORY

    def note_return(self, host: str, workspace: str, waiting: int) -> None:
        """Note that a scheduler is told a workspace's newer count."""
        told = self._told.get(host)
        if told is None:
            return
        for key, count in told.counts.items():
            if key.workspace == workspace:
                told.counts[key] = min(count, waiting)

    def forget(self, host: str) -> None:
        """Forget what was told to a host that is gone or was restarted."""
        self._told.pop(host, None)

    def _find_step(self, reach: int, now: float) -> float:
        if reach >= QUICK_REACH or now < self._saturated_until:
            return self._slow_widening
        return self._widening

    def _order(self, schedulers: Sequence[str], now: float) -> Sequence[str]:
        if len(schedulers) <= SMALL_SERVICE or not self._free_until:
            return schedulers
        return sorted(schedulers, key=lambda h: self._free_until.get(h, 0.0) <= now)

    def _find_due(
        self, told: Told, counts: Collection[DemandKey], refresh: float
    ) -> float:
        stale = any(
            count > 0 and key not in counts for key, count in told.counts.items()
        )
        return told.at + (WITHDRAWAL if stale else refresh)

    def _matters(self, host: str, counts: Mapping[DemandKey, int]) -> bool:
        told = self._told.get(host)
        if told is None:
            return True
        return any(count > 2 * told.counts.get(key, 0) for key, count in counts.items())

    def _note(
        self, host: str, counts: dict[DemandKey, int], holds: bool, now: float
    ) -> None:
        if counts or holds:
            self._told[host] = Told(now, dict(counts))
        else:
            self._told.pop(host, None)
