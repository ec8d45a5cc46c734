"""
Control traffic and processor time of one edge at the target size.

An edge is the part of a router that accepts requests and asks schedulers for
permits. ``python -m benchmarks.edge`` runs the real permit controller of one
router on a virtual clock, with a configuration and a membership of the target
size, and counts the messages that it sends. The benchmark answers in place of
the schedulers with simulated grants and acknowledgements.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

from benchmarks.event_queue import EventQueue
from benchmarks.target_size import BACKLOGGED_RATIO, BACKLOGGED_WAIT_SECONDS, TARGET
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
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.peer_link import MessageHandler

GRANT_DELAY_SECONDS = 0.002
"""Time from a request to its grant while slots are free."""
ACKNOWLEDGEMENT_DELAY_SECONDS = 0.25
"""Time from the return of a permit to its acknowledgement."""
WARM_UP_SECONDS = 10.0
"""Virtual time until as many streams run as at the target size."""
MEASUREMENT_SECONDS = 10.0
"""Virtual time over which messages are counted."""


def build_board(own_number: int = 0) -> Blackboard:
    """
    Return the blackboard of one router in a fleet of the target size.

    :param own_number: number of the router.
    """
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
    own = members[f"router-euw1-{own_number:08}"]
    identity = RouterId(own.host, own.incarnation)
    board = Blackboard(identity, own.address, own.failure_domain)
    board.configuration.replace(accept_text(build_large_configuration().encode(), 1))
    board.members.replace(members)
    return board


class CountingLink:
    """
    A ``PeerLink`` that counts the messages sent and delivers none of them.

    :param board: blackboard of the router whose controller sends.
    """

    def __init__(self, board: Blackboard) -> None:
        self._board = board
        self._codec = Codec(board.identity, board.members.own.address)
        self._handlers: dict[type, list[MessageHandler]] = {}
        self.messages_by_kind: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()
        self.last_sequence = 0

    def send(self, _host: str, message: Any) -> bool:
        """Count a message to a member of the fleet."""
        self.send_to("", message)
        return True

    def send_to(self, _address: str, message: Any) -> None:
        """Count a message to an address."""
        kind = type(message).__name__
        self.messages_by_kind[kind] += 1
        self.bytes_by_kind[kind] += len(self._codec.encode(message))
        self.last_sequence = getattr(message, "sequence", self.last_sequence)

    def send_to_all(self, addresses: Iterable[str], message: Any) -> None:
        """Send a message to some addresses."""
        for address in addresses:
            self.send_to(address, message)

    def broadcast(self, message: Any) -> None:
        """Count a broadcast as one message."""
        self.send_to("", message)

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Register a handler for one kind of message."""
        self._handlers.setdefault(kind, []).append(handler)

    def dispatch(self, delivery: Delivery) -> None:
        """Call the registered handlers with a received message."""
        for handler in self._handlers.get(type(delivery.message), []):
            handler(delivery)


class SynchronousPermitFuture:
    """
    Stands in for the future that resolves to a request's permit.

    It needs no event loop: it calls back as soon as its result is set.
    """

    def __init__(self, on_permit: Callable[[Permit], None]) -> None:
        self._on_permit = on_permit
        self._done = False

    def done(self) -> bool:
        """Return whether the permit has been set."""
        return self._done

    def set_result(self, permit: Permit) -> None:
        """Set the permit and call back with it."""
        self._done = True
        self._on_permit(permit)


class QueuedRequest(WaitingRequest):
    """A request in the edge's queue."""

    def __init__(
        self, key: QueueKey, arrived_at: float, on_permit: Callable[[Permit], None]
    ) -> None:
        self._key = key
        self._arrived_at = arrived_at
        self._cost = 300.0
        self._future: Any = SynchronousPermitFuture(on_permit)

    @property
    def permit(self) -> Any:
        """The stand-in for the future that resolves to the permit."""
        return self._future


class EdgeFigures(NamedTuple):
    """
    Cost of one edge.

    :ivar messages_per_second: messages sent per second, by kind.
    :ivar bytes_per_second: bytes sent per second, by kind.
    :ivar core_ratio: processor seconds per second, including encoding.
    :ivar waiting_rows: non-empty queues at the end of the run.
    :ivar held_permits: permits held at the end of the run.
    """

    messages_per_second: dict[str, float]
    bytes_per_second: dict[str, float]
    core_ratio: float
    waiting_rows: int
    held_permits: int


class EdgeSimulation:
    """
    The edge of one router under the load of the target size.

    :param backlogged_ratio: ratio of requests that come from backlogged
        workspaces and wait for a permit.
    :param seed: seed of the random arrivals.
    """

    def __init__(self, backlogged_ratio: float, seed: int = 1) -> None:
        self._events = EventQueue()
        self._random = random.Random(seed)
        self._backlogged_ratio = backlogged_ratio
        self.board = build_board()
        self.link = CountingLink(self.board)
        self._permits = PermitController(self.board, self.link, self._events.clock)
        self.processor_seconds = 0.0
        self._report_at = float("inf")
        self._domains = self.board.members.map_failure_domains()
        self.board.members.changed.notify()
        self.board.queues.changed.subscribe(self._schedule_report_soon)
        self._submit_request()
        self._schedule_report(self._events.now)

    def run(self) -> EdgeFigures:
        """Run until the edge is as busy as at the target size, then count."""
        self._events.run_until(self._events.now + WARM_UP_SECONDS)
        self.link.messages_by_kind.clear()
        self.link.bytes_by_kind.clear()
        self.processor_seconds = 0.0
        self._events.run_until(self._events.now + MEASUREMENT_SECONDS)
        return EdgeFigures(
            {
                name: count / MEASUREMENT_SECONDS
                for name, count in self.link.messages_by_kind.items()
            },
            {
                name: size / MEASUREMENT_SECONDS
                for name, size in self.link.bytes_by_kind.items()
            },
            self.processor_seconds / MEASUREMENT_SECONDS,
            len(self.board.queues.list()),
            len(self.board.permits.list()),
        )

    def _submit_request(self) -> None:
        self._events.call_after(
            self._random.expovariate(TARGET.node_requests_per_second),
            self._submit_request,
        )
        is_backlogged = self._random.random() < self._backlogged_ratio
        number = self._random.randrange(
            TARGET.backlogged_workspaces if is_backlogged else TARGET.workspaces
        )
        service = f"model-{self._random.randrange(TARGET.services)}"
        key = QueueKey(service, f"workspace-{number}", "interactive")
        request = QueuedRequest(key, self._events.now, self._start_request)
        self._run_timed(partial(self.board.queues.push, request))
        delay = BACKLOGGED_WAIT_SECONDS if is_backlogged else GRANT_DELAY_SECONDS
        self._events.call_after(delay, partial(self._deliver_grant, key))

    def _deliver_grant(self, key: QueueKey) -> None:
        configuration = self.board.configuration.current
        assert configuration is not None
        server = self._random.choice(configuration.list_servers(key.service))
        grant = PermitGrant(
            permit=self._random.randrange(1 << 40),
            service=key.service,
            server=server.name,
            workspace=key.workspace,
            priority=key.priority,
            sequence=self.link.last_sequence,
            elapsed=60.0,
            lease=2.0,
            runs=1,
            free=0,
        )
        sender = self._find_scheduler(server)
        self._run_timed(partial(self.link.dispatch, Delivery(sender, "", grant)))

    def _find_scheduler(self, server: BackendServer) -> RouterId:
        host = choose_scheduler(server, self._domains)
        member = self.board.members.find(host or "")
        assert member is not None
        return RouterId(member.host, member.incarnation)

    def _start_request(self, permit: Permit) -> None:
        permit.used_runs += 1
        self._events.call_after(
            TARGET.stream_seconds, partial(self._finish_request, permit)
        )

    def _finish_request(self, permit: Permit) -> None:
        self._run_timed(partial(self._permits.release, permit))
        scheduler = permit.key.scheduler
        ack = PermitAck(scheduler.host, scheduler.incarnation, [permit.key.number])
        delivery = Delivery(scheduler, "", ack)
        self._events.call_after(
            ACKNOWLEDGEMENT_DELAY_SECONDS,
            partial(self._run_timed, partial(self.link.dispatch, delivery)),
        )

    def _schedule_report_soon(self) -> None:
        self._schedule_report(self._events.now + COALESCE_SECONDS)

    def _schedule_report(self, when: float) -> None:
        if when < self._report_at:
            self._report_at = when
            self._events.call_at(when, partial(self._send_reports, when))

    def _send_reports(self, when: float) -> None:
        if when != self._report_at:
            return
        self._report_at = float("inf")
        started = time.process_time()
        next_due = self._permits.send_reports()
        self.processor_seconds += time.process_time() - started
        now = self._events.now
        self._schedule_report(min(max(next_due, now + COALESCE_SECONDS), now + 0.5))

    def _run_timed(self, action: Callable[[], object]) -> None:
        started = time.process_time()
        action()
        self.processor_seconds += time.process_time() - started


def main() -> None:
    """Print the cost without and with backlogged workspaces."""
    for backlogged_ratio in (0.0, BACKLOGGED_RATIO):
        figures = EdgeSimulation(backlogged_ratio).run()
        print(
            f"part of requests that wait {BACKLOGGED_WAIT_SECONDS} s:"
            f" {backlogged_ratio}"
        )
        print(f"  rows {figures.waiting_rows}, permits held {figures.held_permits}")
        print(f"  processor {100 * figures.core_ratio:.2f} % of a core")
        for name, count in figures.messages_per_second.items():
            size = figures.bytes_per_second[name]
            print(f"  {name:16} {count:8.1f} messages/s {size:10.0f} bytes/s")
        print(f"  total {sum(figures.bytes_per_second.values()):.0f} bytes/s")


if __name__ == "__main__":
    main()
