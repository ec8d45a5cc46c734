"""
Schedules the backend servers that this router is responsible for.

Edges, the routers that take calls from clients, report their demand. The
scheduler grants them permits, each of which leases a slot of a server.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, NamedTuple

from mode import Service

from sycamorehaven.decisions.grants import (
    GRANT_LEASE_SECONDS,
    Charge,
    Grant,
    ServiceParameters,
)
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.decisions.scheduler import ServiceScheduler
from sycamorehaven.decisions.unresponsive_edges import (
    UNRESPONSIVE_AFTER_REPEATS,
    UnresponsiveEdges,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import (
    DemandReport,
    PermitAck,
    PermitGrant,
    PermitReturn,
    Preemption,
    ServiceUnserved,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.configuration.model import Service as ServiceConfiguration
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

PREEMPTION_PERIOD_SECONDS = 0.05
"""Interval at which streams to preempt are looked for."""
UNSERVED_NOTICE_PERIOD_SECONDS = 1.0
"""Interval of the messages that no server of a service takes work."""
EXPIRY_PERIOD_SECONDS = 0.25
"""Interval at which unrefreshed demand and permits are expired."""
GRANT_RETRY_DELAY_SECONDS = 0.05
"""Time without an acknowledgement after which a grant is sent again."""
MAX_GRANT_RETRIES = 5
"""Times that a grant is sent again."""


class UnacknowledgedGrant(NamedTuple):
    """
    A grant that the edge has not acknowledged yet.

    :ivar edge: the edge that it was sent to.
    :ivar message: the grant.
    :ivar first_sent_at: when it was first sent, monotonic seconds.
    :ivar last_sent_at: when it was last sent, monotonic seconds.
    :ivar retries: how often it was sent again.
    """

    edge: RouterId
    message: PermitGrant
    first_sent_at: float
    last_sent_at: float
    retries: int


class SchedulingController(Service):
    """
    Turns the demand reports of edges into permits.

    :param board: the state of this router.
    :param link: messages to and from other routers.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._clock = clock
        self._schedulers: dict[str, ServiceScheduler] = {}
        self._own_servers: dict[str, list[BackendServer]] = {}
        self._permit_numbers = itertools.count(1)
        self._unacknowledged_grants: dict[int, UnacknowledgedGrant] = {}
        self._preemption_ranks: dict[str, int] = {}
        self._unserved_notified_at: dict[str, float] = {}
        self._unresponsive_edges = UnresponsiveEdges()
        link.subscribe(DemandReport, self._handle_report)
        link.subscribe(PermitReturn, self._handle_return)
        link.subscribe(PermitAck, self._handle_ack)
        board.members.changed.subscribe(self._update_assignments)
        board.configuration.changed.subscribe(self._update_assignments)
        board.server_statuses.changed.subscribe(self._grant_all)

    @property
    def schedulers(self) -> dict[str, ServiceScheduler]:
        """Scheduler of each service, by the service's name."""
        return self._schedulers

    def run_round(self) -> None:
        """Expire demand and permits, drop lost edges and grant free slots."""
        now = self._clock()
        lost_edges = self._unresponsive_edges.pop_lost(now)
        for scheduler in self._schedulers.values():
            for edge in lost_edges:
                scheduler.remove_edge(edge, now)
            scheduler.expire(now)
        self._grant_all()
        self._notify_unserved(now)

    def resend_grants(self) -> None:
        """Send unacknowledged grants again and detect unresponsive edges."""
        now = self._clock()
        for number, sent in list(self._unacknowledged_grants.items()):
            if now - sent.last_sent_at < GRANT_RETRY_DELAY_SECONDS:
                break
            del self._unacknowledged_grants[number]
            if sent.retries == UNRESPONSIVE_AFTER_REPEATS:
                self._suspend_if_unresponsive(sent, now)
            if sent.retries < MAX_GRANT_RETRIES:
                self._send_grant(
                    sent._replace(last_sent_at=now, retries=sent.retries + 1)
                )

    @Service.task
    async def _run_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPIRY_PERIOD_SECONDS)
            self.run_round()

    @Service.task
    async def _resend_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(GRANT_RETRY_DELAY_SECONDS / 2)
            self.resend_grants()

    @Service.task
    async def _preempt_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(PREEMPTION_PERIOD_SECONDS)
            self.preempt_streams()

    def _update_assignments(self) -> None:
        """Follow changes of the members and of the configuration."""
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_failure_domains()
        own = self._board.identity.host
        weights = {w.name: w.weight for w in configuration.workspaces.values()}
        for name, service in configuration.services.items():
            servers = configuration.list_servers(name)
            scheduler_hosts = {s.name: choose_scheduler(s, domains) for s in servers}
            self._own_servers[name] = [
                s for s in servers if scheduler_hosts[s.name] == own
            ]
            hosts = rank_candidates(
                f"turn/{name}", {h for h in scheduler_hosts.values() if h}
            )
            self._preemption_ranks[name] = (
                hosts.index(own) if own in hosts else len(hosts)
            )
            scheduler = self._get_scheduler(name)
            scheduler.set_weights(weights)
            scheduler.set_parameters(_build_parameters(service, len(hosts)))
        self._unresponsive_edges.retain_hosts(set(domains))
        for scheduler in self._schedulers.values():
            scheduler.remove_dead_edges(self._is_live, self._clock())
        self._grant_all()

    def _is_live(self, host: str) -> bool:
        return self._board.members.find(host) is not None

    def _grant_all(self) -> None:
        for service in self._own_servers:
            self._update_slots(service)
            self._grant_permits(service)

    def _update_slots(self, service: str) -> None:
        now = self._clock()
        scheduler = self._get_scheduler(service)
        servers = self._own_servers[service]
        closed_servers = {
            server.name
            for server in servers
            if not self._board.server_statuses.takes_work(server.name, now)
        }
        scheduler.set_servers(
            {server.name: server.slots for server in servers},
            now,
            {server.name: server.slots_ceiling for server in servers},
            closed_servers,
        )
        for server in servers:
            status = self._board.server_statuses.get(server.name)
            if status.reported_at > 0.0:
                scheduler.apply_load_report(
                    server.name, status.running_requests, status.reported_at, now
                )

    def _notify_unserved(self, now: float) -> None:
        """Tell edges with waiting requests that no server takes work."""
        for service, servers in self._own_servers.items():
            scheduler = self._schedulers[service]
            if (
                now - self._unserved_notified_at.get(service, 0.0)
                < UNSERVED_NOTICE_PERIOD_SECONDS
            ):
                continue
            if not servers or not scheduler.waiting:
                continue
            if any(
                self._board.server_statuses.takes_work(s.name, now) for s in servers
            ):
                continue
            self._unserved_notified_at[service] = now
            for edge in scheduler.list_edges():
                self._link.send(edge.host, ServiceUnserved(service))

    def _get_scheduler(self, service: str) -> ServiceScheduler:
        if service not in self._schedulers:
            self._schedulers[service] = ServiceScheduler(
                self._board.identity,
                service,
                self._board.counters,
                permit_numbers=self._permit_numbers,
            )
        return self._schedulers[service]

    def _handle_report(self, delivery: Delivery) -> None:
        report: DemandReport = delivery.message
        self._unresponsive_edges.record_message(delivery.sender, self._clock())
        scheduler = self._get_scheduler(report.service)
        charges = scheduler.apply_demand_report(delivery.sender, report, self._clock())
        self._record_charges(report.service, charges)
        self._acknowledge(delivery, report.settled)
        self._grant_permits(report.service)

    def _handle_return(self, delivery: Delivery) -> None:
        message: PermitReturn = delivery.message
        self._unresponsive_edges.record_message(delivery.sender, self._clock())
        scheduler = self._get_scheduler(message.service)
        charge = scheduler.apply_return(delivery.sender, message, self._clock())
        if charge is not None:
            self._record_charges(message.service, [charge])
        self._acknowledge(delivery, [message])
        self._grant_permits(message.service)

    def _record_charges(self, service: str, charges: Iterable[Charge]) -> None:
        for charge in charges:
            self._board.counters.charge(service, charge.workspace, charge.cost)

    def _handle_ack(self, delivery: Delivery) -> None:
        ack: PermitAck = delivery.message
        self._unresponsive_edges.record_message(delivery.sender, self._clock())
        if RouterId(ack.scheduler, ack.incarnation) == self._board.identity:
            for number in ack.permits:
                sent = self._unacknowledged_grants.pop(number, None)
                if sent is not None:
                    self._schedulers[sent.message.service].mark_confirmed(number)

    def _acknowledge(self, delivery: Delivery, returns: list[PermitReturn]) -> None:
        numbers: dict[tuple[str, int], list[int]] = {}
        for message in returns:
            if message.accounted:
                key = message.scheduler, message.incarnation
                numbers.setdefault(key, []).append(message.permit)
        for (scheduler, incarnation), permits in numbers.items():
            ack = PermitAck(scheduler, incarnation, permits)
            self._link.send(delivery.sender.host, ack)

    def _grant_permits(self, service: str) -> None:
        scheduler = self._schedulers[service]
        now = self._clock()
        grants = scheduler.grant(now)
        for workspace, reserved in scheduler.pop_changed_reservations().items():
            self._board.counters.set_own_reserved(service, workspace, reserved)
        free = scheduler.count_free(now) if grants else 0
        for grant in grants:
            message = _build_grant_message(service, grant, free)
            self._send_grant(UnacknowledgedGrant(grant.edge, message, now, now, 0))

    def preempt_streams(self) -> None:
        """Preempt streams in favour of waiting interactive requests."""
        now = self._clock()
        for service, scheduler in self._schedulers.items():
            for holding in scheduler.choose_preemptions(
                now, self._preemption_ranks.get(service, 0)
            ):
                grantor, number = holding.permit_id
                preemption = Preemption(grantor.host, grantor.incarnation, number)
                self._link.send(holding.edge.host, preemption)

    def _send_grant(self, sent: UnacknowledgedGrant) -> None:
        self._unacknowledged_grants[sent.message.permit] = sent
        self._link.send(sent.edge.host, sent.message)

    def _suspend_if_unresponsive(self, sent: UnacknowledgedGrant, now: float) -> None:
        """Withhold grants from an edge that does not answer."""
        if self._unresponsive_edges.mark_if_unresponsive(
            sent.edge, sent.first_sent_at, now
        ):
            for service, scheduler in self._schedulers.items():
                scheduler.suspend_edge(sent.edge, now)
                self._grant_permits(service)


def _build_parameters(
    service: ServiceConfiguration, schedulers: int
) -> ServiceParameters:
    return ServiceParameters(
        largest_cost=service.largest_cost,
        in_seconds=service.kind != "model",
        expected_cost=service.expected_cost,
        batch_fraction=service.batch_fraction,
        scheduler_count=schedulers,
    )


def _build_grant_message(service: str, grant: Grant, free: int) -> PermitGrant:
    return PermitGrant(
        permit=grant.number,
        service=service,
        server=grant.server,
        workspace=grant.workspace,
        priority=grant.priority,
        sequence=grant.sequence,
        elapsed=grant.elapsed,
        lease=GRANT_LEASE_SECONDS,
        runs=grant.runs,
        free=free,
    )
