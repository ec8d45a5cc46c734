"""Routers' real controllers on a given clock, before fake servers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from benchmarks.events import EventQueue
from benchmarks.flows import FlowSource
from benchmarks.meter import Figures, Meter
from benchmarks.network import Link, Network
from benchmarks.plan import SERVICE, Plan
from benchmarks.queued import QueuedRequest
from benchmarks.workload import Flow, Request, Server
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

FIRST_INCARNATION = 1 << 60
"""Incarnations as long as those of real processes."""
LOAD_PERIOD = 0.5
"""Seconds between two reads of a server's load."""
DETECTION = 3.0
"""Seconds after which the death of a router is noticed."""


class Router:
    """
    One router: its blackboard, the two controllers and a counter exchange.

    :param identity: which router.
    :param domain: its failure domain.
    :param fleet: the fleet that it is part of.
    """

    def __init__(self, identity: RouterId, domain: str, fleet: Fleet) -> None:
        self.board = Blackboard(identity, f"{identity.host}:1", domain)
        self._fleet = fleet
        self._events = fleet.events
        self.alive = True
        self.link = Link(self.board, fleet.network, self._events)
        self._permits = PermitController(self.board, self.link, self._events.clock)
        self._scheduling = SchedulingController(
            self.board, self.link, self._events.clock
        )
        self.link.subscribe(CounterUpdate, self._merge)
        self._running: dict[Permit, Request] = {}
        self._report_at = float("inf")
        self.board.queues.changed.subscribe(self._plan_soon)
        self._events.repeat(EXPIRY_PERIOD_SECONDS, self._run_round)
        self._events.repeat(RETURN_RESEND_SECONDS, self._repeat)
        self._events.repeat(fleet.plan.sharing, self._share)
        self._events.repeat(LOAD_PERIOD, self._read_loads)
        self._plan(0.0)

    def push(self, request: Request, bound: Callable[[], None]) -> None:
        """Queue a request that came in here."""

        def bind(permit: Permit) -> None:
            self._fleet.meter.bind(request)
            self._run(request, permit)
            bound()

        self._fleet.meter.join(request)
        self.board.queues.push(QueuedRequest(request, bind))

    def _run(self, request: Request, permit: Permit) -> None:
        permit.used_runs += 1
        self._running[permit] = request
        base = permit.cost
        finish = functools.partial(self._finish, request, permit, base)
        self._fleet.servers[permit.server].admit(request, finish)

    def stop(self) -> None:
        """End the process; what it held and queued is gone."""
        self.alive = False
        for permit, request in self._running.items():
            self._fleet.meter.finish(request)
            self._fleet.servers[permit.server].cancel(request)
        for _, queue in self.board.queues.list():
            for waiting in queue:
                assert isinstance(waiting, QueuedRequest)
                self._fleet.meter.drop(waiting.request)

    def _finish(self, request: Request, permit: Permit, base: float) -> None:
        self._fleet.meter.finish(request)
        del self._running[permit]
        permit.cost = base + self._fleet.charge(request)
        self._permits.release(permit)

    def _plan_soon(self) -> None:
        self._plan(self._events.now + COALESCE_SECONDS)

    def _plan(self, when: float) -> None:
        if when < self._report_at:
            self._report_at = when
            self._events.call_at(when, functools.partial(self._report, when))

    def _report(self, when: float) -> None:
        if when != self._report_at or not self.alive:
            return
        if self._fleet.plan.kind == "model":
            for permit, request in self._running.items():
                permit.cost = request.measure(self._events.now)
        self._report_at = float("inf")
        due = self._permits.send_reports()
        self._plan(
            min(max(due, self._events.now + COALESCE_SECONDS), self._events.now + 0.5)
        )

    def _run_round(self) -> None:
        if self.alive:
            self._scheduling.run_round()

    def _repeat(self) -> None:
        if self.alive:
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

    def _share(self) -> None:
        own = self.board.identity
        rows = [
            CounterRow(
                own.host, own.incarnation, key.service, key.workspace, total, 0.0
            )
            for key, total in self.board.counters.totals.items()
            if key.scheduler == own
        ]
        if not rows or not self.alive:
            return
        for member in self.board.members.list():
            if member.host != own.host:
                self.link.send(member.host, CounterUpdate(0, rows))

    def _merge(self, delivery: Delivery) -> None:
        for row in delivery.message.rows:
            self._fleet.merge(self.board, row)


class Fleet:
    """
    Routers, servers and flows of one run.

    :param plan: what to build.
    :param flows: what workspaces ask for.
    """

    def __init__(self, plan: Plan, flows: list[Flow]) -> None:
        self.plan = plan
        self.events = EventQueue()
        self.start = self.events.now
        self.network = Network(
            self.events, plan.seed, loss=plan.loss, doubling=plan.doubling
        )
        self.servers = {
            f"engine-{index}": Server(f"engine-{index}", plan.slots, speed, self.events)
            for index, speed in enumerate(plan.speeds)
        }
        weights = {flow.workspace: flow.weight for flow in flows}
        self.meter = Meter(
            self.events,
            list(self.servers.values()),
            weights,
            plan.largest,
            plan.largest / min(plan.speeds),
        )
        self._smallest = flows[-1].workspace
        self.routers = [self._create_router(index, 1) for index in range(plan.routers)]
        configuration = self._configure(weights)
        self.update_members()
        for router in self.routers:
            router.board.configuration.replace(configuration)
        self._source = FlowSource(self.events, flows, plan.seed, self)

    def is_up(self, index: int) -> bool:
        """Return whether a router takes requests."""
        return self.routers[index].alive

    def submit(self, index: int, request: Request, bound: Callable[[], None]) -> None:
        """Queue a request at a router."""
        self.routers[index].push(request, bound)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.events.run_until(self.events.now + seconds)

    def charge(self, request: Request) -> float:
        """Return what a finished request cost, in the service's unit."""
        return request.cost

    def merge(self, board: Blackboard, row: CounterRow) -> None:
        """Merge a total of another router into a board."""
        name = RouterId(row.host, row.incarnation)
        key = CounterKey(name, row.service, row.workspace)
        board.counters.merge_total(key, row.total)

    def kill(self, index: int, restart_after: float | None = None) -> None:
        """End a router, and start it again if wanted."""
        router = self.routers[index]
        router.stop()
        del self.network.links[router.board.identity.host]
        self.events.call_after(DETECTION, self.update_members)
        if restart_after is not None:
            self.events.call_after(
                restart_after, functools.partial(self._restart, index)
            )

    def cut(self, domains: set[str]) -> None:
        """Separate failure domains from the others."""
        for router in self.routers:
            own = router.board.members.own
            self.network.sides[own.host] = int(own.failure_domain in domains)
        self.events.call_after(DETECTION, self.update_members)

    def heal(self) -> None:
        """Join the failure domains again."""
        self.network.sides.clear()
        self.events.call_after(0.5, self.update_members)

    def update_members(self) -> None:
        """Give each router its view of the live routers."""
        sides = self.network.sides
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
                if other.alive
                and sides.get(other.board.identity.host, 0) == sides.get(own, 0)
            }
            router.board.members.replace(view)

    def summarise(self, since: float = 0.0) -> Figures:
        """Return the figures of the run so far."""
        self.meter.integrate()
        elapsed = self.events.now - self.start - since
        waits = sorted(self.meter.waits[self._smallest])
        return Figures(
            self.meter.gap,
            self.meter.utilisation,
            max(self.network.sent.values(), default=0) / elapsed,
            sum(self.network.messages.values()) / elapsed / len(self.routers),
            self.meter.count,
            waits[int(len(waits) * 0.99)] if waits else 0.0,
            sum(request.runs > 1 for request in self._source.requests),
        )

    def _create_router(self, index: int, incarnation: int) -> Router:
        domain = f"domain-{index % self.plan.domains}"
        name = RouterId(f"router-{index}", FIRST_INCARNATION + incarnation)
        return Router(name, domain, self)

    def _restart(self, index: int) -> None:
        incarnation = self.routers[index].board.identity.incarnation + 1
        incarnation -= FIRST_INCARNATION
        configuration = self.routers[index].board.configuration.current
        self.routers[index] = self._create_router(index, incarnation)
        self.update_members()
        if configuration is not None:
            self.routers[index].board.configuration.replace(configuration)
        self._source.resume(index)

    def _configure(self, weights: dict[str, float]) -> Configuration:
        service = Service(
            SERVICE, self.plan.kind, (), (), self.plan.expected, self.plan.largest, 0.2
        )
        servers = {
            server.name: BackendServer(
                server.name,
                "127.0.0.1:1",
                SERVICE,
                f"domain-{index % self.plan.domains}",
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
