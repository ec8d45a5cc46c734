"""
Reply times of a small workspace while another one floods the fleet.

``python -m benchmarks.promptness`` prints the reply times without a flood,
during a flood of interactive requests, and while batch reports of another
workspace fill every slot.
"""

from __future__ import annotations

import sys
from collections import Counter
from statistics import mean
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.fleet_plan import SERVICE, FleetPlan
from benchmarks.queued_request import QueuedRequest as InteractiveRequest
from benchmarks.simulated_fleet import INCARNATION_BASE, SimulatedFleet, SimulatedRouter
from benchmarks.workload import Flow, Request
from sycamorehaven.blackboard.queues import QueueKey
from sycamorehaven.call import BATCH, INTERACTIVE
from sycamorehaven.configuration.model import CallRule
from sycamorehaven.controllers.scheduling import PREEMPTION_PERIOD_SECONDS
from sycamorehaven.decisions.preemption import is_preemptible
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import Preemption

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.fairness_meter import RunFigures
    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.transport.codec import Delivery

REPORT_COST = 1_000.0
"""Cost of a batch report, in units; cheaper requests are interactive."""
ALL_ROUTERS = tuple(range(6))
STREAM_RULE = CallRule("POST", "/v1/completions", True, True)
RUN_SECONDS = 90.0
"""Virtual time that a run takes."""
QUESTION_FLOW = Flow(
    "elmplace", ALL_ROUTERS, rate=0.5, smallest_cost=20.0, largest_cost=40.0
)
"""Questions of a small workspace, a twentieth of the fleet's capacity."""
FLOOD_FLOW = Flow("flood", ALL_ROUTERS, rate=42.5, stop=RUN_SECONDS)
"""Interactive requests of ten times the fleet's capacity."""
REPORT_FLOW = Flow("flood", ALL_ROUTERS, queue_depth=20, smallest_cost=REPORT_COST)
"""Batch reports, of which more wait at all times than there are slots."""


class ReplyTimes(NamedTuple):
    """
    Reply times for the requests of one workspace and priority class.

    :ivar p99_seconds: 99th percentile of the time from arrival to the
        complete reply.
    :ivar mean_run_seconds: mean time that a request runs at a server.
    :ivar answered: number of requests that were answered completely.
    """

    p99_seconds: float
    mean_run_seconds: float
    answered: int


class ReportRemainder(Request):
    """
    The remainder of a batch report that was preempted.

    :param request: the report, or its remainder of an earlier preemption.
    :param received_service: service that it has received, in units.
    """

    def __init__(self, request: Request, received_service: float) -> None:
        remaining_cost = request.cost - received_service
        super().__init__(
            request.workspace, remaining_cost, request.cost_hint, request.arrived_at
        )


class PrioritizedRequest(InteractiveRequest):
    """A request in a router's queue with the priority class of its cost."""

    def __init__(self, request: Request, on_permit: Callable[[Permit], None]) -> None:
        super().__init__(request, on_permit)
        priority = get_priority(request)
        self._key = QueueKey(SERVICE, request.workspace, priority)


class PreemptingRouter(SimulatedRouter):
    """A router whose batch reports can be preempted and resumed."""

    def __init__(self, identity: RouterId, domain: str, fleet: PreemptingFleet) -> None:
        super().__init__(identity, domain, fleet)
        self._preempting_fleet = fleet
        self.link.subscribe(Preemption, self._handle_preemption)
        self._events.call_every(
            PREEMPTION_PERIOD_SECONDS, self._scheduling.preempt_streams
        )

    def enqueue(self, request: Request, on_dispatched: Callable[[], None]) -> None:
        """Queue a request that arrived at this router."""
        self._enqueue(request, on_dispatched, first=False)

    def _enqueue(
        self, request: Request, on_dispatched: Callable[[], None], *, first: bool
    ) -> None:
        def start(permit: Permit) -> None:
            self._fleet.meter.record_dispatch(request)
            permit.resumable = get_priority(request) == BATCH and is_preemptible(
                STREAM_RULE, self._preempting_fleet.count_preemptions(request)
            )
            self._start_request(request, permit)
            on_dispatched()

        self._fleet.meter.record_arrival(request)
        self.board.queues.push(PrioritizedRequest(request, start), is_retry=first)

    def _finish(self, request: Request, permit: Permit, base_cost: float) -> None:
        super()._finish(request, permit, base_cost)
        self._preempting_fleet.record_reply(request)

    def _handle_preemption(self, _delivery: Delivery) -> None:
        for permit, request in list(self._running.items()):
            if permit.preempted.is_set():
                self._requeue_remainder(permit, request)

    def _requeue_remainder(self, permit: Permit, request: Request) -> None:
        del self._running[permit]
        permit.cost = request.compute_service(self._events.now)
        self._fleet.meter.record_finish(request)
        self._fleet.servers[permit.server].cancel(request)
        self._permits.release(permit)
        remainder = self._preempting_fleet.build_remainder(request, permit.cost)
        self._enqueue(remainder, lambda: None, first=True)


class PreemptingFleet(SimulatedFleet):
    """
    A fleet with preemption that records the reply times.

    :param plan: the fleet to build.
    :param flows: the requests that the workspaces send.
    """

    def __init__(self, plan: FleetPlan, flows: list[Flow]) -> None:
        self.reply_times: dict[tuple[str, str], list[tuple[float, float]]] = {}
        self.submitted_counts: Counter[tuple[str, str]] = Counter()
        self._preemptions: dict[Request, int] = {}
        super().__init__(plan, flows)

    @property
    def max_preemptions(self) -> int:
        """The highest number of preemptions of a single request."""
        return max(self._preemptions.values(), default=0)

    def submit(
        self, router_index: int, request: Request, on_dispatched: Callable[[], None]
    ) -> None:
        """Count a request and add it to a router's queue."""
        self.submitted_counts[request.workspace, get_priority(request)] += 1
        super().submit(router_index, request, on_dispatched)

    def count_preemptions(self, request: Request) -> int:
        """Return the number of times that a request was preempted."""
        return self._preemptions.get(request, 0)

    def build_remainder(self, request: Request, received_service: float) -> Request:
        """Return the remainder of a request that was preempted."""
        remainder = ReportRemainder(request, received_service)
        self._preemptions[remainder] = self.count_preemptions(request) + 1
        return remainder

    def record_reply(self, request: Request) -> None:
        """Record that the reply to a request is complete."""
        now, started_at = self.events.now, request.started_at or 0.0
        key = request.workspace, get_priority(request)
        times = now - request.arrived_at, now - started_at
        self.reply_times.setdefault(key, []).append(times)

    def measure_replies(
        self, workspace: str, priority: str = INTERACTIVE
    ) -> ReplyTimes:
        """Return the reply times of a workspace's requests of one class."""
        times = self.reply_times.get((workspace, priority), [])
        total_seconds = sorted(total for total, _ in times)
        run_seconds = [seconds for _, seconds in times]
        return ReplyTimes(
            total_seconds[int(len(total_seconds) * 0.99)], mean(run_seconds), len(times)
        )

    def _create_router(self, router_index: int, incarnation: int) -> SimulatedRouter:
        domain = f"domain-{router_index % self.plan.domain_count}"
        name = RouterId(f"router-{router_index}", INCARNATION_BASE + incarnation)
        return PreemptingRouter(name, domain, self)


def get_priority(request: Request) -> str:
    """Return the priority class of a request."""
    if isinstance(request, ReportRemainder) or request.cost >= REPORT_COST:
        return BATCH
    return INTERACTIVE


def run_fleet(*flows: Flow) -> PreemptingFleet:
    """Run a fleet with the given flows and the questions, and return it."""
    fleet = PreemptingFleet(FleetPlan(), [*flows, QUESTION_FLOW])
    fleet.run(RUN_SECONDS)
    return fleet


def format_row(name: str, replies: ReplyTimes, figures: RunFigures) -> str:
    """Return a row of the table."""
    return (
        f"{name:24} p99 {replies.p99_seconds:6.2f} s  "
        f"service {replies.mean_run_seconds:5.2f} s  "
        f"utilisation {figures.utilisation:.3f}  gap {figures.gap:.2f}"
    )


def main() -> None:
    """Print the table."""
    for name, flows in (
        ("quiet", ()),
        ("ten times the capacity", (FLOOD_FLOW,)),
        ("reports in every slot", (REPORT_FLOW,)),
    ):
        fleet = run_fleet(*flows)
        row = format_row(name, fleet.measure_replies("elmplace"), fleet.summarise())
        sys.stdout.write(f"{row}  preempted at most {fleet.max_preemptions}\n")


if __name__ == "__main__":
    main()
