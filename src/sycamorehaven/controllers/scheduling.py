"""Schedules the backend servers that this router holds the role for."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.decisions.scheduler import (
    LEASE,
    Charge,
    Grant,
    ServiceScheduler,
    ServiceTerms,
)
from sycamorehaven.transport.messages import (
    DemandReport,
    PermitAck,
    PermitGrant,
    PermitReturn,
    Preemption,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.configuration.model import Service as ServiceConfiguration
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.links import PeerLink

TICK = 0.25
"""Seconds between rounds that expire what was not refreshed."""
ACKNOWLEDGED_AT_ONCE = 32
"""Returns of one edge that are acknowledged without waiting for a round."""


class SchedulingController(Service):
    """
    Turns demand reports into permits.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param clock: monotonic seconds.
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
        self._turns: dict[str, int] = {}
        self._acks: dict[tuple[str, str, int], list[int]] = {}
        link.subscribe(DemandReport, self._take_report)
        link.subscribe(PermitReturn, self._take_return)
        board.members.changed.subscribe(self._assign)
        board.configuration.changed.subscribe(self._assign)
        board.servers.changed.subscribe(self._grant_all)

    @property
    def schedulers(self) -> dict[str, ServiceScheduler]:
        """Schedulers by service."""
        return self._schedulers

    def run_round(self) -> None:
        """Expire what was not refreshed, grant and acknowledge."""
        now = self._clock()
        for scheduler in self._schedulers.values():
            scheduler.expire(now)
        self._grant_all()
        for key in list(self._acks):
            self._acknowledge(key)

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await self.sleep(TICK)
            self.run_round()

    def _assign(self) -> None:
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_domains()
        own = self._board.identity.host
        weights = {w.name: w.weight for w in configuration.workspaces.values()}
        for name, service in configuration.services.items():
            servers = configuration.list_servers(name)
            places = {s.name: choose_scheduler(s, domains) for s in servers}
            self._own_servers[name] = [s for s in servers if places[s.name] == own]
            hosts = rank_candidates(f"turn/{name}", {h for h in places.values() if h})
            self._turns[name] = hosts.index(own) if own in hosts else len(hosts)
            scheduler = self._find_scheduler(name)
            scheduler.set_weights(weights)
            scheduler.set_terms(_write_terms(service, len(hosts)))
        for scheduler in self._schedulers.values():
            scheduler.retain_edges(self._is_live, self._clock())
        self._grant_all()

    def _is_live(self, host: str) -> bool:
        return self._board.members.find(host) is not None

    def _grant_all(self) -> None:
        for service in self._own_servers:
            self._place_slots(service)
            self._grant(service)

    def _place_slots(self, service: str) -> None:
        now = self._clock()
        scheduler = self._find_scheduler(service)
        servers = [
            server
            for server in self._own_servers[service]
            if self._board.servers.takes_work(server.name, now)
        ]
        scheduler.set_servers(
            {server.name: server.slots for server in servers},
            now,
            {server.name: server.slots_ceiling for server in servers},
        )
        for server in servers:
            status = self._board.servers.get(server.name)
            if status.reported_at > 0.0:
                scheduler.learn_load(
                    server.name, status.running, status.reported_at, now
                )

    def _find_scheduler(self, service: str) -> ServiceScheduler:
        if service not in self._schedulers:
            self._schedulers[service] = ServiceScheduler(
                self._board.identity, service, self._board.counters
            )
        return self._schedulers[service]

    def _take_report(self, delivery: Delivery) -> None:
        report: DemandReport = delivery.message
        scheduler = self._find_scheduler(report.service)
        charges = scheduler.take_report(delivery.sender, report, self._clock())
        self._charge(report.service, charges)
        for message in report.settled:
            self._note_ack(delivery, message)
        self._grant(report.service)

    def _take_return(self, delivery: Delivery) -> None:
        message: PermitReturn = delivery.message
        scheduler = self._find_scheduler(message.service)
        charge = scheduler.take_return(delivery.sender, message, self._clock())
        if charge is not None:
            self._charge(message.service, [charge])
        self._note_ack(delivery, message)
        self._grant(message.service)

    def _charge(self, service: str, charges: Iterable[Charge]) -> None:
        for charge in charges:
            self._board.counters.charge(service, charge.workspace, charge.cost)

    def _note_ack(self, delivery: Delivery, message: PermitReturn) -> None:
        if not message.accounted:
            return
        key = delivery.sender.host, message.scheduler, message.incarnation
        numbers = self._acks.setdefault(key, [])
        numbers.append(message.permit)
        if len(numbers) >= ACKNOWLEDGED_AT_ONCE:
            self._acknowledge(key)

    def _acknowledge(self, key: tuple[str, str, int]) -> None:
        edge, scheduler, incarnation = key
        self._link.send(edge, PermitAck(scheduler, incarnation, self._acks.pop(key)))

    def _grant(self, service: str) -> None:
        scheduler = self._schedulers[service]
        now = self._clock()
        grants = scheduler.grant(now)
        free = scheduler.count_free(now) if grants else 0
        for grant in grants:
            self._link.send(grant.edge.host, _write_grant(service, grant, free))
        for holding in scheduler.preempt(now, self._turns.get(service, 0)):
            granter, number = holding.name
            order = Preemption(granter.host, granter.incarnation, number)
            self._link.send(holding.edge.host, order)


def _write_terms(service: ServiceConfiguration, schedulers: int) -> ServiceTerms:
    return ServiceTerms(
        largest_cost=service.largest_cost,
        in_seconds=service.kind != "model",
        expected_cost=service.expected_cost,
        batch_fraction=service.batch_fraction,
        schedulers=schedulers,
    )


def _write_grant(service: str, grant: Grant, free: int) -> PermitGrant:
    return PermitGrant(
        permit=grant.number,
        service=service,
        server=grant.server,
        workspace=grant.workspace,
        priority=grant.priority,
        sequence=grant.sequence,
        elapsed=grant.elapsed,
        lease=LEASE,
        runs=grant.runs,
        free=free,
    )
