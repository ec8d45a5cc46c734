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
"""Bytes per second that refreshes may take."""
LIFETIME = 4.0
"""Refreshes after which a report is void."""
FIRST_REACH = 4
"""Schedulers told of a request at once."""
WIDENING = 0.01
"""Seconds of waiting after which the reach doubles."""


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
    :param widening: seconds of waiting after which the reach doubles.
    """

    def __init__(
        self, first_reach: int = FIRST_REACH, widening: float = WIDENING
    ) -> None:
        self._first_reach = first_reach
        self._widening = widening
        self._told: dict[str, Told] = {}

    @property
    def refresh(self) -> float:
        """Seconds between refreshes, within the byte budget."""
        needed = len(self._told) * REFRESH_BYTES / REFRESH_BUDGET
        return min(max(needed, REFRESH), LONGEST_REFRESH)

    @property
    def lifetime(self) -> float:
        """Seconds after which a report that is sent now is void."""
        return LIFETIME * max(self.refresh, REFRESH)

    def choose(
        self,
        queues: Mapping[DemandKey, Queue],
        schedulers: Sequence[str],
        holders: Collection[str],
        now: float,
    ) -> list[str]:
        """
        Return the hosts to report to, and note them as told.

        :param schedulers: hosts, the first to tell of demand first.
        :param holders: hosts that must know of permits held here.
        """
        reach = self.measure_reach(queues, len(schedulers), now)
        counts = {key: queue.waiting for key, queue in queues.items()}
        near = schedulers[:reach]
        chosen = [host for host in near if self._matters(host, counts)]
        refresh = self.refresh
        for host in dict.fromkeys((*near, *holders, *self._told)):
            told = self._told.get(host)
            due = told is None or now - told.at >= refresh
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
        age = now - min(queue.since for queue in queues.values())
        reach = self._first_reach
        while reach < schedulers and age >= self._widening:
            reach, age = 2 * reach, age - self._widening
        return min(reach, schedulers)

    def find_next(
        self, queues: Mapping[DemandKey, Queue], schedulers: int, now: float
    ) -> float:
        """Return when to choose again at the latest, monotonic seconds."""
        due = min((told.at for told in self._told.values()), default=now) + self.refresh
        if 0 < self.measure_reach(queues, schedulers, now) < schedulers:
            due = min(due, now + self._widening)
        return due

    def note_grant(self, host: str, key: DemandKey) -> None:
        """Note that a scheduler has counted a request out."""
        told = self._told.get(host)
        if told is not None and told.counts.get(key, 0) > 0:
            told.counts[key] -= 1

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
