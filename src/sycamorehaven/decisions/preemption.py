"""
Preemption of batch streams in favour of interactive requests.

A stream that can be resumed is cancelled and queued again, first in line.
The bounds: a stream is preempted a limited number of times and never before
it has run for a while; no more streams are being preempted than requests
wait; and only a workspace whose virtual time is not ahead of the victim's
gains by it, or the victim's own, so that preemption moves no share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.call import BATCH, INTERACTIVE
from sycamorehaven.decisions.holdings import PermitName

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Sequence

    from sycamorehaven.configuration.model import CallRule
    from sycamorehaven.decisions.backlog import Backlog
    from sycamorehaven.decisions.fair_share import FairShare
    from sycamorehaven.decisions.holdings import Holdings

MOST_PREEMPTIONS = 3
"""Times that one request is preempted; after that it runs to its end."""
SHORTEST_RUN = 1.0
"""Seconds that a stream runs before it may be preempted."""
PATIENCE = 0.05
"""Seconds that an interactive request waits before a stream is preempted."""
TURN = 0.1
"""Seconds by which each further scheduler of a service waits longer."""
ORDER_TIMEOUT = 2.0
"""Seconds after which a preemption that freed no slot counts no longer."""
ROUNDING = 1e-9
"""Relative difference of virtual times that counts as none."""
LAST_TURN = 8
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

    :ivar permit: the permit's name.
    :ivar workspace: whose stream.
    :ivar virtual_time: of that workspace, units per weight.
    :ivar granted_at: monotonic seconds.
    :ivar resumable: whether its edge says that it can be preempted.
    :ivar guaranteed: whether it was granted by batch's guaranteed fraction.
    """

    permit: PermitName
    workspace: str
    virtual_time: float
    granted_at: float
    resumable: bool
    guaranteed: bool


class PreemptionOrder(NamedTuple):
    """
    A stream to preempt.

    :ivar permit: its permit's name.
    :ivar workspace: in whose favour.
    """

    permit: PermitName
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
    return max(allowed, key=lambda c: (c.granted_at, c.permit), default=None)


def may_preempt(claimant: Claimant, candidate: Candidate, now: float) -> bool:
    """
    Return whether a stream may make way for a workspace.

    The claimant must not be ahead of the victim's workspace; it would be
    granted the next free slot before that one anyway. A workspace's own stream
    makes way unless it runs by the fraction that batch is guaranteed.
    """
    if not candidate.resumable or now - candidate.granted_at < SHORTEST_RUN:
        return False
    if candidate.workspace == claimant.workspace:
        return not candidate.guaranteed
    ahead = claimant.virtual_time - candidate.virtual_time
    return ahead <= ROUNDING * abs(candidate.virtual_time)


class Preemptor:
    """Chooses streams to preempt and remembers those that were told to."""

    def __init__(self) -> None:
        self._orders: dict[PermitName, tuple[str, float]] = {}

    @property
    def outstanding(self) -> int:
        """Preemptions that have not freed their slot yet."""
        return len(self._orders)

    def forget(self, permit: PermitName) -> None:
        """Note that a permit has come back."""
        self._orders.pop(permit, None)

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
        patience = PATIENCE + TURN * min(turn, LAST_TURN)
        orders: list[PreemptionOrder] = []
        left = [c for c in candidates if c.permit not in self._orders]
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
            self._orders[victim.permit] = (claimant.workspace, now)
            orders.append(PreemptionOrder(victim.permit, claimant.workspace))
            gained = claimant.virtual_time + claimant.cost
            claimant = claimant._replace(virtual_time=gained)
        return orders

    def _count(self, workspace: str) -> int:
        return sum(1 for name, _ in self._orders.values() if name == workspace)

    def _expire(self, now: float) -> None:
        self._orders = {
            permit: (workspace, since)
            for permit, (workspace, since) in self._orders.items()
            if now - since <= ORDER_TIMEOUT
        }


class Reclaimer:
    """
    Preempts streams for the workspace that is due.

    :param share: virtual times.
    :param backlog: what waits.
    :param holdings: permits that are out.
    """

    def __init__(self, share: FairShare, backlog: Backlog, holdings: Holdings) -> None:
        self._share = share
        self._backlog = backlog
        self._holdings = holdings
        self._preemptor = Preemptor()

    def forget(self, permit: PermitName) -> None:
        """Note that a permit has come back."""
        self._preemptor.forget(permit)

    def choose(
        self, cost: float, guaranteed: Container[PermitName], now: float, turn: int
    ) -> list[PreemptionOrder]:
        """
        Return the streams to preempt now; call it when no slot is free.

        :param cost: estimated cost per weight of the request that is due.
        :param guaranteed: permits granted by batch's guaranteed fraction.
        :param turn: rank of this scheduler among those of the service.
        """
        workspace = self._share.choose()
        if workspace is None:
            return []
        row = self._backlog.peek(workspace, INTERACTIVE)
        if row is None or now - row.since < PATIENCE:
            return []
        claimant = Claimant(
            workspace,
            self._share.measure(workspace),
            cost,
            self._backlog.count_class(workspace, INTERACTIVE),
            now - row.since,
        )
        candidates = self._list_candidates(guaranteed)
        return self._preemptor.choose([claimant], candidates, now, turn)

    def _list_candidates(self, guaranteed: Container[PermitName]) -> list[Candidate]:
        return [
            Candidate(
                name,
                holding.workspace,
                self._share.measure(holding.workspace),
                holding.granted_at,
                holding.resumable,
                name in guaranteed,
            )
            for name, holding in self._holdings.all.items()
            if holding.priority == BATCH
        ]
