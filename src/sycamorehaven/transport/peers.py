"""Peer messages over ZeroMQ: one ROUTER that receives, a DEALER a peer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import zmq
import zmq.asyncio
from absl import logging
from mode import Service

from sycamorehaven.transport.codec import Codec, Delivery, MessageError
from sycamorehaven.transport.links import OpenFilter

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.links import Handler, PeerFilter

SEND_QUEUE = 1_000
"""Messages queued for one peer that does not take them."""
HEARTBEAT_MILLISECONDS = 2_000
BATCH = 64
"""Messages handled before other tasks of the event loop run."""


class ZmqPeers(Service):
    """
    Sends and receives peer messages.

    A message to the router itself is delivered on the event loop without the
    network. A message to a peer whose queue is full is dropped and counted.
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
        self._filter = peer_filter or OpenFilter()
        self._context = zmq.asyncio.Context()
        self._dealers: dict[str, zmq.Socket[bytes]] = {}
        self._handlers: dict[type, list[Handler]] = {}

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Call ``handler`` with every delivery of one kind of message."""
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, host: str, message: Any) -> bool:
        """Send to a member; return whether its address is known."""
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
        """Send to a peer address, member or not."""
        kind = type(message).__name__
        data = self._codec.encode(message)
        self._board.traffic.count_sent(kind, len(data))
        if not self._filter.admits(self._address, address):
            return
        try:
            self._connect(address).send(data, zmq.DONTWAIT, copy=len(data) < 65_536)
        except zmq.Again:
            self._board.traffic.count_dropped("queue_full")

    def forget(self, address: str) -> None:
        """Close the connection to a peer that is gone."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            dealer.close(linger=0)

    async def on_start(self) -> None:
        """Bind the receiving socket."""
        self._router: zmq.asyncio.Socket = self._context.socket(zmq.ROUTER)
        self._router.linger = 0
        if self._settings.secret_key:
            self._router.curve_server = True
            self._router.curve_publickey = self._settings.public_key.encode()
            self._router.curve_secretkey = self._settings.secret_key.encode()
        self._router.bind(f"tcp://{self._address}")

    async def on_stop(self) -> None:
        """Close every socket; what is queued to peers gets a moment."""
        for dealer in self._dealers.values():
            dealer.close(linger=200)
        self._router.close(linger=0)

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        dealer = self._dealers.get(address)
        if dealer is not None:
            return dealer
        dealer = zmq.Socket(self._context, zmq.DEALER)
        dealer.linger = 0
        dealer.sndhwm = SEND_QUEUE
        dealer.setsockopt(zmq.RECONNECT_IVL, 50)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, 1_000)
        dealer.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MILLISECONDS)
        dealer.setsockopt(zmq.HEARTBEAT_TIMEOUT, 2 * HEARTBEAT_MILLISECONDS)
        if self._settings.secret_key:
            dealer.curve_serverkey = self._settings.public_key.encode()
            dealer.curve_publickey = self._settings.public_key.encode()
            dealer.curve_secretkey = self._settings.secret_key.encode()
        dealer.connect(f"tcp://{address}")
        self._dealers[address] = dealer
        return dealer

    @Service.task
    async def _receive(self) -> None:
        handled = 0
        while not self.should_stop:
            self._accept(await self._router.recv_multipart())
            handled += 1
            if handled % BATCH == 0:
                await asyncio.sleep(0)

    def _accept(self, parts: list[bytes]) -> None:
        data = parts[-1]
        try:
            delivery = self._codec.decode(data)
        except MessageError as error:
            self._board.traffic.count_dropped("malformed")
            logging.log_every_n_seconds(logging.WARNING, "%s", 10, error)
            return
        if not self._filter.admits(delivery.address, self._address):
            return
        kind = type(delivery.message).__name__
        self._board.traffic.count_received(kind, len(data))
        delay = self._filter.choose_delay()
        if delay:
            asyncio.get_running_loop().call_later(delay, self._dispatch, delivery)
        else:
            self._dispatch(delivery)

    def _dispatch(self, delivery: Delivery) -> None:
        for handler in self._handlers.get(type(delivery.message), []):
            handler(delivery)
