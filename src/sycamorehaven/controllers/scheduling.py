"""Schedules the backend servers that this router holds the role for."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.decisions.scheduler import LEASE, ServiceScheduler
from sycamorehaven.transport.messages import DemandReport, PermitGrant, PermitReturn

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.links import PeerLink

TICK = 0.25
"""Seconds between rounds that expire what was not refreshed."""


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
        link.subscribe(DemandReport, self._take_report)
        link.subscribe(PermitReturn, self._take_return)
        board.members.changed.subscribe(self._assign)
        board.configuration.changed.subscribe(self._assign)
        board.servers.changed.subscribe(self._assign)

    @property
    def schedulers(self) -> dict[str, ServiceScheduler]:
        """Schedulers by service."""
        return self._schedulers

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await self.sleep(TICK)
            self._assign()

    def _assign(self) -> None:
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_domains()
        weights = {w.name: w.weight for w in configuration.workspaces.values()}
        now = self._clock()
        for service in configuration.services:
            slots = {
                server.name: server.slots
                for server in configuration.list_servers(service)
                if choose_scheduler(server, domains) == self._board.identity.host
                and self._board.servers.takes_work(server.name, now)
            }
            scheduler = self._find_scheduler(service)
            scheduler.set_servers(slots)
            scheduler.set_weights(weights)
            self._grant(service)

    def _find_scheduler(self, service: str) -> ServiceScheduler:
        if service not in self._schedulers:
            self._schedulers[service] = ServiceScheduler(service, self._board.counters)
        return self._schedulers[service]

    def _take_report(self, delivery: Delivery) -> None:
        report: DemandReport = delivery.message
        scheduler = self._find_scheduler(report.service)
        scheduler.take_report(delivery.sender, report, self._clock())
        self._grant(report.service)

    def _take_return(self, delivery: Delivery) -> None:
        message: PermitReturn = delivery.message
        if message.incarnation != self._board.identity.incarnation:
            return
        for service, scheduler in self._schedulers.items():
            charge = scheduler.take_return(message.permit, message.cost)
            if charge is not None:
                self._board.counters.charge(service, charge.workspace, charge.cost)
                self._grant(service)
                return

    def _grant(self, service: str) -> None:
        for grant in self._schedulers[service].grant(self._clock()):
            message = PermitGrant(
                permit=grant.number,
                service=service,
                server=grant.server,
                workspace=grant.workspace,
                priority=grant.priority,
                lease=LEASE,
                runs=1,
            )
            self._link.send(grant.edge.host, message)
