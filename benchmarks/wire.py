"""
Processor time of a message between two routers, at both ends.

``python -m benchmarks.wire`` sends demand reports over a local connection
between two peer links of one process, first one at a time, then in batches as
under load. The processor time includes that of the sockets.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.messages import build_message
from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import DemandReport
from sycamorehaven.transport.zmq_peer_link import ZmqPeerLink
from tests.support.fleet import allocate_address
from tests.support.membership_simulation import create_settings

if TYPE_CHECKING:
    from sycamorehaven.transport.codec import Delivery

SINGLE_MESSAGES = 300
PAUSE_SECONDS = 0.005
"""Pause between two messages that are sent one at a time."""
BATCH_COUNT = 100
MESSAGES_PER_BATCH = 50


class WireCost(NamedTuple):
    """
    Cost of a message, including encoding and decoding.

    :ivar single_seconds: processor time at both ends for a message that is
        sent on its own.
    :ivar batched_seconds: processor time at both ends for a message that is
        sent in a batch.
    :ivar idle_core_ratio: processor seconds per second that two idle peer
        links and the event loop take.
    """

    single_seconds: float
    batched_seconds: float
    idle_core_ratio: float


def create_link(host: str) -> ZmqPeerLink:
    """Return the peer link of a router on a free address."""
    address = allocate_address()
    board = Blackboard(RouterId(host, 1), address, "a")
    settings = create_settings(host, "a", ())._replace(peers_address=address)
    return ZmqPeerLink(board, settings)


async def measure() -> WireCost:
    """Send messages from one peer link to another; return their cost."""
    sender, receiver = create_link("router-1"), create_link("router-2")
    await sender.start()
    await receiver.start()
    received = asyncio.Semaphore(0)

    def count_delivery(_delivery: Delivery) -> None:
        received.release()

    receiver.subscribe(DemandReport, count_delivery)
    message = build_message(DemandReport)
    address = receiver._settings.peers_address

    async def send(count: int) -> None:
        for _ in range(count):
            sender.send_to(address, message)
        for _ in range(count):
            await received.acquire()

    await send(1)
    started, began = time.process_time(), time.monotonic()
    await asyncio.sleep(1.0)
    idle = (time.process_time() - started) / (time.monotonic() - began)
    started = time.process_time()
    for _ in range(SINGLE_MESSAGES):
        await send(1)
        await asyncio.sleep(PAUSE_SECONDS)
    alone = (time.process_time() - started) / SINGLE_MESSAGES
    started = time.process_time()
    for _ in range(BATCH_COUNT):
        await send(MESSAGES_PER_BATCH)
    batched = (time.process_time() - started) / BATCH_COUNT / MESSAGES_PER_BATCH
    await sender.stop()
    await receiver.stop()
    return WireCost(alone, batched, idle)


def main() -> None:
    """Print every figure."""
    cost = asyncio.run(measure())
    print(f"alone: {cost.single_seconds * 1e6:.0f} us at both ends")
    print(
        f"in batches of {MESSAGES_PER_BATCH}: {cost.batched_seconds * 1e6:.0f}"
        f" us at both ends"
    )
    print(f"idle: {100 * cost.idle_core_ratio:.2f} % of a core")


if __name__ == "__main__":
    main()
