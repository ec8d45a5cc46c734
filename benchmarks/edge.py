"""
Control traffic and processor time of one edge at the target's size.

``python -m benchmarks.edge`` runs the real permit controller of one router
on a given clock, with the target's configuration and members, and counts
what it sends. Grants come from the schedulers of its services.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from benchmarks.events import EventQueue
from benchmarks.target import BACKLOGGED_PART, TARGET, WAIT
from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.blackboard.members import Member
from sycamorehaven.blackboard.queues import QueueKey, WaitingRequest
from sycamorehaven.configuration.acceptance import accept_text
from sycamorehaven.controllers.permits import COALESCE_SECONDS, PermitController
from sycamorehaven.decisions.roles import choose_scheduler
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Codec, Delivery
from sycamorehaven.transport.messages.permits import PermitAck, PermitGrant
from tests.support.large_configurations import build_large_configuration

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.peer_link import MessageHandler

EXCHANGE = 0.002
"""Seconds from a request to its grant when slots are free."""
ACKNOWLEDGEMENT = 0.25
"""Seconds from a return to its acknowledgement."""
WARM_UP = 10.0
"""Virtual seconds until as many streams run as on the target."""
COUNTED = 10.0
"""Virtual seconds over which is counted."""


def build_board(number: int = 0) -> Blackboard:
    """Return the state of one router of the target's fleet."""
    members = {
        f"router-euw1-{index:08}": Member(
            f"router-euw1-{index:08}",
            1 << 60,
            f"10.0.{index // 250}.{index % 250}:7000",
            f"domain-{index % TARGET.domains}",
            "alive",
        )
        for index in range(TARGET.nodes)
    }
    own = members[f"router-euw1-{number:08}"]
    identity = RouterId(own.host, own.incarnation)
    board = Blackboard(identity, own.address, own.failure_domain)
    board.configuration.replace(accept_text(build_large_configuration().encode(), 1))
    board.members.replace(members)
    return board


class CountingLink:
    """
    Counts what a controller sends; nothing arrives anywhere.

    :param board: whose controller sends.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._codec = Codec(board.identity, board.members.own.address)
        self._handlers: dict[type, list[MessageHandler]] = {}
        self.messages: Counter[str] = Counter()
        self.sizes: Counter[str] = Counter()
        self.sequence = 0

    def send(self, _host: str, message: Any) -> bool:
        """Count a message to a member."""
        self.send_to("", message)
        return True

    def send_to(self, _address: str, message: Any) -> None:
        """Count a message."""
        kind = type(message).__name__
        self.messages[kind] += 1
        self.sizes[kind] += len(self._codec.encode(message))
        self.sequence = getattr(message, "sequence", self.sequence)

    def broadcast(self, message: Any) -> None:
        """Count one message."""
        self.send_to("", message)

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call a handler with every delivery of a kind."""
        self._handlers.setdefault(kind, []).append(handler)

    def dispatch(self, delivery: Delivery) -> None:
        """Hand a delivery to the handlers."""
        for handler in self._handlers.get(type(delivery.message), []):
            handler(delivery)


class Binding:
    """What a waiting request is bound through, without an event loop."""

    def __init__(self, bind: Callable[[Permit], None]) -> None:
        self._bind = bind
        self._done = False

    def done(self) -> bool:
        """Return whether the request is bound."""
        return self._done

    def set_result(self, permit: Permit) -> None:
        """Bind the request."""
        self._done = True
        self._bind(permit)


class QueuedRequest(WaitingRequest):
    """A request in the edge's queue."""

    def __init__(
        self, key: QueueKey, since: float, bind: Callable[[Permit], None]
    ) -> None:
        self._key = key
        self._since = since
        self._cost = 300.0
        self._binding: Any = Binding(bind)

    @property
    def permit(self) -> Any:
        """What binds it."""
        return self._binding


class EdgeFigures(NamedTuple):
    """
    What one edge cost, a second.

    :ivar messages: sent, by kind.
    :ivar sizes: bytes sent, by kind.
    :ivar core: processor seconds, encoding included.
    :ivar waiting: rows of demand at the end.
    :ivar held: permits held at the end.
    """

    messages: dict[str, float]
    sizes: dict[str, float]
    core: float
    waiting: int
    held: int


class Edge:
    """
    One router's edge under the target's load.

    :param backlogged_part: part of the requests that wait.
    :param seed: of arrivals.
    """

    def __init__(self, backlogged_part: float, seed: int = 1) -> None:
        self._events = EventQueue()
        self._random = random.Random(seed)
        self._part = backlogged_part
        self.board = build_board()
        self.link = CountingLink(self.board)
        self._permits = PermitController(self.board, self.link, self._events.clock)
        self.core = 0.0
        self._report_at = float("inf")
        self._domains = self.board.members.map_failure_domains()
        self.board.members.changed.notify()
        self.board.queues.changed.subscribe(self._plan_soon)
        self._arrive()
        self._plan(self._events.now)

    def run(self) -> EdgeFigures:
        """Run until it is as busy as on the target, then count."""
        self._events.run_until(self._events.now + WARM_UP)
        self.link.messages.clear()
        self.link.sizes.clear()
        self.core = 0.0
        self._events.run_until(self._events.now + COUNTED)
        return EdgeFigures(
            {name: count / COUNTED for name, count in self.link.messages.items()},
            {name: size / COUNTED for name, size in self.link.sizes.items()},
            self.core / COUNTED,
            len(self.board.queues.list()),
            len(self.board.permits.list()),
        )

    def _arrive(self) -> None:
        self._events.call_after(
            self._random.expovariate(TARGET.node_requests), self._arrive
        )
        waits = self._random.random() < self._part
        number = self._random.randrange(
            TARGET.backlogged if waits else TARGET.workspaces
        )
        service = f"model-{self._random.randrange(TARGET.services)}"
        key = QueueKey(service, f"workspace-{number}", "interactive")
        request = QueuedRequest(key, self._events.now, self._hold)
        self._time(partial(self.board.queues.push, request))
        delay = WAIT if waits else EXCHANGE
        self._events.call_after(delay, partial(self._grant, key))

    def _grant(self, key: QueueKey) -> None:
        configuration = self.board.configuration.current
        assert configuration is not None
        server = self._random.choice(configuration.list_servers(key.service))
        grant = PermitGrant(
            permit=self._random.randrange(1 << 40),
            service=key.service,
            server=server.name,
            workspace=key.workspace,
            priority=key.priority,
            sequence=self.link.sequence,
            elapsed=60.0,
            lease=2.0,
            runs=1,
            free=0,
        )
        sender = self._find_scheduler(server)
        self._time(partial(self.link.dispatch, Delivery(sender, "", grant)))

    def _find_scheduler(self, server: BackendServer) -> RouterId:
        host = choose_scheduler(server, self._domains)
        member = self.board.members.find(host or "")
        assert member is not None
        return RouterId(member.host, member.incarnation)

    def _hold(self, permit: Permit) -> None:
        permit.used_runs += 1
        self._events.call_after(TARGET.request_time, partial(self._release, permit))

    def _release(self, permit: Permit) -> None:
        self._time(partial(self._permits.release, permit))
        scheduler = permit.key.scheduler
        ack = PermitAck(scheduler.host, scheduler.incarnation, [permit.key.number])
        delivery = Delivery(scheduler, "", ack)
        self._events.call_after(
            ACKNOWLEDGEMENT, partial(self._time, partial(self.link.dispatch, delivery))
        )

    def _plan_soon(self) -> None:
        self._plan(self._events.now + COALESCE_SECONDS)

    def _plan(self, when: float) -> None:
        if when < self._report_at:
            self._report_at = when
            self._events.call_at(when, partial(self._report, when))

    def _report(self, when: float) -> None:
        if when != self._report_at:
            return
        self._report_at = float("inf")
        started = time.process_time()
        due = self._permits.send_reports()
        self.core += time.process_time() - started
        now = self._events.now
        self._plan(min(max(due, now + COALESCE_SECONDS), now + 0.5))

    def _time(self, action: Callable[[], object]) -> None:
        started = time.process_time()
        action()
        self.core += time.process_time() - started


def main() -> None:
    """Print the figures without and with backlogged workspaces."""
    for part in (0.0, BACKLOGGED_PART):
        figures = Edge(part).run()
        print(f"part of requests that wait {WAIT} s: {part}")
        print(f"  rows {figures.waiting}, permits held {figures.held}")
        print(f"  processor {100 * figures.core:.2f} % of a core")
        for name, count in figures.messages.items():
            size = figures.sizes[name]
            print(f"  {name:16} {count:8.1f} messages/s {size:10.0f} bytes/s")
        print(f"  total {sum(figures.sizes.values()):.0f} bytes/s")


if __name__ == "__main__":
    main()
