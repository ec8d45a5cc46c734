"""The peer transport over real ZeroMQ sockets, within one process."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import zmq

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.blackboard.members import Member
from sycamorehaven.identity import RouterId
from sycamorehaven.transport.codec import Codec
from sycamorehaven.transport.dealer_pool import (
    MEMBER_IDLE_SECONDS,
    NON_MEMBER_IDLE_SECONDS,
    SEND_QUEUE_MESSAGES,
    DealerPool,
)
from sycamorehaven.transport.messages.membership import Probe
from sycamorehaven.transport.messages.permits import Preemption
from sycamorehaven.transport.zmq_peer_link import ZmqPeerLink
from tests.support.fleet import find_address
from tests.support.members import create_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.codec import Delivery
    from tests.support.doubles import ManualClock

MESSAGE = Preemption("a1", 1, 2)
WAIT_TIMEOUT_SECONDS = 20.0
"""Seconds after which a wait is given up."""
SETTLE_SECONDS = 0.5
"""Seconds in which a message that may pass has passed."""


class Peer:
    """One transport and what it has received."""

    def __init__(self, host: str, keys: tuple[bytes, bytes] | None = None) -> None:
        self.settings = self._create_settings(host, keys)
        address = self.settings.peers_address
        self.board = Blackboard(RouterId(host, 5), address, "a")
        self.peers = ZmqPeerLink(self.board, self.settings)
        self.received: list[Delivery] = []
        self.peers.subscribe(Preemption, self.received.append)

    @staticmethod
    def _create_settings(host: str, keys: tuple[bytes, bytes] | None) -> RouterSettings:
        settings = create_settings(host, "a", ())._replace(peers_address=find_address())
        if keys is None:
            return settings
        public, secret = (key.decode() for key in keys)
        return settings._replace(public_key=public, secret_key=secret)

    async def wait_for(self, count: int) -> None:
        await wait_until(lambda: len(self.received) >= count)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_peers(*peers: Peer) -> AsyncIterator[None]:
    for peer in peers:
        await peer.peers.start()
    try:
        yield
    finally:
        for peer in peers:
            await peer.peers.stop()


async def send(sender: Peer, receiver: Peer, count: int = 1) -> None:
    for _ in range(count):
        sender.peers.send_to(receiver.settings.peers_address, MESSAGE)


async def test_messages_arrive_and_are_counted() -> None:
    one, two = Peer("a1"), Peer("a2")
    async with run_peers(one, two):
        await send(one, two, 3)
        await two.wait_for(3)
    assert two.received[0].sender == one.board.identity
    assert one.board.traffic.sent["Preemption"] == 3
    size = len(Codec(one.board.identity, one.settings.peers_address).encode(MESSAGE))
    assert one.board.traffic.sent_bytes["Preemption"] == 3 * size
    assert two.board.traffic.received_bytes["Preemption"] == 3 * size


async def test_only_messages_from_holders_of_the_key_pair_are_delivered() -> None:
    fleet, other = zmq.curve_keypair(), zmq.curve_keypair()
    receiver, friend = Peer("a1", fleet), Peer("a2", fleet)
    plain, foreign = Peer("a3"), Peer("a4", other)
    async with run_peers(receiver, friend, plain, foreign):
        stranger: zmq.Socket[bytes] = zmq.Context.instance().socket(zmq.DEALER)
        stranger.curve_serverkey = fleet[0]
        stranger.curve_publickey, stranger.curve_secretkey = other
        stranger.connect(f"tcp://{receiver.settings.peers_address}")
        codec = Codec(RouterId("a5", 1), "127.0.0.1:1")
        stranger.send(codec.encode(MESSAGE), zmq.DONTWAIT)
        await send(plain, receiver)
        await send(foreign, receiver)
        await send(friend, receiver)
        await receiver.wait_for(1)
        await asyncio.sleep(SETTLE_SECONDS)
        stranger.close(linger=0)
    assert [delivery.sender.host for delivery in receiver.received] == ["a2"]


async def test_bad_bytes_and_failing_handlers_do_not_stop_the_receiver() -> None:
    one, two = Peer("a1"), Peer("a2")

    def fail(_delivery: Any) -> None:
        raise ValueError("broken")

    two.peers.subscribe(Probe, fail)
    async with run_peers(one, two):
        socket: zmq.Socket[bytes] = zmq.Context.instance().socket(zmq.DEALER)
        socket.connect(f"tcp://{two.settings.peers_address}")
        socket.send_multipart([b"\xc1", b"\xff" * 100])
        one.peers.send_to(two.settings.peers_address, Probe(1, "", 0, "", []))
        await send(one, two)
        await two.wait_for(1)
        await wait_until(lambda: two.board.traffic.dropped["malformed"] > 0)
        socket.close(linger=0)
    assert two.board.traffic.dropped["handler_failed"] == 1


async def test_sending_never_raises_and_queues_are_bounded() -> None:
    one = Peer("a1")
    async with run_peers(one):
        nobody = find_address()
        for _ in range(SEND_QUEUE_MESSAGES + 100):
            one.peers.send_to(nobody, MESSAGE)
        one.peers.send_to(nobody, object())
        one.peers.send_to("not an address", MESSAGE)
        one.peers.send_to(nobody, Probe(2**70, "", 0, "", []))
    dropped = one.board.traffic.dropped
    assert dropped["queue_full"] == 100
    assert dropped["unencodable"] == 2
    assert dropped["unreachable"] == 1


async def test_sockets_to_removed_members_are_closed() -> None:
    one, two = Peer("a1"), Peer("a2")
    address = two.settings.peers_address
    async with run_peers(one, two):
        one.board.members.replace({"a2": Member("a2", 5, address, "a", "alive")})
        await send(one, two)
        await two.wait_for(1)
        assert list(one.peers.dealers.addresses) == [address]
        one.board.members.replace({})
        assert not one.peers.dealers.addresses


def test_unused_sockets_are_closed(clock: ManualClock) -> None:
    pool = DealerPool(zmq.Context.instance(), create_settings("a1", "a", ()), clock)
    member, stranger = find_address(), find_address()
    for address in (member, stranger):
        pool.send(address, b"x")
    clock.advance(NON_MEMBER_IDLE_SECONDS + 1.0)
    pool.close_idle({member})
    assert list(pool.addresses) == [member]
    clock.advance(MEMBER_IDLE_SECONDS)
    pool.close_idle({member})
    assert not pool.addresses


class SilentRelay:
    """
    A TCP relay whose first connection goes silent and stays open.

    :param target: ``ip:port`` to relay to.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: list[asyncio.StreamWriter] = []
        self.connections = 0
        self.silent = False

    async def start(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()
        self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        first = self.connections == 1
        host, _, port = self._target.rpartition(":")
        back, forth = await asyncio.open_connection(host, int(port))
        self._writers += [writer, forth]
        for source, sink in ((reader, forth), (back, writer)):
            self._tasks.append(asyncio.create_task(self._pump(source, sink, first)))

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, first: bool
    ) -> None:
        while data := await source.read(65_536):
            if not (first and self.silent):
                sink.write(data)


async def test_connection_that_goes_silent_is_replaced() -> None:
    one, two = Peer("a1"), Peer("a2")
    relay, entrance = SilentRelay(two.settings.peers_address), find_address()
    async with run_peers(one, two):
        await relay.start(entrance)
        one.peers.send_to(entrance, MESSAGE)
        await two.wait_for(1)
        relay.silent = True
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while len(two.received) < 2:
                one.peers.send_to(entrance, MESSAGE)
                await asyncio.sleep(0.1)
        await relay.stop()
    assert relay.connections >= 2
