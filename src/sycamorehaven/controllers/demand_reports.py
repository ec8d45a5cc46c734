"""
Builds the messages in which an edge reports to the schedulers.

An edge is a router that has taken a call from a client. It reports the
requests that wait there, the permits that it holds and those it has returned.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.transport.messages.permits import (
    DemandReport,
    DemandRow,
    HeldPermit,
    PermitReturn,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.permits import Permit

RETURN_IN_REPORTS_DELAY_SECONDS = 0.5
"""Time without an acknowledgement after which reports carry a return."""
RETURN_LIFETIME_SECONDS = 60.0
"""Time for which an unacknowledged return is repeated."""


class DemandReportBuilder:
    """
    Builds reports and returns from the queues and permits of this edge.

    The cost of a permit is charged by the router that granted it, as long as
    that process is alive, and otherwise by the current scheduler of the
    backend server. The other of the two learns only that the slot is in use.

    :param board: the state of this router.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._scheduler_hosts: Mapping[str, str | None] = {}

    def set_schedulers(self, scheduler_hosts: Mapping[str, str | None]) -> None:
        """Set the host that schedules each backend server, if there is one."""
        self._scheduler_hosts = scheduler_hosts

    def find_charging_host(self, permit: Permit) -> str | None:
        """Return the host that charges a permit's cost, ``None`` for none."""
        member = self._board.members.find(permit.key.scheduler.host)
        if member and member.incarnation == permit.key.scheduler.incarnation:
            return member.host
        return self._scheduler_hosts.get(permit.server)

    def list_permit_hosts(self, permit: Permit) -> list[str]:
        """Return the hosts that charge a permit or schedule its server."""
        hosts = {
            self.find_charging_host(permit),
            self._scheduler_hosts.get(permit.server),
        }
        return sorted(host for host in hosts if host)

    def list_report_hosts(self, service: str, now: float) -> set[str]:
        """Return the hosts that reports on a service's permits must go to."""
        permits = [p for p in self._board.permits.list() if p.service == service]
        hosts = {host for permit in permits for host in self.list_permit_hosts(permit)}
        for permit in self._list_unacknowledged_returns(service, now):
            host = self.find_charging_host(permit)
            if host:
                hosts.add(host)
        return hosts

    def build_report(
        self, service: str, host: str, sequence: int, lifetime: float, now: float
    ) -> DemandReport:
        """
        Return the report on a service for one scheduler.

        :param service: the service.
        :param host: host of the scheduler.
        :param sequence: number of the report.
        :param lifetime: seconds for which the report is valid.
        :param now: monotonic seconds.
        """
        held = [
            self._build_held_permit(permit, host)
            for permit in self._board.permits.list()
            if permit.service == service and host in self.list_permit_hosts(permit)
        ]
        settled = [
            self.build_return(permit, host)
            for permit in self._list_unacknowledged_returns(service, now)
            if self.find_charging_host(permit) == host
        ]
        rows = self._list_demand_rows(service, now)
        return DemandReport(service, sequence, lifetime, rows, held, settled)

    def build_return(self, permit: Permit, host: str) -> PermitReturn:
        """Return the message that returns a permit to a host."""
        return PermitReturn(
            scheduler=permit.key.scheduler.host,
            incarnation=permit.key.scheduler.incarnation,
            permit=permit.key.number,
            service=permit.service,
            server=permit.server,
            workspace=permit.workspace,
            cost=permit.cost,
            runs=permit.used_runs,
            failed=permit.failed,
            accounted=self.find_charging_host(permit) == host,
            waiting=self._board.queues.count_waiting(permit.service, permit.workspace),
        )

    def _list_unacknowledged_returns(self, service: str, now: float) -> list[Permit]:
        unacknowledged = []
        for pending in self._board.permits.list_unacknowledged_returns():
            age = now - pending.returned_at
            if age > RETURN_LIFETIME_SECONDS:
                self._board.permits.acknowledge_return(pending.permit.key)
            elif (
                age > RETURN_IN_REPORTS_DELAY_SECONDS
                and pending.permit.service == service
            ):
                unacknowledged.append(pending.permit)
        return unacknowledged

    def _list_demand_rows(self, service: str, now: float) -> list[DemandRow]:
        return [
            DemandRow(
                key.workspace,
                key.priority,
                len(queue),
                now - queue[0].arrived_at,
                queue[0].cost,
            )
            for key, queue in self._board.queues.list()
            if key.service == service and queue
        ]

    def _build_held_permit(self, permit: Permit, host: str) -> HeldPermit:
        return HeldPermit(
            scheduler=permit.key.scheduler.host,
            incarnation=permit.key.scheduler.incarnation,
            permit=permit.key.number,
            server=permit.server,
            workspace=permit.workspace,
            priority=permit.priority,
            cost=permit.cost,
            resumable=permit.resumable,
            accounted=self.find_charging_host(permit) == host,
        )
