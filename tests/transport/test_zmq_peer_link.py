"""Tests of messages between routers over real sockets within one process."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any
from unittest import mock

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
from tests.support.fleet import allocate_address
from tests.support.membership_simulation import create_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.codec import Delivery
    from tests.support.doubles import ManualClock

MESSAGE = Preemption("a1", 1, 2)
WAIT_TIMEOUT_SECONDS = 20.0
"""Time limit of a wait, after which the test fails."""
SETTLE_SECONDS = 0.5
"""Time within which a message that is not rejected has arrived."""


class Peer:
    """A router's peer link and the messages that it has received."""

    def __init__(self, host: str, keys: tuple[bytes, bytes] | None = None) -> None:
        self.settings = self._create_settings(host, keys)
        address = self.settings.peers_address
        self.board = Blackboard(RouterId(host, 5), address, "a")
        self.link = ZmqPeerLink(self.board, self.settings)
        self.received: list[Delivery] = []
        self.link.subscribe(Preemption, self.received.append)

    @staticmethod
    def _create_settings(host: str, keys: tuple[bytes, bytes] | None) -> RouterSettings:
        settings = create_settings(host, "a", ())._replace(
            peers_address=allocate_address()
        )
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
        await peer.link.start()
    try:
        yield
    finally:
        for peer in peers:
            await peer.link.stop()


encode = Codec.encode


async def send(sender: Peer, receiver: Peer, count: int = 1) -> None:
    for _ in range(count):
        sender.link.send_to(receiver.settings.peers_address, MESSAGE)


async def test_messages_arrive_and_are_counted() -> None:
    sender, receiver = Peer("a1"), Peer("a2")
    async with run_peers(sender, receiver):
        await send(sender, receiver, 3)
        await receiver.wait_for(3)
    assert receiver.received[0].sender == sender.board.identity
    assert sender.board.control_traffic.sent_messages["Preemption"] == 3
    size = len(
        Codec(sender.board.identity, sender.settings.peers_address).encode(MESSAGE)
    )
    assert sender.board.control_traffic.sent_bytes["Preemption"] == 3 * size
    assert receiver.board.control_traffic.received_bytes["Preemption"] == 3 * size


async def test_message_to_several_peers_arrives_at_each_and_is_encoded_once() -> None:
    sender, receivers = Peer("a1"), [Peer("a2"), Peer("a3"), Peer("a4")]
    addresses = [receiver.settings.peers_address for receiver in receivers]
    async with run_peers(sender, *receivers):
        with mock.patch.object(Codec, "encode", autospec=True, side_effect=encode) as c:
            sender.link.send_to_all(addresses, MESSAGE)
        for receiver in receivers:
            await receiver.wait_for(1)
    assert c.call_count == 1
    assert sender.board.control_traffic.sent_messages["Preemption"] == 3


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
    sender, receiver = Peer("a1"), Peer("a2")

    def fail(_delivery: Any) -> None:
        raise ValueError("broken")

    receiver.link.subscribe(Probe, fail)
    async with run_peers(sender, receiver):
        socket: zmq.Socket[bytes] = zmq.Context.instance().socket(zmq.DEALER)
        socket.connect(f"tcp://{receiver.settings.peers_address}")
        socket.send_multipart([b"\xc1", b"\xff" * 100])
        sender.link.send_to(receiver.settings.peers_address, Probe(1, "", 0, "", []))
        await send(sender, receiver)
        await receiver.wait_for(1)
        await wait_until(
            lambda: receiver.board.control_traffic.dropped_messages["malformed"] > 0
        )
        socket.close(linger=0)
    assert receiver.board.control_traffic.dropped_messages["handler_failed"] == 1


async def test_sending_never_raises_and_queues_are_bounded() -> None:
    sender = Peer("a1")
    async with run_peers(sender):
        unused_address = allocate_address()
        for _ in range(SEND_QUEUE_MESSAGES + 100):
            sender.link.send_to(unused_address, MESSAGE)
        sender.link.send_to(unused_address, object())
        sender.link.send_to("not an address", MESSAGE)
        sender.link.send_to(unused_address, Probe(2**70, "", 0, "", []))
    dropped = sender.board.control_traffic.dropped_messages
    assert dropped["queue_full"] == 100
    assert dropped["unencodable"] == 2
    assert dropped["unreachable"] == 1


async def test_sockets_to_removed_members_are_closed() -> None:
    sender, receiver = Peer("a1"), Peer("a2")
    address = receiver.settings.peers_address
    async with run_peers(sender, receiver):
        sender.board.members.replace({"a2": Member("a2", 5, address, "a", "alive")})
        await send(sender, receiver)
        await receiver.wait_for(1)
        assert list(sender.link.dealers.addresses) == [address]
        sender.board.members.replace({})
        assert not sender.link.dealers.addresses


def test_unused_sockets_are_closed(clock: ManualClock) -> None:
    pool = DealerPool(zmq.Context.instance(), create_settings("a1", "a", ()), clock)
    member, non_member = allocate_address(), allocate_address()
    for address in (member, non_member):
        pool.send(address, b"x")
    clock.advance(NON_MEMBER_IDLE_SECONDS + 1.0)
    pool.close_idle({member})
    assert list(pool.addresses) == [member]
    clock.advance(MEMBER_IDLE_SECONDS)
    pool.close_idle({member})
    assert not pool.addresses


class SilentRelay:
    """
    A TCP relay whose first connection can go silent while it stays open.

    :param target: ``ip:port`` to which the relay forwards.
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
        is_first = self.connections == 1
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers += [writer, target_writer]
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            self._tasks.append(asyncio.create_task(self._pump(source, sink, is_first)))

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_first: bool
    ) -> None:
        while data := await source.read(65_536):
            if not (is_first and self.silent):
                sink.write(data)


async def test_connection_that_goes_silent_is_replaced() -> None:
    sender, receiver = Peer("a1"), Peer("a2")
    relay, relay_address = (
        SilentRelay(receiver.settings.peers_address),
        allocate_address(),
    )
    async with run_peers(sender, receiver):
        await relay.start(relay_address)
        sender.link.send_to(relay_address, MESSAGE)
        await receiver.wait_for(1)
        relay.silent = True
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while len(receiver.received) < 2:
                sender.link.send_to(relay_address, MESSAGE)
                await asyncio.sleep(0.1)
        await relay.stop()
    assert relay.connections >= 2
