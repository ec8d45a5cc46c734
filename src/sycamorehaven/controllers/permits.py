"""Reports this router's demand to schedulers and binds granted permits."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.permits import Permit, PermitKey
from sycamorehaven.blackboard.queues import QueueKey
from sycamorehaven.controllers.demand_reports import (
    RETURN_IN_REPORTS_DELAY_SECONDS,
    DemandReportBuilder,
)
from sycamorehaven.decisions.demand_reports import (
    REPORT_LIFETIME_REFRESHES,
    DemandKey,
    QueueSnapshot,
    ReportPlanner,
    compute_refresh_interval,
)
from sycamorehaven.decisions.rendezvous import rank_candidates
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import PermitAck, PermitGrant, Preemption

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.queues import WaitingRequest
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

MAX_SLEEP_SECONDS = 0.5
"""Longest time between two checks for due demand reports."""
COALESCE_SECONDS = 0.002
"""Time during which changes of demand are collected into one report."""
RETURN_RESEND_SECONDS = 0.05
"""Time without an acknowledgement after which a permit return is resent."""
SEQUENCE_LIFETIME_SECONDS = 10.0
"""Time for which the sending time of a demand report is remembered."""
MAX_REMEMBERED_GRANTS = 4_096
"""Number of recent grants remembered to ignore duplicate deliveries."""
PRIORITY_CLASSES = ("interactive", "batch")
"""Names of all priority classes."""


class PermitController(Service):
    """
    Reports queued calls to the schedulers and binds their grants to calls.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param clock: returns monotonic time in seconds.
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
        self._report_times: OrderedDict[int, float] = OrderedDict()
        self._seen_grants: OrderedDict[PermitKey, None] = OrderedDict()
        self._planners: dict[str, ReportPlanner] = {}
        self._schedulers: dict[str, list[str]] = {}
        self._incarnations: dict[str, int] = {}
        self._report_builder = DemandReportBuilder(board)
        link.subscribe(PermitGrant, self._handle_grant)
        link.subscribe(PermitAck, self._handle_ack)
        link.subscribe(Preemption, self._handle_preemption)
        board.members.changed.subscribe(self._update_schedulers)
        board.configuration.changed.subscribe(self._update_schedulers)

    def release(self, permit: Permit) -> None:
        """Bind a permit to the next call that it covers, or return it."""
        if self._board.permits.find(permit.key) is None or self._rebind_permit(permit):
            return
        self._board.permits.remove(permit.key)
        self._board.permits.add_return(permit, self._clock())
        self._send_return(permit, self._report_builder.list_permit_hosts(permit))

    def resend_returns(self) -> None:
        """
        Resend the permit returns that have not been acknowledged.

        Older returns are left to the demand reports, which carry them instead.
        """
        now = self._clock()
        for pending in self._board.permits.list_unacknowledged_returns():
            if (
                RETURN_RESEND_SECONDS
                <= now - pending.returned_at
                < RETURN_IN_REPORTS_DELAY_SECONDS
            ):
                host = self._report_builder.find_charging_host(pending.permit)
                self._send_return(pending.permit, [host] if host else [])

    def _send_return(self, permit: Permit, hosts: list[str]) -> None:
        for host in hosts:
            message = self._report_builder.build_return(permit, host)
            planner = self._get_planner(permit.service)
            planner.record_return(host, permit.workspace, message.waiting)
            self._link.send(host, message)

    def send_reports(self) -> float:
        """
        Send the demand reports that are due.

        :returns: monotonic seconds at which the next report is due.
        """
        now = self._clock()
        self._sequence += 1
        self._report_times[self._sequence] = now
        while now - next(iter(self._report_times.values())) > SEQUENCE_LIFETIME_SECONDS:
            self._report_times.popitem(last=False)
        refresh = compute_refresh_interval(
            sum(p.recipient_count for p in self._planners.values())
        )
        due_times = [
            self._report_service(service, now, refresh) for service in self._schedulers
        ]
        return min(due_times, default=now + MAX_SLEEP_SECONDS)

    @Service.task
    async def _report_continuously(self) -> None:
        self._update_schedulers()
        sleep_seconds = MAX_SLEEP_SECONDS
        while not self.should_stop:
            await self._board.queues.changed.wait(sleep_seconds)
            await asyncio.sleep(COALESCE_SECONDS)
            sleep_seconds = min(self.send_reports() - self._clock(), MAX_SLEEP_SECONDS)
            sleep_seconds = max(sleep_seconds, COALESCE_SECONDS)

    @Service.task
    async def _resend_continuously(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(RETURN_RESEND_SECONDS)
            self.resend_returns()

    def _update_schedulers(self) -> None:
        """
        Determine the scheduler of each server and each service's schedulers.
        """
        configuration = self._board.configuration.current
        if configuration is None:
            return
        domains = self._board.members.map_failure_domains()
        schedulers_by_server = {
            server.name: choose_scheduler(server, domains)
            for server in configuration.servers.values()
        }
        self._report_builder.set_schedulers(schedulers_by_server)
        self._forget_restarted_routers()
        self._schedulers = {}
        for service in configuration.services:
            hosts = {
                schedulers_by_server[s.name]
                for s in configuration.list_servers(service)
            }
            key = f"demand/{self._board.identity.host}/{service}"
            self._schedulers[service] = rank_candidates(key, filter(None, hosts))

    def _forget_restarted_routers(self) -> None:
        """Drop what is known of schedulers that have restarted or left."""
        live_incarnations = {m.host: m.incarnation for m in self._board.members.list()}
        for host, incarnation in self._incarnations.items():
            if live_incarnations.get(host) != incarnation:
                for planner in self._planners.values():
                    planner.forget_host(host)
        self._incarnations = live_incarnations

    def _get_planner(self, service: str) -> ReportPlanner:
        return self._planners.setdefault(service, ReportPlanner())

    def _report_service(self, service: str, now: float, refresh: float) -> float:
        """Send a service's due reports; return when its next report is due."""
        planner = self._get_planner(service)
        schedulers = self._schedulers[service]
        queues = {
            DemandKey(key.workspace, key.priority): QueueSnapshot(
                len(queue), queue[0].arrived_at
            )
            for key, queue in self._board.queues.list()
            if key.service == service and queue
        }
        holders = self._report_builder.list_report_hosts(service, now)
        for host in planner.choose_recipients(
            queues, schedulers, holders, now, refresh
        ):
            report = self._report_builder.build_report(
                service, host, self._sequence, REPORT_LIFETIME_REFRESHES * refresh, now
            )
            self._link.send(host, report)
        return planner.get_next_due(queues, len(schedulers), now, refresh)

    def _rebind_permit(self, permit: Permit) -> bool:
        """
        Bind a used permit to another queued call, if it covers one more run.
        """
        now = self._clock()
        if not 0 < permit.used_runs < permit.max_runs or permit.failed:
            return False
        if now >= permit.expires_at or permit.preempted.is_set():
            return False
        if not self._board.server_statuses.takes_work(permit.server, now):
            return False
        waiting = self._pop_waiting(permit.service, permit.workspace, permit.priority)
        if waiting is None:
            return False
        waiting.permit.set_result(permit)
        return True

    def _handle_ack(self, delivery: Delivery) -> None:
        ack: PermitAck = delivery.message
        scheduler = RouterId(ack.scheduler, ack.incarnation)
        for number in ack.permits:
            self._board.permits.acknowledge_return(PermitKey(scheduler, number))

    def _handle_preemption(self, delivery: Delivery) -> None:
        preemption: Preemption = delivery.message
        scheduler = RouterId(preemption.scheduler, preemption.incarnation)
        permit = self._board.permits.find(PermitKey(scheduler, preemption.permit))
        if permit is not None and permit.resumable:
            permit.preempted.set()

    def _handle_grant(self, delivery: Delivery) -> None:
        grant: PermitGrant = delivery.message
        key = PermitKey(delivery.sender, grant.permit)
        self._link.send(key.scheduler.host, PermitAck(*key.scheduler, [key.number]))
        if key in self._seen_grants:
            return
        self._seen_grants[key] = None
        if len(self._seen_grants) > MAX_REMEMBERED_GRANTS:
            self._seen_grants.popitem(last=False)
        demand_key = DemandKey(grant.workspace, grant.priority)
        planner = self._get_planner(grant.service)
        planner.record_grant(
            delivery.sender.host, demand_key, grant.free, self._clock()
        )
        self._bind_grant(grant, key)

    def _bind_grant(self, grant: PermitGrant, key: PermitKey) -> None:
        expires_at = self._compute_expiry(grant)
        waiting = None
        if self._clock() < expires_at:
            waiting = self._pop_waiting(grant.service, grant.workspace, grant.priority)
        permit = Permit(
            key=key,
            service=grant.service,
            server=grant.server,
            workspace=grant.workspace,
            priority=waiting.key.priority if waiting else grant.priority,
            expires_at=expires_at,
            max_runs=grant.runs,
        )
        self._board.permits.add(permit)
        if waiting is None:
            self.release(permit)
            return
        now = self._clock()
        self._get_planner(grant.service).record_wait(now - waiting.arrived_at, now)
        waiting.permit.set_result(permit)

    def _compute_expiry(self, grant: PermitGrant) -> float:
        """
        Return when a grant expires, in monotonic seconds of this router.

        The scheduler's clock differs, so it sends only the time elapsed since
        it got the demand report. Unknown report numbers count as expired.
        """
        sent_at = self._report_times.get(grant.sequence)
        return 0.0 if sent_at is None else sent_at + grant.elapsed + grant.lease

    def _pop_waiting(
        self, service: str, workspace: str, preferred: str
    ) -> WaitingRequest | None:
        """
        Remove the first waiting call of a workspace, preferably of one class.
        """
        other_priorities = [name for name in PRIORITY_CLASSES if name != preferred]
        for priority in [preferred, *other_priorities]:
            key = QueueKey(service, workspace, priority)
            while (waiting := self._board.queues.pop(key)) is not None:
                if not waiting.permit.done():
                    return waiting
        return None
