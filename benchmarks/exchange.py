"""
Cost of exchanging service totals among schedulers at the target size.

``python -m benchmarks.exchange`` runs the real counter controller of one
scheduler on a virtual clock. It charges as much service as such a scheduler
gives, half of it to backlogged workspaces, and acknowledges every update.
"""

from __future__ import annotations

import random
import time
from typing import NamedTuple

from benchmarks.edge import CountingLink, build_board
from benchmarks.event_queue import EventQueue
from benchmarks.target_size import BACKLOGGED_RATIO, TARGET
from sycamorehaven.controllers.counters import SHARING_POLICY, CounterController
from sycamorehaven.decisions.service_schedulers import map_schedulers
from sycamorehaven.transport.codec import Delivery
from sycamorehaven.transport.messages.counters import CounterAck, CounterUpdate

RUN_SECONDS = 10.0
TOKENS_PER_REQUEST = TARGET.tokens_per_second / TARGET.requests_per_second
"""Mean number of tokens that a request generates."""


class ExchangeFigures(NamedTuple):
    """
    Cost of the exchange for one scheduler.

    :ivar peers: number of routers that receive updates.
    :ivar updates_per_second: updates sent per second; each causes one
        acknowledgement in addition.
    :ivar bytes_per_second: bytes of the updates sent per second.
    :ivar core_ratio: processor seconds per second that the rounds take,
        including encoding.
    """

    peers: int
    updates_per_second: float
    bytes_per_second: float
    core_ratio: float


class AcknowledgingLink(CountingLink):
    """A counting link that acknowledges each counter update at once."""

    def send(self, host: str, message: object) -> bool:
        """Count a message and acknowledge it if it is a counter update."""
        super().send(host, message)
        member = self._board.members.find(host)
        if member is not None and isinstance(message, CounterUpdate):
            sender = self._board.identity._replace(
                host=host, incarnation=member.incarnation
            )
            ack = CounterAck(message.sequence)
            self.dispatch(Delivery(sender, member.address, ack))
        return True


def measure() -> ExchangeFigures:
    """Charge service and send updates for ``RUN_SECONDS`` of virtual time."""
    board = build_board()
    link = AcknowledgingLink(board)
    events = EventQueue()
    controller = CounterController(board, link, events.clock)
    board.members.changed.notify()
    configuration = board.configuration.current
    assert configuration is not None
    schedulers = map_schedulers(configuration, board.members.map_failure_domains())
    own = board.identity.host
    services = [name for name, hosts in schedulers.items() if own in hosts]
    rng = random.Random(1)
    processor_seconds = 0.0
    for _ in range(round(RUN_SECONDS / SHARING_POLICY.period)):
        for _ in range(_draw_request_count(rng)):
            is_backlogged = rng.random() < BACKLOGGED_RATIO
            workspace_count = (
                TARGET.backlogged_workspaces if is_backlogged else TARGET.workspaces
            )
            workspace = f"workspace-{rng.randrange(workspace_count)}"
            board.counters.charge(rng.choice(services), workspace, TOKENS_PER_REQUEST)
        events.run_until(events.now + SHARING_POLICY.period)
        started = time.process_time()
        controller.run_round()
        processor_seconds += time.process_time() - started
    return ExchangeFigures(
        len(controller.update_trackers),
        link.messages_by_kind["CounterUpdate"] / RUN_SECONDS,
        link.bytes_by_kind["CounterUpdate"] / RUN_SECONDS,
        processor_seconds / RUN_SECONDS,
    )


def _draw_request_count(rng: random.Random) -> int:
    expected = TARGET.node_requests_per_second * SHARING_POLICY.period
    return int(expected) + (rng.random() < expected % 1)


def main() -> None:
    """Print the figures."""
    figures = measure()
    print(f"{figures.peers} peers, {figures.updates_per_second:.1f} updates/s")
    print(
        f"{figures.bytes_per_second:.0f} bytes/s, "
        f"{100 * figures.core_ratio:.2f} % of a core"
    )


if __name__ == "__main__":
    main()
