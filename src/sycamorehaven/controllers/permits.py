"""Posts this edge's demand and binds permits to waiting requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.permits import Permit, PermitKey
from sycamorehaven.blackboard.queues import QueueKey
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.transport.messages import (
    DemandReport,
    DemandRow,
    HeldPermit,
    PermitGrant,
    PermitReturn,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.queues import Waiting
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.links import PeerLink

REFRESH = 0.5
"""Seconds between refreshes of demand."""
COALESCE = 0.002
"""Seconds in which changes of demand are gathered into one report."""
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
        link.subscribe(PermitGrant, self._take_grant)

    def release(self, permit: Permit) -> None:
        """Give a permit back to its scheduler."""
        if self._board.permits.remove(permit.key) is None:
            return
        message = PermitReturn(
            permit=permit.key.number,
            incarnation=permit.key.scheduler.incarnation,
            server=permit.server,
            cost=permit.cost,
            runs=permit.used_runs,
            failed=permit.failed,
        )
        self._link.send(permit.key.scheduler.host, message)

    @Service.task
    async def _post(self) -> None:
        while not self.should_stop:
            await self._board.queues.changed.wait(REFRESH)
            await self.sleep(COALESCE)
            self._report()

    def _report(self) -> None:
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_domains()
        now = self._clock()
        self._sequence += 1
        for service in configuration.services:
            rows = self._list_rows(service, now)
            hosts = {
                choose_scheduler(server, domains)
                for server in configuration.list_servers(service)
            }
            for host in sorted(host for host in hosts if host):
                held = self._list_held(host)
                report = DemandReport(service, self._sequence, rows, held)
                self._link.send(host, report)

    def _list_rows(self, service: str, now: float) -> list[DemandRow]:
        return [
            DemandRow(
                key.workspace,
                key.priority,
                len(queue),
                now - queue[0].since,
                queue[0].cost,
            )
            for key, queue in self._board.queues.list()
            if key.service == service
        ]

    def _list_held(self, host: str) -> list[HeldPermit]:
        return [
            HeldPermit(
                permit.key.number,
                permit.key.scheduler.incarnation,
                permit.server,
                permit.workspace,
                permit.priority,
                permit.cost,
                permit.resumable,
            )
            for permit in self._board.permits.list()
            if permit.key.scheduler.host == host
        ]

    def _take_grant(self, delivery: Delivery) -> None:
        grant: PermitGrant = delivery.message
        key = PermitKey(delivery.sender, grant.permit)
        if self._board.permits.find(key) is not None:
            return
        waiting = self._take_waiting(grant)
        permit = Permit(
            key=key,
            service=grant.service,
            server=grant.server,
            workspace=grant.workspace,
            priority=waiting.key.priority if waiting else grant.priority,
            expires_at=self._clock() + grant.lease,
            runs=grant.runs,
        )
        self._board.permits.add(permit)
        if waiting is None:
            self.release(permit)
        else:
            waiting.permit.set_result(permit)

    def _take_waiting(self, grant: PermitGrant) -> Waiting | None:
        other = [name for name in PRIORITIES if name != grant.priority]
        for priority in [grant.priority, *other]:
            key = QueueKey(grant.service, grant.workspace, priority)
            while (waiting := self._board.queues.pop(key)) is not None:
                if not waiting.permit.done():
                    return waiting
        return None
