"""Schedules the backend servers that this router holds the role for."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, NamedTuple

from mode import Service

from sycamorehaven.decisions.grants import LEASE, Charge, Grant, ServiceTerms
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.decisions.scheduler import ServiceScheduler
from sycamorehaven.decisions.silence import SILENT_REPEATS, SilentEdges
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

RECLAIM_PERIOD = 0.05
"""Seconds between rounds that look for streams to preempt."""
UNSERVED_PERIOD = 1.0
"""Seconds between two messages that nothing serves a service."""
TICK = 0.25
"""Seconds between rounds that expire what was not refreshed."""
REPEAT_AFTER = 0.05
"""Seconds without an acknowledgement after which a grant is repeated."""
MOST_REPEATS = 5
"""Times that a grant is repeated."""


class SentGrant(NamedTuple):
    """
    A grant that is not acknowledged.

    :ivar edge: the edge.
    :ivar message: the grant.
    :ivar first_at: when it was first sent, monotonic seconds.
    :ivar at: when it was last sent, monotonic seconds.
    :ivar times: how often it was repeated.
    """

    edge: RouterId
    message: PermitGrant
    first_at: float
    at: float
    times: int


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
        self._numbers = itertools.count(1)
        self._unacknowledged: dict[int, SentGrant] = {}
        self._turns: dict[str, int] = {}
        self._told_at: dict[str, float] = {}
        self._silent = SilentEdges()
        link.subscribe(DemandReport, self._take_report)
        link.subscribe(PermitReturn, self._take_return)
        link.subscribe(PermitAck, self._take_ack)
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
        lost = self._silent.take_lost(now)
        for scheduler in self._schedulers.values():
            for edge in lost:
                scheduler.drop_edge(edge, now)
            scheduler.expire(now)
        self._grant_all()
        self._tell_unserved(now)

    def repeat(self) -> None:
        """Send the grants again that are not acknowledged."""
        now = self._clock()
        for number, sent in list(self._unacknowledged.items()):
            if now - sent.at < REPEAT_AFTER:
                break
            del self._unacknowledged[number]
            if sent.times == SILENT_REPEATS:
                self._judge_silence(sent, now)
            if sent.times < MOST_REPEATS:
                self._send(sent._replace(at=now, times=sent.times + 1))

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await self.sleep(TICK)
            self.run_round()

    @Service.task
    async def _repeat(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPEAT_AFTER / 2)
            self.repeat()

    @Service.task
    async def _reclaim(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(RECLAIM_PERIOD)
            self.reclaim()

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
        self._silent.retain(set(domains))
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
        servers = self._own_servers[service]
        closed = {
            server.name
            for server in servers
            if not self._board.servers.takes_work(server.name, now)
        }
        scheduler.set_servers(
            {server.name: server.slots for server in servers},
            now,
            {server.name: server.slots_ceiling for server in servers},
            closed,
        )
        for server in servers:
            status = self._board.servers.get(server.name)
            if status.reported_at > 0.0:
                scheduler.learn_load(
                    server.name, status.running, status.reported_at, now
                )

    def _tell_unserved(self, now: float) -> None:
        for service, servers in self._own_servers.items():
            scheduler = self._schedulers[service]
            if now - self._told_at.get(service, 0.0) < UNSERVED_PERIOD:
                continue
            if not servers or not scheduler.waiting:
                continue
            if any(self._board.servers.takes_work(s.name, now) for s in servers):
                continue
            self._told_at[service] = now
            for edge in scheduler.list_edges():
                self._link.send(edge.host, ServiceUnserved(service))

    def _find_scheduler(self, service: str) -> ServiceScheduler:
        if service not in self._schedulers:
            self._schedulers[service] = ServiceScheduler(
                self._board.identity,
                service,
                self._board.counters,
                numbers=self._numbers,
            )
        return self._schedulers[service]

    def _take_report(self, delivery: Delivery) -> None:
        report: DemandReport = delivery.message
        self._silent.hear(delivery.sender, self._clock())
        scheduler = self._find_scheduler(report.service)
        charges = scheduler.take_report(delivery.sender, report, self._clock())
        self._charge(report.service, charges)
        self._acknowledge(delivery, report.settled)
        self._grant(report.service)

    def _take_return(self, delivery: Delivery) -> None:
        message: PermitReturn = delivery.message
        self._silent.hear(delivery.sender, self._clock())
        scheduler = self._find_scheduler(message.service)
        charge = scheduler.take_return(delivery.sender, message, self._clock())
        if charge is not None:
            self._charge(message.service, [charge])
        self._acknowledge(delivery, [message])
        self._grant(message.service)

    def _charge(self, service: str, charges: Iterable[Charge]) -> None:
        for charge in charges:
            self._board.counters.charge(service, charge.workspace, charge.cost)

    def _take_ack(self, delivery: Delivery) -> None:
        ack: PermitAck = delivery.message
        self._silent.hear(delivery.sender, self._clock())
        if RouterId(ack.scheduler, ack.incarnation) == self._board.identity:
            for number in ack.permits:
                sent = self._unacknowledged.pop(number, None)
                if sent is not None:
                    self._schedulers[sent.message.service].note_taken(number)

    def _acknowledge(self, delivery: Delivery, returns: list[PermitReturn]) -> None:
        numbers: dict[tuple[str, int], list[int]] = {}
        for message in returns:
            if message.accounted:
                key = message.scheduler, message.incarnation
                numbers.setdefault(key, []).append(message.permit)
        for (scheduler, incarnation), permits in numbers.items():
            ack = PermitAck(scheduler, incarnation, permits)
            self._link.send(delivery.sender.host, ack)

    def _grant(self, service: str) -> None:
        scheduler = self._schedulers[service]
        now = self._clock()
        grants = scheduler.grant(now)
        for workspace, reserved in scheduler.take_reserved().items():
            self._board.counters.reserve(service, workspace, reserved)
        free = scheduler.count_free(now) if grants else 0
        for grant in grants:
            message = _write_grant(service, grant, free)
            self._send(SentGrant(grant.edge, message, now, now, 0))

    def reclaim(self) -> None:
        """Preempt streams for the interactive requests that are due."""
        now = self._clock()
        for service, scheduler in self._schedulers.items():
            for holding in scheduler.preempt(now, self._turns.get(service, 0)):
                granter, number = holding.name
                order = Preemption(granter.host, granter.incarnation, number)
                self._link.send(holding.edge.host, order)

    def _send(self, sent: SentGrant) -> None:
        self._unacknowledged[sent.message.permit] = sent
        self._link.send(sent.edge.host, sent.message)

    def _judge_silence(self, sent: SentGrant, now: float) -> None:
        if self._silent.judge(sent.edge, sent.first_at, now):
            for service, scheduler in self._schedulers.items():
                scheduler.withhold(sent.edge, now)
                self._grant(service)


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
