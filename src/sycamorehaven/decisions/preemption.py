"""
Preemption of batch streams in favour of interactive requests.

A stream that can be resumed is cancelled and queued again, first in line.
The bounds: a stream is preempted a limited number of times and never before
it has run for a while; no more streams are being preempted than requests
wait; and only a workspace whose virtual time is behind the victim's gains by
it, or the victim's own, so that preemption moves no share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sycamorehaven.configuration.model import CallRule

MOST_PREEMPTIONS = 2
"""Times that one request is preempted; after that it runs to its end."""
SHORTEST_RUN = 1.0
"""Seconds that a stream runs before it may be preempted."""
PATIENCE = 0.05
"""Seconds that an interactive request waits before a stream is preempted."""
ORDER_TIMEOUT = 2.0
"""Seconds after which a preemption that freed no slot counts no longer."""
CONTROL_SHARE = 8
"""Schedulers that wait for each other's preemption in turn."""


class Claimant(NamedTuple):
    """
    A workspace with interactive requests that wait.

    :ivar workspace: its name.
    :ivar virtual_time: service received per weight, units.
    :ivar cost: estimated cost per weight of its next request, units.
    :ivar waiting: interactive requests that wait.
    :ivar oldest_age: age of the oldest of them, seconds.
    """

    workspace: str
    virtual_time: float
    cost: float
    waiting: int
    oldest_age: float


class Candidate(NamedTuple):
    """
    A permit under which a batch stream runs.

    :ivar number: the permit's number.
    :ivar workspace: whose stream.
    :ivar virtual_time: of that workspace, units per weight.
    :ivar granted_at: monotonic seconds.
    :ivar resumable: whether its edge says that it can be preempted.
    :ivar guaranteed: whether it was granted by batch's guaranteed fraction.
    """

    number: int
    workspace: str
    virtual_time: float
    granted_at: float
    resumable: bool
    guaranteed: bool


class PreemptionOrder(NamedTuple):
    """
    A stream to preempt.

    :ivar number: the permit's number.
    :ivar workspace: in whose favour.
    """

    number: int
    workspace: str


def is_preemptible(rule: CallRule, preemptions: int) -> bool:
    """
    Return whether a running call may be preempted.

    :param preemptions: how often it has been preempted.
    """
    return rule.idempotent and rule.resumable and preemptions < MOST_PREEMPTIONS


def choose_victim(
    claimant: Claimant, candidates: Iterable[Candidate], now: float
) -> Candidate | None:
    """Return the newest stream that may make way, or ``None``."""
    allowed = [c for c in candidates if may_preempt(claimant, c, now)]
    return max(allowed, key=lambda c: (c.granted_at, c.number), default=None)


def may_preempt(claimant: Claimant, candidate: Candidate, now: float) -> bool:
    """
    Return whether a stream may make way for a workspace.

    After the grant the claimant must still be no further than the victim's
    workspace. A workspace's own stream makes way unless it runs by the
    fraction that batch is guaranteed.
    """
    if not candidate.resumable or now - candidate.granted_at < SHORTEST_RUN:
        return False
    if candidate.workspace == claimant.workspace:
        return not candidate.guaranteed
    return claimant.virtual_time + claimant.cost <= candidate.virtual_time


class Preemptor:
    """Chooses streams to preempt and remembers those that were told to."""

    def __init__(self) -> None:
        self._orders: dict[int, tuple[str, float]] = {}

    @property
    def outstanding(self) -> int:
        """Preemptions that have not freed their slot yet."""
        return len(self._orders)

    def forget(self, number: int) -> None:
        """Note that a permit has come back."""
        self._orders.pop(number, None)

    def choose(
        self,
        claimants: Sequence[Claimant],
        candidates: Sequence[Candidate],
        now: float,
        turn: int = 0,
    ) -> list[PreemptionOrder]:
        """
        Return the streams to preempt now; call it when no slot is free.

        :param claimants: those who wait, the one due first ahead.
        :param candidates: batch streams that run here.
        :param turn: rank of this scheduler among those of the service; later
            ones wait longer, so that one request does not preempt a stream
            at every scheduler.
        """
        self._expire(now)
        patience = PATIENCE * (1 + min(turn, CONTROL_SHARE))
        orders: list[PreemptionOrder] = []
        left = [c for c in candidates if c.number not in self._orders]
        for claimant in claimants:
            room = claimant.waiting - self._count(claimant.workspace)
            if claimant.oldest_age < patience:
                room = 0
            orders += self._take(claimant, left, room, now)
        return orders

    def _take(
        self, claimant: Claimant, left: list[Candidate], room: int, now: float
    ) -> list[PreemptionOrder]:
        orders: list[PreemptionOrder] = []
        while len(orders) < room:
            victim = choose_victim(claimant, left, now)
            if victim is None:
                break
            left.remove(victim)
            self._orders[victim.number] = (claimant.workspace, now)
            orders.append(PreemptionOrder(victim.number, claimant.workspace))
            gained = claimant.virtual_time + claimant.cost
            claimant = claimant._replace(virtual_time=gained)
        return orders

    def _count(self, workspace: str) -> int:
        return sum(1 for name, _ in self._orders.values() if name == workspace)

    def _expire(self, now: float) -> None:
        self._orders = {
            number: (workspace, since)
            for number, (workspace, since) in self._orders.items()
            if now - since <= ORDER_TIMEOUT
        }
