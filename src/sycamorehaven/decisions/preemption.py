"""
Preemption of batch streams in favour of interactive requests.

A preempted stream is cancelled and goes back to the front of its queue, to be
resumed later. Several rules limit preemption:

* A stream is preempted a limited number of times, and only after it has run
  for a minimum time.
* The number of outstanding preemptions never exceeds that of waiting requests.
* A workspace may preempt a stream of another one only if its virtual time is
  not ahead of the other's, so that preemption shifts no share. It may also
  preempt its own streams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.call import BATCH, INTERACTIVE
from sycamorehaven.decisions.outstanding_permits import PermitId

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Sequence

    from sycamorehaven.configuration.model import CallRule
    from sycamorehaven.decisions.backlog import Backlog
    from sycamorehaven.decisions.fair_share import FairShare
    from sycamorehaven.decisions.outstanding_permits import OutstandingPermits

MAX_PREEMPTIONS = 3
"""Number of times that one request may be preempted; after that, it runs to
completion."""
MIN_RUN_SECONDS = 1.0
"""Time for which a stream runs before it may be preempted."""
MIN_WAIT_SECONDS = 0.05
"""Time that an interactive request waits before a stream is preempted for
it."""
WAIT_PER_RANK_SECONDS = 0.1
"""Additional waiting time per rank of the scheduler."""
ORDER_TIMEOUT_SECONDS = 2.0
"""Time after which a preemption that has not freed a slot is disregarded."""
RELATIVE_TOLERANCE = 1e-9
"""Relative difference up to which virtual times are considered equal."""
MAX_RANK = 8
"""Rank from which the additional waiting time grows no more."""


class Claimant(NamedTuple):
    """
    A workspace with waiting interactive requests.

    :ivar workspace: name of the workspace.
    :ivar virtual_time: service received per weight, in units.
    :ivar cost: estimated cost per weight of its next request, in units.
    :ivar waiting: number of waiting interactive requests.
    :ivar oldest_age: age of the oldest of them, in seconds.
    """

    workspace: str
    virtual_time: float
    cost: float
    waiting: int
    oldest_age: float


class PreemptionCandidate(NamedTuple):
    """
    A running batch stream that might be preempted.

    :ivar permit_id: identifier of its permit.
    :ivar workspace: workspace of the stream.
    :ivar virtual_time: virtual time of that workspace, in units per weight.
    :ivar granted_at: time of the grant, in monotonic seconds.
    :ivar resumable: whether the edge reports that it can be preempted.
    :ivar guaranteed: whether it was granted by batch's guaranteed fraction.
    """

    permit_id: PermitId
    workspace: str
    virtual_time: float
    granted_at: float
    resumable: bool
    guaranteed: bool


class PreemptionOrder(NamedTuple):
    """
    A stream to preempt.

    :ivar permit_id: identifier of its permit.
    :ivar workspace: workspace in whose favour it is preempted.
    """

    permit_id: PermitId
    workspace: str


def is_preemptible(rule: CallRule, preemptions: int) -> bool:
    """
    Return whether a running call may be preempted.

    :param preemptions: number of times it has already been preempted.
    """
    return rule.idempotent and rule.resumable and preemptions < MAX_PREEMPTIONS


def choose_victim(
    claimant: Claimant, candidates: Iterable[PreemptionCandidate], now: float
) -> PreemptionCandidate | None:
    """Return the newest stream that may be preempted, or ``None``."""
    allowed = [c for c in candidates if may_preempt(claimant, c, now)]
    return max(allowed, key=lambda c: (c.granted_at, c.permit_id), default=None)


def may_preempt(claimant: Claimant, candidate: PreemptionCandidate, now: float) -> bool:
    """
    Return whether a workspace may preempt a stream.

    The claimant must not be ahead of the victim's workspace, so it would be
    granted the next free slot before that one anyway. A workspace may preempt
    a stream of its own unless the stream was granted by the fraction that
    batch is guaranteed.
    """
    if not candidate.resumable or now - candidate.granted_at < MIN_RUN_SECONDS:
        return False
    if candidate.workspace == claimant.workspace:
        return not candidate.guaranteed
    ahead = claimant.virtual_time - candidate.virtual_time
    return ahead <= RELATIVE_TOLERANCE * abs(candidate.virtual_time)


class PreemptionPlanner:
    """Chooses streams to preempt and keeps track of the orders given."""

    def __init__(self) -> None:
        self._orders: dict[PermitId, tuple[str, float]] = {}

    @property
    def outstanding(self) -> int:
        """Number of preemptions that have not freed their slot yet."""
        return len(self._orders)

    def record_return(self, permit_id: PermitId) -> None:
        """Record that a permit has been returned."""
        self._orders.pop(permit_id, None)

    def plan(
        self,
        claimants: Sequence[Claimant],
        candidates: Sequence[PreemptionCandidate],
        now: float,
        rank: int = 0,
    ) -> list[PreemptionOrder]:
        """
        Return the streams to preempt now; to be called when no slot is free.

        :param claimants: waiting workspaces, the next to be served first.
        :param candidates: batch streams running at this scheduler's servers.
        :param rank: rank of this scheduler among those of the service.
            Schedulers of higher rank wait longer, so that a single request
            does not cause a preemption at every scheduler.
        """
        self._expire(now)
        min_wait = MIN_WAIT_SECONDS + WAIT_PER_RANK_SECONDS * min(rank, MAX_RANK)
        orders: list[PreemptionOrder] = []
        remaining = [c for c in candidates if c.permit_id not in self._orders]
        for claimant in claimants:
            quota = claimant.waiting - self._count_outstanding(claimant.workspace)
            if claimant.oldest_age < min_wait:
                quota = 0
            orders += self._choose_victims(claimant, remaining, quota, now)
        return orders

    def _choose_victims(
        self,
        claimant: Claimant,
        remaining: list[PreemptionCandidate],
        quota: int,
        now: float,
    ) -> list[PreemptionOrder]:
        orders: list[PreemptionOrder] = []
        while len(orders) < quota:
            victim = choose_victim(claimant, remaining, now)
            if victim is None:
                break
            remaining.remove(victim)
            self._orders[victim.permit_id] = (claimant.workspace, now)
            orders.append(PreemptionOrder(victim.permit_id, claimant.workspace))
            virtual_time = claimant.virtual_time + claimant.cost
            claimant = claimant._replace(virtual_time=virtual_time)
        return orders

    def _count_outstanding(self, workspace: str) -> int:
        return sum(1 for name, _ in self._orders.values() if name == workspace)

    def _expire(self, now: float) -> None:
        self._orders = {
            permit_id: (workspace, since)
            for permit_id, (workspace, since) in self._orders.items()
            if now - since <= ORDER_TIMEOUT_SECONDS
        }


class StreamPreemptor:
    """
    Preempts streams for the workspace that is to be served next.

    :param fair_share: virtual times of the workspaces.
    :param backlog: waiting requests.
    :param permits: outstanding permits.
    """

    def __init__(
        self, fair_share: FairShare, backlog: Backlog, permits: OutstandingPermits
    ) -> None:
        self._fair_share = fair_share
        self._backlog = backlog
        self._permits = permits
        self._planner = PreemptionPlanner()

    def record_return(self, permit_id: PermitId) -> None:
        """Record that a permit has been returned."""
        self._planner.record_return(permit_id)

    def plan(
        self, cost: float, guaranteed: Container[PermitId], now: float, rank: int
    ) -> list[PreemptionOrder]:
        """
        Return the streams to preempt now; to be called when no slot is free.

        :param cost: estimated cost per weight of the next request, in units.
        :param guaranteed: permits granted by batch's guaranteed fraction.
        :param rank: rank of this scheduler among those of the service.
        """
        workspace = self._fair_share.choose_next()
        if workspace is None:
            return []
        oldest = self._backlog.peek_oldest(workspace, INTERACTIVE)
        if oldest is None or now - oldest.oldest_at < MIN_WAIT_SECONDS:
            return []
        claimant = Claimant(
            workspace,
            self._fair_share.get_virtual_time(workspace),
            cost,
            self._backlog.count_class(workspace, INTERACTIVE),
            now - oldest.oldest_at,
        )
        candidates = self._list_candidates(guaranteed)
        return self._planner.plan([claimant], candidates, now, rank)

    def _list_candidates(
        self, guaranteed: Container[PermitId]
    ) -> list[PreemptionCandidate]:
        return [
            PreemptionCandidate(
                permit_id,
                permit.workspace,
                self._fair_share.get_virtual_time(permit.workspace),
                permit.granted_at,
                permit.resumable,
                permit_id in guaranteed,
            )
            for permit_id, permit in self._permits.by_id.items()
            if permit.priority == BATCH
        ]
