"""Posts this edge's demand and binds permits to waiting requests."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.permits import Permit, PermitKey
from sycamorehaven.blackboard.queues import QueueKey
from sycamorehaven.controllers.reports import IN_REPORTS_AFTER, ReportWriter
from sycamorehaven.decisions.demand import (
    LIFETIME,
    DemandKey,
    DemandPlanner,
    Queue,
    measure_refresh,
)
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import PermitAck, PermitGrant, Preemption

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.queues import Waiting
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

LONGEST_SLEEP = 0.5
"""Seconds after which demand is looked at in any case."""
COALESCE = 0.002
"""Seconds in which changes of demand are gathered into one report."""
REPEAT_AFTER = 0.05
"""Seconds without an acknowledgement after which a return is repeated."""
SEQUENCE_LIFETIME = 10.0
"""Seconds for which the time of a report is remembered."""
MOST_TAKEN = 4_096
"""Grants remembered, so that one which comes twice is taken once."""
PRIORITIES = ("interactive", "batch")


class PermitController(Service):
    """
    Keeps schedulers told of what waits, and binds what they grant.

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
        self._sequence = 0
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._taken: OrderedDict[PermitKey, None] = OrderedDict()
        self._planners: dict[str, DemandPlanner] = {}
        self._schedulers: dict[str, list[str]] = {}
        self._incarnations: dict[str, int] = {}
        self._writer = ReportWriter(board)
        link.subscribe(PermitGrant, self._take_grant)
        link.subscribe(PermitAck, self._take_ack)
        link.subscribe(Preemption, self._take_preemption)
        board.members.changed.subscribe(self._assign)
        board.configuration.changed.subscribe(self._assign)

    def release(self, permit: Permit) -> None:
        """Bind a permit to the next call that it covers, or give it back."""
        if self._board.permits.find(permit.key) is None or self._rebind(permit):
            return
        self._board.permits.remove(permit.key)
        self._board.permits.settle(permit, self._clock())
        self._send_return(permit, self._writer.list_parties(permit))

    def repeat(self) -> None:
        """Send the returns again that are not acknowledged."""
        now = self._clock()
        for settlement in self._board.permits.list_settlements():
            if REPEAT_AFTER <= now - settlement.settled_at < IN_REPORTS_AFTER:
                host = self._writer.find_accountant(settlement.permit)
                self._send_return(settlement.permit, [host] if host else [])

    def _send_return(self, permit: Permit, hosts: list[str]) -> None:
        for host in hosts:
            message = self._writer.write_return(permit, host)
            planner = self._find_planner(permit.service)
            planner.note_return(host, permit.workspace, message.waiting)
            self._link.send(host, message)

    def report(self) -> float:
        """Send the reports that are due; return when the next may be."""
        now = self._clock()
        self._sequence += 1
        self._sent_at[self._sequence] = now
        while now - next(iter(self._sent_at.values())) > SEQUENCE_LIFETIME:
            self._sent_at.popitem(last=False)
        refresh = measure_refresh(sum(p.told for p in self._planners.values()))
        due = [self._report(service, now, refresh) for service in self._schedulers]
        return min(due, default=now + LONGEST_SLEEP)

    @Service.task
    async def _post(self) -> None:
        self._assign()
        sleep = LONGEST_SLEEP
        while not self.should_stop:
            await self._board.queues.changed.wait(sleep)
            await asyncio.sleep(COALESCE)
            sleep = min(self.report() - self._clock(), LONGEST_SLEEP)
            sleep = max(sleep, COALESCE)

    @Service.task
    async def _repeat(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPEAT_AFTER)
            self.repeat()

    def _assign(self) -> None:
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_domains()
        places = {
            server.name: choose_scheduler(server, domains)
            for server in configuration.servers.values()
        }
        self._writer.place(places)
        self._forget_predecessors()
        self._schedulers = {}
        for service in configuration.services:
            names = {places[s.name] for s in configuration.list_servers(service)}
            key = f"demand/{self._board.identity.host}/{service}"
            self._schedulers[service] = rank_candidates(key, filter(None, names))

    def _forget_predecessors(self) -> None:
        live = {m.host: m.incarnation for m in self._board.members.list()}
        for host, incarnation in self._incarnations.items():
            if live.get(host) != incarnation:
                for planner in self._planners.values():
                    planner.forget(host)
        self._incarnations = live

    def _find_planner(self, service: str) -> DemandPlanner:
        return self._planners.setdefault(service, DemandPlanner())

    def _report(self, service: str, now: float, refresh: float) -> float:
        planner = self._find_planner(service)
        schedulers = self._schedulers[service]
        queues = {
            DemandKey(key.workspace, key.priority): Queue(len(queue), queue[0].since)
            for key, queue in self._board.queues.list()
            if key.service == service and queue
        }
        holders = self._writer.list_holders(service, now)
        for host in planner.choose(queues, schedulers, holders, now, refresh):
            report = self._writer.write_report(
                service, host, self._sequence, LIFETIME * refresh, now
            )
            self._link.send(host, report)
        return planner.find_next(queues, len(schedulers), now, refresh)

    def _rebind(self, permit: Permit) -> bool:
        now = self._clock()
        if not 0 < permit.used_runs < permit.runs or permit.failed:
            return False
        if now >= permit.expires_at or permit.preempted.is_set():
            return False
        if not self._board.servers.takes_work(permit.server, now):
            return False
        waiting = self._take_waiting(permit.service, permit.workspace, permit.priority)
        if waiting is None:
            return False
        waiting.permit.set_result(permit)
        return True

    def _take_ack(self, delivery: Delivery) -> None:
        ack: PermitAck = delivery.message
        scheduler = RouterId(ack.scheduler, ack.incarnation)
        for number in ack.permits:
            self._board.permits.acknowledge(PermitKey(scheduler, number))

    def _take_preemption(self, delivery: Delivery) -> None:
        order: Preemption = delivery.message
        scheduler = RouterId(order.scheduler, order.incarnation)
        permit = self._board.permits.find(PermitKey(scheduler, order.permit))
        if permit is not None and permit.resumable:
            permit.preempted.set()

    def _take_grant(self, delivery: Delivery) -> None:
        grant: PermitGrant = delivery.message
        key = PermitKey(delivery.sender, grant.permit)
        self._link.send(key.scheduler.host, PermitAck(*key.scheduler, [key.number]))
        if key in self._taken:
            return
        self._taken[key] = None
        if len(self._taken) > MOST_TAKEN:
            self._taken.popitem(last=False)
        demand = DemandKey(grant.workspace, grant.priority)
        planner = self._find_planner(grant.service)
        planner.note_grant(delivery.sender.host, demand, grant.free, self._clock())
        self._bind(grant, key)

    def _bind(self, grant: PermitGrant, key: PermitKey) -> None:
        expires_at = self._measure_expiry(grant)
        waiting = None
        if self._clock() < expires_at:
            waiting = self._take_waiting(grant.service, grant.workspace, grant.priority)
        permit = Permit(
            key=key,
            service=grant.service,
            server=grant.server,
            workspace=grant.workspace,
            priority=waiting.key.priority if waiting else grant.priority,
            expires_at=expires_at,
            runs=grant.runs,
        )
        self._board.permits.add(permit)
        if waiting is None:
            self.release(permit)
            return
        now = self._clock()
        self._find_planner(grant.service).note_wait(now - waiting.since, now)
        waiting.permit.set_result(permit)

    def _measure_expiry(self, grant: PermitGrant) -> float:
        sent_at = self._sent_at.get(grant.sequence)
        return 0.0 if sent_at is None else sent_at + grant.elapsed + grant.lease

    def _take_waiting(
        self, service: str, workspace: str, preferred: str
    ) -> Waiting | None:
        other = [name for name in PRIORITIES if name != preferred]
        for priority in [preferred, *other]:
            key = QueueKey(service, workspace, priority)
            while (waiting := self._board.queues.pop(key)) is not None:
                if not waiting.permit.done():
                    return waiting
        return None
