"""Replies to a small workspace's questions while others flood the fleet."""

from __future__ import annotations

import sys
from collections import Counter
from statistics import mean
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.fleet import FIRST_INCARNATION, Fleet, Router
from benchmarks.plan import SERVICE, Plan
from benchmarks.queued import QueuedRequest as InteractiveRequest
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

    from benchmarks.meter import Figures
    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.transport.codec import Delivery

REPORT = 1_000.0
"""Cost of a batch report, units; every other request is interactive."""
EVERYWHERE = tuple(range(6))
STREAM = CallRule("POST", "/v1/completions", True, True)
SECONDS = 90.0
"""Length of a run."""
QUESTIONS = Flow("elmplace", EVERYWHERE, rate=0.5, smallest=20.0, largest=40.0)
"""A small workspace: a twentieth of the capacity."""
FLOOD = Flow("flood", EVERYWHERE, rate=42.5, stop=SECONDS)
"""Ten times the capacity of the plan's servers."""
REPORTS = Flow("flood", EVERYWHERE, depth=20, smallest=REPORT)
"""More reports than there are slots at all times."""


class Replies(NamedTuple):
    """
    Replies to one workspace's questions.

    :ivar late: 99th percentile of the time to the whole reply, seconds.
    :ivar service: mean time that a question runs, seconds.
    :ivar answered: how many.
    """

    late: float
    service: float
    answered: int


class Rest(Request):
    """
    What is left of a report that was preempted.

    :param request: the report, or what was left of it before.
    :param done: service that it has received, in units.
    """

    def __init__(self, request: Request, done: float) -> None:
        left = request.cost - done
        super().__init__(request.workspace, left, request.hint, request.since)


class QueuedRequest(InteractiveRequest):
    """A request in a router's queue, of either class."""

    def __init__(self, request: Request, bind: Callable[[Permit], None]) -> None:
        super().__init__(request, bind)
        priority = find_priority(request)
        self._key = QueueKey(SERVICE, request.workspace, priority)


class StreamRouter(Router):
    """A router whose reports can be preempted and resumed."""

    def __init__(self, identity: RouterId, domain: str, fleet: StreamFleet) -> None:
        super().__init__(identity, domain, fleet)
        self._streams = fleet
        self.link.subscribe(Preemption, self._break_off)
        self._events.repeat(PREEMPTION_PERIOD_SECONDS, self._scheduling.preempt_streams)

    def push(self, request: Request, bound: Callable[[], None]) -> None:
        """Queue a request that came in here."""
        self._queue(request, bound, first=False)

    def _queue(
        self, request: Request, bound: Callable[[], None], *, first: bool
    ) -> None:
        def bind(permit: Permit) -> None:
            self._fleet.meter.bind(request)
            permit.resumable = find_priority(request) == BATCH and is_preemptible(
                STREAM, self._streams.count_preemptions(request)
            )
            self._run(request, permit)
            bound()

        self._fleet.meter.join(request)
        self.board.queues.push(QueuedRequest(request, bind), is_retry=first)

    def _finish(self, request: Request, permit: Permit, base: float) -> None:
        super()._finish(request, permit, base)
        self._streams.note_reply(request)

    def _break_off(self, _delivery: Delivery) -> None:
        for permit, request in list(self._running.items()):
            if permit.preempted.is_set():
                self._resume_later(permit, request)

    def _resume_later(self, permit: Permit, request: Request) -> None:
        del self._running[permit]
        permit.cost = request.measure(self._events.now)
        self._fleet.meter.finish(request)
        self._fleet.servers[permit.server].cancel(request)
        self._permits.release(permit)
        rest = self._streams.split(request, permit.cost)
        self._queue(rest, lambda: None, first=True)


class StreamFleet(Fleet):
    """
    A fleet that notes the replies.

    :param plan: what to build.
    :param flows: what workspaces ask for.
    """

    def __init__(self, plan: Plan, flows: list[Flow]) -> None:
        self.replies: dict[tuple[str, str], list[tuple[float, float]]] = {}
        self.asked: Counter[tuple[str, str]] = Counter()
        self._preemptions: dict[Request, int] = {}
        super().__init__(plan, flows)

    @property
    def most_preemptions(self) -> int:
        """The most often that one request was preempted."""
        return max(self._preemptions.values(), default=0)

    def submit(self, index: int, request: Request, bound: Callable[[], None]) -> None:
        """Queue a request at a router."""
        self.asked[request.workspace, find_priority(request)] += 1
        super().submit(index, request, bound)

    def count_preemptions(self, request: Request) -> int:
        """Return how often a request has been preempted."""
        return self._preemptions.get(request, 0)

    def split(self, request: Request, done: float) -> Request:
        """Return what is left of a request that was preempted."""
        rest = Rest(request, done)
        self._preemptions[rest] = self.count_preemptions(request) + 1
        return rest

    def note_reply(self, request: Request) -> None:
        """Note the whole reply to a request."""
        now, started_at = self.events.now, request.started_at or 0.0
        key = request.workspace, find_priority(request)
        times = now - request.since, now - started_at
        self.replies.setdefault(key, []).append(times)

    def measure(self, workspace: str, priority: str = INTERACTIVE) -> Replies:
        """Return the replies to a workspace's requests of one class."""
        times = self.replies.get((workspace, priority), [])
        late = sorted(total for total, _ in times)
        service = [seconds for _, seconds in times]
        return Replies(late[int(len(late) * 0.99)], mean(service), len(times))

    def _create_router(self, index: int, incarnation: int) -> Router:
        domain = f"domain-{index % self.plan.domains}"
        name = RouterId(f"router-{index}", FIRST_INCARNATION + incarnation)
        return StreamRouter(name, domain, self)


def find_priority(request: Request) -> str:
    """Return the class of a request."""
    if isinstance(request, Rest) or request.cost >= REPORT:
        return BATCH
    return INTERACTIVE


def run(*flows: Flow) -> StreamFleet:
    """Return the fleet after a run."""
    fleet = StreamFleet(Plan(), [*flows, QUESTIONS])
    fleet.run(SECONDS)
    return fleet


def format_row(name: str, replies: Replies, figures: Figures) -> str:
    """Return a line of the table."""
    return (
        f"{name:24} p99 {replies.late:6.2f} s  service {replies.service:5.2f} s  "
        f"utilisation {figures.utilisation:.3f}  gap {figures.gap:.2f}"
    )


def main() -> None:
    """Print the table."""
    for name, flows in (
        ("quiet", ()),
        ("ten times the capacity", (FLOOD,)),
        ("reports in every slot", (REPORTS,)),
    ):
        fleet = run(*flows)
        row = format_row(name, fleet.measure("elmplace"), fleet.summarise())
        sys.stdout.write(f"{row}  preempted at most {fleet.most_preemptions}\n")


if __name__ == "__main__":
    main()
