"""
A fleet of routers on a virtual clock, with simulated backend servers.

The permit and scheduling controllers are the real ones; the network, the
membership and the exchange of service totals are simulated.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from benchmarks.event_queue import EventQueue
from benchmarks.fairness_meter import FairnessMeter, RunFigures
from benchmarks.fleet_plan import SERVICE, FleetPlan
from benchmarks.flow_source import FlowSource
from benchmarks.queued_request import QueuedRequest
from benchmarks.simulated_network import SimulatedLink, SimulatedNetwork
from benchmarks.workload import Flow, Request, SimulatedServer
from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.blackboard.counters import CounterKey
from sycamorehaven.blackboard.members import Member
from sycamorehaven.configuration.model import (
    BackendServer,
    Configuration,
    Service,
    Workspace,
)
from sycamorehaven.controllers.permits import (
    COALESCE_SECONDS,
    RETURN_RESEND_SECONDS,
    PermitController,
)
from sycamorehaven.controllers.scheduling import (
    EXPIRY_PERIOD_SECONDS,
    SchedulingController,
)
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.counters import CounterRow, CounterUpdate

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.transport.codec import Delivery

INCARNATION_BASE = 1 << 60
"""Added to incarnations so that they encode as long as real ones."""
LOAD_READ_PERIOD_SECONDS = 0.5
"""Interval at which routers read the load of every server."""
FAILURE_DETECTION_SECONDS = 3.0
"""Time until the other routers drop a failed or unreachable router."""


class SimulatedRouter:
    """
    One router: blackboard, permit and scheduling controllers, counters.

    :param identity: identity of the router.
    :param domain: failure domain of the router.
    :param fleet: the fleet that the router belongs to.
    """

    def __init__(self, identity: RouterId, domain: str, fleet: SimulatedFleet) -> None:
        self.board = Blackboard(identity, f"{identity.host}:1", domain)
        self._fleet = fleet
        self._events = fleet.events
        self.is_alive = True
        self.link = SimulatedLink(self.board, fleet.network, self._events)
        self._permits = PermitController(self.board, self.link, self._events.clock)
        self._scheduling = SchedulingController(
            self.board, self.link, self._events.clock
        )
        self.link.subscribe(CounterUpdate, self._handle_counter_update)
        self._running: dict[Permit, Request] = {}
        self._report_at = float("inf")
        self.board.queues.changed.subscribe(self._schedule_report_soon)
        self._events.call_every(EXPIRY_PERIOD_SECONDS, self._run_round)
        self._events.call_every(RETURN_RESEND_SECONDS, self._resend_unacknowledged)
        self._events.call_every(fleet.plan.sharing_period, self._send_counter_updates)
        self._events.call_every(LOAD_READ_PERIOD_SECONDS, self._read_loads)
        self._schedule_report(0.0)

    def enqueue(self, request: Request, on_dispatched: Callable[[], None]) -> None:
        """Queue a request that arrived at this router."""

        def start(permit: Permit) -> None:
            self._fleet.meter.record_dispatch(request)
            self._start_request(request, permit)
            on_dispatched()

        self._fleet.meter.record_arrival(request)
        self.board.queues.push(QueuedRequest(request, start))

    def _start_request(self, request: Request, permit: Permit) -> None:
        permit.used_runs += 1
        self._running[permit] = request
        base_cost = permit.cost
        finish = functools.partial(self._finish, request, permit, base_cost)
        self._fleet.servers[permit.server].admit(request, finish)

    def terminate(self) -> None:
        """End the process; its running and queued requests are lost."""
        self.is_alive = False
        for permit, request in self._running.items():
            self._fleet.meter.record_finish(request)
            self._fleet.servers[permit.server].cancel(request)
        for _, queue in self.board.queues.list():
            for waiting in queue:
                assert isinstance(waiting, QueuedRequest)
                self._fleet.meter.record_drop(waiting.request)

    def _finish(self, request: Request, permit: Permit, base_cost: float) -> None:
        self._fleet.meter.record_finish(request)
        del self._running[permit]
        permit.cost = base_cost + self._fleet.compute_cost(request)
        self._permits.release(permit)

    def _schedule_report_soon(self) -> None:
        self._schedule_report(self._events.now + COALESCE_SECONDS)

    def _schedule_report(self, when: float) -> None:
        if when < self._report_at:
            self._report_at = when
            self._events.call_at(when, functools.partial(self._send_reports, when))

    def _send_reports(self, when: float) -> None:
        if when != self._report_at or not self.is_alive:
            return
        if self._fleet.plan.service_kind == "model":
            for permit, request in self._running.items():
                permit.cost = request.compute_service(self._events.now)
        self._report_at = float("inf")
        next_due = self._permits.send_reports()
        self._schedule_report(
            min(
                max(next_due, self._events.now + COALESCE_SECONDS),
                self._events.now + 0.5,
            )
        )

    def _run_round(self) -> None:
        if self.is_alive:
            self._scheduling.run_round()

    def _resend_unacknowledged(self) -> None:
        if self.is_alive:
            self._scheduling.resend_grants()
            self._permits.resend_returns()

    def _read_loads(self) -> None:
        now = self._events.now
        for server in self._fleet.servers.values():
            status = self.board.server_statuses.get(server.name)._replace(
                running_requests=server.load,
                reported_slots=server.slots,
                reported_at=now,
            )
            self.board.server_statuses.put(server.name, status)

    def _send_counter_updates(self) -> None:
        own = self.board.identity
        rows = [
            CounterRow(
                own.host, own.incarnation, key.service, key.workspace, total, 0.0
            )
            for key, total in self.board.counters.totals.items()
            if key.scheduler == own
        ]
        if not rows or not self.is_alive:
            return
        for member in self.board.members.list():
            if member.host != own.host:
                self.link.send(member.host, CounterUpdate(0, rows))

    def _handle_counter_update(self, delivery: Delivery) -> None:
        for row in delivery.message.rows:
            self._fleet.merge_counter_row(self.board, row)


class SimulatedFleet:
    """
    Routers, servers and flows of one run.

    :param plan: the fleet to build.
    :param flows: the requests that the workspaces send; the waiting times of
        the last flow's workspace are measured.
    """

    def __init__(self, plan: FleetPlan, flows: list[Flow]) -> None:
        self.plan = plan
        self.events = EventQueue()
        self.started_at = self.events.now
        self.network = SimulatedNetwork(
            self.events,
            plan.seed,
            loss_ratio=plan.loss_ratio,
            duplication_ratio=plan.duplication_ratio,
        )
        self.servers = {
            f"engine-{index}": SimulatedServer(
                f"engine-{index}", plan.slots_per_server, speed, self.events
            )
            for index, speed in enumerate(plan.server_speeds)
        }
        weights = {flow.workspace: flow.weight for flow in flows}
        self.meter = FairnessMeter(
            self.events,
            list(self.servers.values()),
            weights,
            plan.largest_cost,
            plan.largest_cost / min(plan.server_speeds),
        )
        self._measured_workspace = flows[-1].workspace
        self.routers = [
            self._create_router(index, 1) for index in range(plan.router_count)
        ]
        configuration = self._build_configuration(weights)
        self.update_members()
        for router in self.routers:
            router.board.configuration.replace(configuration)
        self._source = FlowSource(self.events, flows, plan.seed, self)

    def is_up(self, router_index: int) -> bool:
        """Return whether a router accepts requests."""
        return self.routers[router_index].is_alive

    def submit(
        self, router_index: int, request: Request, on_dispatched: Callable[[], None]
    ) -> None:
        """Add a request to a router's queue."""
        self.routers[router_index].enqueue(request, on_dispatched)

    def run(self, seconds: float) -> None:
        """Advance the virtual time by a number of seconds."""
        self.events.run_until(self.events.now + seconds)

    def compute_cost(self, request: Request) -> float:
        """Return the cost of a finished request, in the service's unit."""
        return request.cost

    def merge_counter_row(self, board: Blackboard, row: CounterRow) -> None:
        """Merge another router's service total into a blackboard."""
        name = RouterId(row.host, row.incarnation)
        key = CounterKey(name, row.service, row.workspace)
        board.counters.merge_total(key, row.total)

    def kill_router(
        self, router_index: int, restart_after: float | None = None
    ) -> None:
        """
        End a router.

        :param router_index: index of the router.
        :param restart_after: seconds until it restarts, ``None`` for never.
        """
        router = self.routers[router_index]
        router.terminate()
        del self.network.links[router.board.identity.host]
        self.events.call_after(FAILURE_DETECTION_SECONDS, self.update_members)
        if restart_after is not None:
            self.events.call_after(
                restart_after, functools.partial(self._restart_router, router_index)
            )

    def partition_domains(self, domains: set[str]) -> None:
        """Cut the network between some failure domains and the others."""
        for router in self.routers:
            own = router.board.members.own
            self.network.partition_by_host[own.host] = int(
                own.failure_domain in domains
            )
        self.events.call_after(FAILURE_DETECTION_SECONDS, self.update_members)

    def heal_partition(self) -> None:
        """End the network partition."""
        self.network.partition_by_host.clear()
        self.events.call_after(0.5, self.update_members)

    def update_members(self) -> None:
        """Give each router the list of live routers that it can reach."""
        partitions = self.network.partition_by_host
        for router in self.routers:
            own = router.board.identity.host
            view = {
                other.board.identity.host: Member(
                    other.board.identity.host,
                    other.board.identity.incarnation,
                    other.board.members.own.address,
                    other.board.members.own.failure_domain,
                    "alive",
                )
                for other in self.routers
                if other.is_alive
                and partitions.get(other.board.identity.host, 0)
                == partitions.get(own, 0)
            }
            router.board.members.replace(view)

    def summarise(self, skipped_seconds: float = 0.0) -> RunFigures:
        """
        Return the figures of the run so far.

        :param skipped_seconds: time that the rates leave out of account.
        """
        self.meter.integrate()
        elapsed = self.events.now - self.started_at - skipped_seconds
        waits = sorted(self.meter.wait_seconds[self._measured_workspace])
        return RunFigures(
            self.meter.gap,
            self.meter.utilisation,
            max(self.network.bytes_by_sender.values(), default=0) / elapsed,
            sum(self.network.messages_by_kind.values()) / elapsed / len(self.routers),
            self.meter.finished_count,
            waits[int(len(waits) * 0.99)] if waits else 0.0,
            sum(request.run_count > 1 for request in self._source.requests),
        )

    def _create_router(self, router_index: int, incarnation: int) -> SimulatedRouter:
        domain = f"domain-{router_index % self.plan.domain_count}"
        name = RouterId(f"router-{router_index}", INCARNATION_BASE + incarnation)
        return SimulatedRouter(name, domain, self)

    def _restart_router(self, router_index: int) -> None:
        incarnation = self.routers[router_index].board.identity.incarnation + 1
        incarnation -= INCARNATION_BASE
        configuration = self.routers[router_index].board.configuration.current
        self.routers[router_index] = self._create_router(router_index, incarnation)
        self.update_members()
        if configuration is not None:
            self.routers[router_index].board.configuration.replace(configuration)
        self._source.refill_queues(router_index)

    def _build_configuration(self, weights: dict[str, float]) -> Configuration:
        service = Service(
            SERVICE,
            self.plan.service_kind,
            (),
            (),
            self.plan.expected_cost,
            self.plan.largest_cost,
            0.2,
        )
        servers = {
            server.name: BackendServer(
                server.name,
                "127.0.0.1:1",
                SERVICE,
                f"domain-{index % self.plan.domain_count}",
                server.slots,
                server.slots,
                (),
                (),
                "",
                "",
                False,
            )
            for index, server in enumerate(self.servers.values())
        }
        workspaces = {
            name: Workspace(name, "", weight, 1_000_000)
            for name, weight in weights.items()
        }
        return Configuration(1, "", "", workspaces, {SERVICE: service}, servers)
