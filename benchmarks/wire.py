"""
Processor time of a message between two routers, both ends and the wire.

``python -m benchmarks.wire`` sends demand reports between two transports of
one process, first alone, then in batches as under load.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

from benchmarks.messages import fill_in
from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.messages.permits import DemandReport
from sycamorehaven.transport.zmq_peer_link import ZmqPeerLink
from tests.support.fleet import allocate_address
from tests.support.membership_simulation import create_settings

if TYPE_CHECKING:
    from sycamorehaven.transport.codec import Delivery

ALONE = 300
PAUSE = 0.005
"""Seconds between two messages that are sent alone."""
BATCHES = 100
BATCH = 50


class WireCost(NamedTuple):
    """
    What a message costs, encoding and decoding included.

    :ivar alone: processor seconds at both ends, one message at a time.
    :ivar batched: the same in batches.
    :ivar idle: part of a core that two idle transports and the loop spend.
    """

    alone: float
    batched: float
    idle: float


def create_peers(host: str) -> ZmqPeerLink:
    """Return the transport of a router on a free address."""
    address = allocate_address()
    board = Blackboard(RouterId(host, 1), address, "a")
    settings = create_settings(host, "a", ())._replace(peers_address=address)
    return ZmqPeerLink(board, settings)


async def measure() -> WireCost:
    """Send messages from one transport to another."""
    sender, receiver = create_peers("router-1"), create_peers("router-2")
    await sender.start()
    await receiver.start()
    received = asyncio.Semaphore(0)

    def take(_delivery: Delivery) -> None:
        received.release()

    receiver.subscribe(DemandReport, take)
    message = fill_in(DemandReport)
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
    for _ in range(ALONE):
        await send(1)
        await asyncio.sleep(PAUSE)
    alone = (time.process_time() - started) / ALONE
    started = time.process_time()
    for _ in range(BATCHES):
        await send(BATCH)
    batched = (time.process_time() - started) / BATCHES / BATCH
    await sender.stop()
    await receiver.stop()
    return WireCost(alone, batched, idle)


def main() -> None:
    """Print every figure."""
    cost = asyncio.run(measure())
    print(f"alone: {cost.alone * 1e6:.0f} us at both ends")
    print(f"in batches of {BATCH}: {cost.batched * 1e6:.0f} us at both ends")
    print(f"idle: {100 * cost.idle:.2f} % of a core")


if __name__ == "__main__":
    main()
