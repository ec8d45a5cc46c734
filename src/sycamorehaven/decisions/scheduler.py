"""
Scheduler of one service's backend servers at one router.

It receives demand reports and permit returns from edges and responds with
grants. It has no clock of its own: callers pass ``now`` in monotonic seconds.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from sycamorehaven.call import INTERACTIVE
from sycamorehaven.decisions.backlog import Backlog
from sycamorehaven.decisions.cost_estimates import CostBounds
from sycamorehaven.decisions.fair_share import FairShare
from sycamorehaven.decisions.grants import Charge, Grant, GrantBasis, ServiceParameters
from sycamorehaven.decisions.outstanding_permits import (
    OutstandingPermit,
    OutstandingPermits,
    PermitId,
)
from sycamorehaven.decisions.permit_feedback import PermitFeedback
from sycamorehaven.decisions.preemption import StreamPreemptor
from sycamorehaven.decisions.priority_classes import ClassScheduler
from sycamorehaven.decisions.server_slots import SlotPool
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator, Mapping

    from sycamorehaven.decisions.grants import ServiceTotals
    from sycamorehaven.transport.messages.permits import (
        DemandReport,
        HeldPermit,
        PermitReturn,
    )

UNREPORTED_GRACE_SECONDS = 1.0
"""Time after a grant from which an edge's report that lacks the permit frees
its slot."""
PAUSE_DETECTION_SECONDS = 1.0
"""Time without a call after which the process is assumed to have been
paused."""
MAX_LAG_REQUESTS = 4.0
"""Maximum lag of a workspace's virtual time behind the largest one, as a
multiple of the cost of the largest request."""
MIN_PEER_RESERVATION_RATIO = 0.4
"""Lower limit of the reservations assumed for each scheduler, as a fraction of
this scheduler's own."""


class ServiceScheduler:
    """
    Grants permits for the servers of one service.

    :param own: this router.
    :param service: name of the service.
    :param totals: fleet-wide totals of service.
    :param permit_numbers: source of permit numbers, unique in this process.
    """

    def __init__(
        self,
        own: RouterId,
        service: str,
        totals: ServiceTotals,
        permit_numbers: Iterator[int] | None = None,
    ) -> None:
        self._own = own
        self._service = service
        self._totals = totals
        self._parameters = ServiceParameters()
        self._peer_reservation_factor = 1.0
        self._class_scheduler = ClassScheduler(self._parameters.batch_fraction)
        self._feedback = PermitFeedback(service, self._class_scheduler)
        self._weights: Mapping[str, float] = {}
        self._fair_share = FairShare(self._get_weighted_service)
        self._backlog = Backlog()
        self._permits = OutstandingPermits(own)
        self._slot_pool = SlotPool()
        self._preemptor = StreamPreemptor(
            self._fair_share, self._backlog, self._permits
        )
        self._permit_numbers = permit_numbers or itertools.count(1)
        self._last_called_at: float | None = None

    @property
    def slots(self) -> dict[str, int]:
        """Slot limit of each backend server."""
        return self._slot_pool.limits

    @property
    def outstanding(self) -> dict[PermitId, OutstandingPermit]:
        """Outstanding permits by identifier."""
        return self._permits.by_id

    @property
    def waiting(self) -> set[str]:
        """Workspaces with waiting requests."""
        return self._fair_share.waiting

    def pop_changed_reservations(self) -> dict[str, float]:
        """
        Return and clear the reservations that changed since the last call.
        """
        return self._permits.pop_changed_reservations()

    def list_edges(self) -> list[RouterId]:
        """Return the edges with a current demand report."""
        return self._backlog.list_edges()

    def set_servers(
        self,
        slots: Mapping[str, int],
        now: float,
        ceilings: Mapping[str, int] | None = None,
        closed: Collection[str] = (),
    ) -> None:
        """
        Replace the servers that are scheduled here.

        :param slots: initial slot limit by server.
        :param ceilings: maximum slot limit by server; the initial limit is the
            default.
        :param closed: servers that accept no requests for now. What has been
            learned of their slots is kept, so that they need no new warm-up.
        """
        limits = self._feedback.limits.set_servers(slots, ceilings or {})
        limits.update(dict.fromkeys(closed, 0))
        self._slot_pool.set_servers(limits, now)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights of the workspaces."""
        self._weights = weights
        self._class_scheduler.retain_workspaces(weights)

    def set_parameters(self, parameters: ServiceParameters) -> None:
        """Replace the configured parameters of the service."""
        self._parameters = parameters
        self._peer_reservation_factor = max(
            MIN_PEER_RESERVATION_RATIO * parameters.scheduler_count, 1.0
        )
        self._class_scheduler.configure(
            parameters.batch_fraction, parameters.scheduler_count
        )
        bounds = CostBounds(parameters.expected_cost, parameters.largest_cost)
        self._feedback.estimator.configure(bounds)

    def apply_load_report(
        self, server: str, running: int, reported_at: float, now: float
    ) -> None:
        """
        Apply a server's load report.

        :param running: number of requests that the server reports as running.
        :param reported_at: time at which the load was read, in monotonic
            seconds.
        """
        self._slot_pool.apply_load_report(server, running, reported_at, now)

    def apply_demand_report(
        self, edge: RouterId, report: DemandReport, now: float
    ) -> list[Charge]:
        """
        Replace an edge's demand; a report older than the last is ignored.

        :returns: the cost of the edge's permits since its last report.
        """
        self._reset_after_pause(now)
        known = self._backlog.find_demand(edge)
        if known is not None and report.sequence <= known.sequence:
            return []
        self._remove_previous_incarnations(edge, now)
        charges = [self.apply_return(edge, message, now) for message in report.settled]
        affected = self._backlog.replace(edge, report, now)
        self._update_waiting(affected, now)
        charges += self._reconcile(edge, report.held, now)
        return [charge for charge in charges if charge is not None]

    def apply_return(
        self, edge: RouterId, message: PermitReturn, now: float
    ) -> Charge | None:
        """
        Free the slot of a permit; return the cost that remains to charge.
        """
        permit, cost = self._permits.settle(message)
        if permit is not None:
            self._slot_pool.release(permit.server, now)
            self._record_return(permit, message, now)
        self._backlog.lower_count(edge, message.workspace, message.waiting)
        self._update_waiting([message.workspace], now)
        self._fair_share.reinsert(message.workspace)
        return Charge(message.workspace, cost) if cost > 0.0 else None

    def mark_confirmed(self, number: int) -> None:
        """Record that an edge has acknowledged a grant."""
        self._permits.mark_confirmed(PermitId(self._own, number))

    def remove_edge(self, edge: RouterId, now: float) -> None:
        """Remove the demand and the permits of an edge that has left."""
        self._update_waiting(self._backlog.remove(edge), now)
        for permit in self._permits.list_for_edge(edge):
            self._abandon_permit(permit, now, lost=permit.confirmed)

    def suspend_edge(self, edge: RouterId, now: float) -> None:
        """Remove an unresponsive edge's demand and unacknowledged permits."""
        self._update_waiting(self._backlog.remove(edge), now)
        for permit in self._permits.list_for_edge(edge):
            if not permit.confirmed:
                self._abandon_permit(permit, now, lost=False)

    def remove_dead_edges(self, is_live: Callable[[str], bool], now: float) -> None:
        """Remove the edges whose host is not live."""
        for edge in self._backlog.list_edges():
            if not is_live(edge.host):
                self.remove_edge(edge, now)

    def expire(self, now: float) -> None:
        """Remove edges with expired reports; called several times a second."""
        self._reset_after_pause(now)
        for edge in self._backlog.list_expired(now):
            self.remove_edge(edge, now)
        self._fair_share.rebuild(now, MAX_LAG_REQUESTS * self._parameters.largest_cost)
        self._slot_pool.rebuild(now)

    def count_free(self, now: float) -> int:
        """Return the number of slots that are free for lack of demand."""
        return self._slot_pool.count_free(now)

    def grant(self, now: float) -> list[Grant]:
        """Return the grants to send now, in order."""
        self._reset_after_pause(now)
        grants: list[Grant] = []
        while (workspace := self._fair_share.choose_next()) is not None:
            server = self._slot_pool.find_freest(now)
            if server is None:
                self._feedback.limits.record_saturation()
                break
            grant = self._grant_next(workspace, server, now)
            if grant is not None:
                grants.append(grant)
        return grants

    def choose_preemptions(self, now: float, rank: int) -> list[OutstandingPermit]:
        """
        Return the permits whose streams are to be preempted now.

        :param rank: rank of this scheduler among those of the service.
        """
        workspace = self._fair_share.choose_next()
        if workspace is None or self._slot_pool.find_freest(now) is not None:
            return []
        cost = self._estimate_next_costs(workspace).get(INTERACTIVE, 0.0)
        cost /= self._weights.get(workspace, 1.0)
        guaranteed = self._feedback.list_guaranteed()
        orders = self._preemptor.plan(cost, guaranteed, now, rank)
        return [self._permits.by_id[order.permit_id] for order in orders]

    def _grant_next(self, workspace: str, server: str, now: float) -> Grant | None:
        costs = self._estimate_next_costs(workspace)
        choice = self._class_scheduler.choose(workspace, costs)
        priority = choice.priority
        found = self._backlog.pop_oldest(workspace, priority)
        if found is None:
            self._fair_share.stop_waiting(workspace, now)
            return None
        self._update_waiting([workspace], now)
        edge, oldest = found
        report = self._backlog.find_demand(edge)
        assert report is not None
        estimate = costs[priority]
        runs = self._parameters.count_calls_per_permit(estimate)
        permit_id = PermitId(self._own, next(self._permit_numbers))
        permit = OutstandingPermit(
            permit_id,
            edge,
            server,
            workspace,
            priority,
            estimate * min(runs, oldest.waiting + 1),
            0.0,
            now,
            confirmed=False,
            resumable=False,
            accounted=True,
        )
        self._fair_share.record_grant(workspace)
        self._permits.add(permit)
        self._feedback.record_grant(permit_id, GrantBasis(oldest.cost, choice))
        self._slot_pool.acquire(server, now)
        self._class_scheduler.charge(
            workspace, choice, permit.estimated_cost, contended=len(costs) > 1
        )
        elapsed = now - report.received_at
        return Grant.from_permit(permit, report.sequence, elapsed, runs)

    def _estimate_next_costs(self, workspace: str) -> dict[str, float]:
        return {
            priority: self._feedback.estimator.estimate(workspace, priority, hint)
            for priority, hint in self._backlog.list_next_costs(workspace).items()
        }

    def _get_weighted_service(self, workspace: str) -> float:
        """
        Return the service received per weight, including reservations.

        Other schedulers announce their reservations, but not every change to
        everyone. Each is assumed to have at least a fraction of this
        scheduler's own. Otherwise, all schedulers would favour the same
        workspace until they learn of each other's grants.
        """
        total = self._totals.sum_service(self._service, workspace)
        own = self._permits.get_reserved(workspace)
        peers = self._totals.sum_reserved(self._service, workspace)
        total += max(own + peers, self._peer_reservation_factor * own)
        return total / self._weights.get(workspace, 1.0)

    def _update_waiting(self, workspaces: Iterable[str], now: float) -> None:
        for workspace in sorted(workspaces):
            if self._backlog.count(workspace) > 0:
                self._fair_share.start_waiting(workspace, now)
            else:
                self._fair_share.stop_waiting(workspace, now)

    def _reconcile(
        self, edge: RouterId, held: list[HeldPermit], now: float
    ) -> list[Charge | None]:
        charges: list[Charge | None] = []
        reported_ids = set()
        for held_permit in held:
            scheduler = RouterId(held_permit.scheduler, held_permit.incarnation)
            permit_id = PermitId(scheduler, held_permit.permit)
            reported_ids.add(permit_id)
            permit = self._permits.by_id.get(permit_id) or self._adopt(
                edge, held_permit, now
            )
            if permit is None:
                continue
            cost = self._permits.update_progress(permit, held_permit)
            self._fair_share.reinsert(permit.workspace)
            if cost > 0.0:
                charges.append(Charge(permit.workspace, cost))
        for permit in self._permits.list_for_edge(edge):
            is_overdue = now - permit.granted_at > UNREPORTED_GRACE_SECONDS
            if is_overdue and permit.permit_id not in reported_ids:
                self._abandon_permit(permit, now, lost=False)
        return charges

    def _adopt(
        self, edge: RouterId, held: HeldPermit, now: float
    ) -> OutstandingPermit | None:
        permit = self._permits.adopt(edge, held, now)
        if permit is not None:
            self._slot_pool.acquire(permit.server, now, adopted=True)
        return permit

    def _abandon_permit(
        self, permit: OutstandingPermit, now: float, *, lost: bool
    ) -> None:
        self._permits.abandon(permit)
        self._feedback.discard(permit.permit_id)
        self._preemptor.record_return(permit.permit_id)
        self._slot_pool.release(permit.server, now, lost=lost)
        self._fair_share.reinsert(permit.workspace)

    def _record_return(
        self, permit: OutstandingPermit, message: PermitReturn, now: float
    ) -> None:
        self._preemptor.record_return(permit.permit_id)
        in_seconds = self._parameters.in_seconds
        self._feedback.record_return(permit, message, now, in_seconds=in_seconds)

    def _remove_previous_incarnations(self, edge: RouterId, now: float) -> None:
        for other in self._backlog.list_edges():
            if other.host == edge.host and other != edge:
                self.remove_edge(other, now)

    def _reset_after_pause(self, now: float) -> None:
        paused = (
            self._last_called_at is not None
            and now - self._last_called_at > PAUSE_DETECTION_SECONDS
        )
        self._last_called_at = now
        if paused:
            self._update_waiting(self._backlog.clear(), now)
            self._slot_pool.restart_warmup(now)
