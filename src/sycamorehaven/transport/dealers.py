"""Outgoing connections to peers: one DEALER socket an address."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import zmq

from sycamorehaven.transport.messages.envelope import LARGEST_MESSAGE

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sycamorehaven.settings import RouterSettings

SEND_QUEUE = 500
"""Messages queued for one peer that does not take them."""
HEARTBEAT_MILLISECONDS = 1_000
"""Milliseconds between two heartbeats of a connection."""
HEARTBEATS_PER_SECOND = 20
"""Heartbeats that all connections to peers may send; with more connections
each sends fewer."""
SILENCE_MILLISECONDS = 3_000
"""Milliseconds without a byte after which a connection is replaced."""
CONNECT_MILLISECONDS = 2_000
"""Milliseconds in which a connection must be made."""
RECONNECT_MILLISECONDS = 50
LONGEST_RECONNECT_MILLISECONDS = 1_000
STRANGER_IDLE = 10.0
"""Seconds without use after which the socket to no member is closed."""
MEMBER_IDLE = 20.0
"""Seconds without use after which the socket to a member is closed."""
STOP_LINGER = 200
"""Milliseconds that queued messages get when the router stops."""


def choose_heartbeat(connections: int) -> int:
    """Return the milliseconds between two heartbeats of one connection."""
    return max(HEARTBEAT_MILLISECONDS, 1_000 * connections // HEARTBEATS_PER_SECOND)


def set_heartbeat(
    socket: zmq.Socket[Any], period: int = HEARTBEAT_MILLISECONDS
) -> None:
    """
    Make a socket replace connections that have gone silent.

    :param period: milliseconds between two heartbeats.
    """
    socket.setsockopt(zmq.HEARTBEAT_IVL, period)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_MILLISECONDS)
    socket.setsockopt(zmq.HANDSHAKE_IVL, SILENCE_MILLISECONDS)
    socket.setsockopt(zmq.MAXMSGSIZE, 2 * LARGEST_MESSAGE)


class DealerPool:
    """
    Sockets by address; unused ones are closed.

    :param context: ZeroMQ context.
    :param settings: settings of this process.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        context: zmq.Context[Any],
        settings: RouterSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._context = context
        self._settings = settings
        self._clock = clock
        self._dealers: dict[str, zmq.Socket[bytes]] = {}
        self._used_at: dict[str, float] = {}

    @property
    def addresses(self) -> Collection[str]:
        """Addresses with an open socket."""
        return self._dealers.keys()

    def send(self, address: str, data: bytes) -> None:
        """
        Queue a message for an address.

        :raises zmq.Again: if its queue is full.
        :raises zmq.ZMQError: if the address is none.
        """
        dealer = self._dealers.get(address) or self._connect(address)
        self._used_at[address] = self._clock()
        dealer.send(data, zmq.DONTWAIT, copy=len(data) < 65_536)

    def forget(self, address: str, linger: int = 0) -> None:
        """Close the socket to an address."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            del self._used_at[address]
            dealer.close(linger=linger)

    def sweep(self, members: Collection[str]) -> None:
        """Close sockets that have not been used for a while."""
        now = self._clock()
        for address, used_at in list(self._used_at.items()):
            idle = MEMBER_IDLE if address in members else STRANGER_IDLE
            if now - used_at > idle:
                self.forget(address)

    def close(self) -> None:
        """Close every socket; what is queued gets a moment."""
        for address in list(self._dealers):
            self.forget(address, STOP_LINGER)

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        dealer: zmq.Socket[bytes] = zmq.Socket(self._context, zmq.DEALER)
        dealer.linger = 0
        dealer.sndhwm = SEND_QUEUE
        dealer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MILLISECONDS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, LONGEST_RECONNECT_MILLISECONDS)
        dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_MILLISECONDS)
        set_heartbeat(dealer, choose_heartbeat(len(self._dealers)))
        if self._settings.secret_key:
            dealer.curve_serverkey = self._settings.public_key.encode()
            dealer.curve_publickey = self._settings.public_key.encode()
            dealer.curve_secretkey = self._settings.secret_key.encode()
        try:
            dealer.connect(f"tcp://{address}")
        except zmq.ZMQError:
            dealer.close(linger=0)
            raise
        self._dealers[address] = dealer
        self._used_at[address] = self._clock()
        return dealer
