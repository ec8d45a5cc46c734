"""
Messages between routers over ZeroMQ.

One ROUTER socket receives all messages; each peer is sent to over a DEALER
socket of its own.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import zmq
import zmq.asyncio
from absl import logging
from mode import Service
from zmq.auth.asyncio import AsyncioAuthenticator

from sycamorehaven.transport.codec import Codec, Delivery, MessageError
from sycamorehaven.transport.dealer_pool import DealerPool, configure_heartbeat
from sycamorehaven.transport.peer_link import PassThroughFilter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.peer_link import MessageHandler, PeerFilter

RECEIVE_QUEUE_MESSAGES = 1_000
"""Received messages that are queued per peer."""
INCOMING_HEARTBEAT_MILLISECONDS = 5_000
"""Time between two heartbeats on an incoming connection. No messages are sent
on it, so the heartbeats only decide how soon a dead one frees its memory."""
RECEIVE_BATCH_MESSAGES = 64
"""Messages handled in a row before other tasks of the event loop run."""
IDLE_SOCKET_SWEEP_SECONDS = 5.0
"""Time between two searches for unused sockets."""
LOG_PERIOD_SECONDS = 10
"""Shortest time between two log lines about dropped messages."""
ZAP_DOMAIN = "fleet"
"""Name of the ZeroMQ authentication domain (ZAP) of the receiving socket."""


class FleetKeyVerifier:
    """
    Accepts only connections of holders of the fleet's key pair.

    :param public_key: the fleet's public key, Z85.
    """

    def __init__(self, public_key: str) -> None:
        self._key = public_key.encode()

    def callback(self, _domain: str, key: bytes) -> bool:
        """Return whether a peer's verified public key is the fleet's."""
        return key == self._key


class ZmqPeerLink(Service):
    """
    The ``PeerLink`` over ZeroMQ.

    A message to the router itself is delivered on the event loop without the
    network. A message to a peer whose queue is full is dropped and counted.

    :param board: the shared state of this router.
    :param settings: the settings of this process.
    :param peer_filter: injects faults in tests; ``None`` injects none.
    """

    def __init__(
        self,
        board: Blackboard,
        settings: RouterSettings,
        peer_filter: PeerFilter | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._settings = settings
        self._address = settings.peers_address
        self._codec = Codec(board.identity, self._address)
        self._filter = peer_filter or PassThroughFilter()
        self._context = zmq.asyncio.Context()
        self._dealers = DealerPool(self._context, settings)
        self._handlers: dict[type, list[MessageHandler]] = {}
        self._member_addresses: set[str] = set()
        self._authenticator: AsyncioAuthenticator | None = None
        board.members.changed.subscribe(self._disconnect_removed_members)

    @property
    def dealers(self) -> DealerPool:
        """The sockets of outgoing connections."""
        return self._dealers

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler`` with every received message of one kind."""
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, host: str, message: Any) -> bool:
        """
        Send a message to a member, or to this router itself.

        :return: whether the member's address is known.
        """
        if host == self._board.identity.host:
            delivery = Delivery(self._board.identity, self._address, message)
            asyncio.get_running_loop().call_soon(self._dispatch, delivery)
            return True
        member = self._board.members.find(host)
        if member is None:
            return False
        self.send_to(member.address, message)
        return True

    def send_to(self, address: str, message: Any) -> None:
        """Send to any peer address without raising or blocking."""
        data = self._encode(message)
        if data is not None:
            self._send_bytes(address, type(message).__name__, data)

    def send_to_all(self, addresses: Iterable[str], message: Any) -> None:
        """Send to some peer addresses without raising or blocking."""
        data = self._encode(message)
        if data is None:
            return
        kind = type(message).__name__
        for address in addresses:
            self._send_bytes(address, kind, data)

    def broadcast(self, message: Any) -> None:
        """Send to every other member without raising or blocking."""
        own_host = self._board.identity.host
        members = self._board.members.list()
        addresses = [member.address for member in members if member.host != own_host]
        self.send_to_all(addresses, message)

    async def on_start(self) -> None:
        """Start receiving on the peer address."""
        self._router_socket: zmq.asyncio.Socket = self._context.socket(zmq.ROUTER)
        self._router_socket.linger = 0
        self._router_socket.rcvhwm = RECEIVE_QUEUE_MESSAGES
        configure_heartbeat(self._router_socket, INCOMING_HEARTBEAT_MILLISECONDS)
        if self._settings.secret_key:
            self._enable_encryption()
        self._router_socket.bind(f"tcp://{self._address}")

    async def on_stop(self) -> None:
        """Close every socket after a short time to send queued messages."""
        self._dealers.close()
        if self.started:
            self._router_socket.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()

    def _enable_encryption(self) -> None:
        public_key = self._settings.public_key
        self._authenticator = AsyncioAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=ZAP_DOMAIN, credentials_provider=FleetKeyVerifier(public_key)
        )
        self._router_socket.zap_domain = ZAP_DOMAIN.encode()
        self._router_socket.curve_server = True
        self._router_socket.curve_publickey = public_key.encode()
        self._router_socket.curve_secretkey = self._settings.secret_key.encode()

    def _encode(self, message: Any) -> bytes | None:
        try:
            return self._codec.encode(message)
        except MessageError as error:
            self._count_dropped("unencodable", error)
            return None

    def _send_bytes(self, address: str, kind: str, data: bytes) -> None:
        try:
            if self._filter.should_deliver(self._address, address):
                self._dealers.send(address, data)
        except zmq.Again:
            self._board.control_traffic.count_dropped("queue_full")
        except zmq.ZMQError as error:
            self._count_dropped("unreachable", error)
        else:
            self._board.control_traffic.count_sent(kind, len(data))

    def _disconnect_removed_members(self) -> None:
        addresses = {member.address for member in self._board.members.list()}
        for address in self._member_addresses - addresses:
            self._dealers.disconnect(address)
        self._member_addresses = addresses

    @Service.task
    async def _close_idle_sockets(self) -> None:
        while not self.should_stop:
            await self.sleep(IDLE_SOCKET_SWEEP_SECONDS)
            self._dealers.close_idle(self._member_addresses)

    @Service.task
    async def _receive(self) -> None:
        handled = 0
        while not self.should_stop:
            self._handle_bytes(await self._router_socket.recv_multipart())
            handled += 1
            if handled % RECEIVE_BATCH_MESSAGES == 0:
                await asyncio.sleep(0)

    def _handle_bytes(self, parts: list[bytes]) -> None:
        data = parts[-1]
        try:
            delivery = self._codec.decode(data)
        except MessageError as error:
            self._count_dropped("malformed", error)
            return
        if not self._filter.should_deliver(delivery.address, self._address):
            return
        kind = type(delivery.message).__name__
        self._board.control_traffic.count_received(kind, len(data))
        delay = self._filter.choose_delay()
        if delay:
            asyncio.get_running_loop().call_later(delay, self._dispatch, delivery)
        else:
            self._dispatch(delivery)

    def _dispatch(self, delivery: Delivery) -> None:
        for handler in self._handlers.get(type(delivery.message), []):
            try:
                handler(delivery)
            except Exception as error:
                kind = type(delivery.message).__name__
                logging.exception("a handler of %s messages failed", kind)
                self._count_dropped("handler_failed", error)

    def _count_dropped(self, cause: str, error: Exception) -> None:
        self._board.control_traffic.count_dropped(cause)
        logging.log_every_n_seconds(
            logging.WARNING,
            "peer message dropped: %s: %s",
            LOG_PERIOD_SECONDS,
            cause,
            error,
        )
