"""Outgoing connections to other routers: one DEALER socket per address."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import zmq

from sycamorehaven.transport.messages.envelope import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sycamorehaven.settings import RouterSettings

SEND_QUEUE_MESSAGES = 500
"""Messages queued for a peer that is slow or unreachable; more are dropped."""
MIN_HEARTBEAT_PERIOD_MILLISECONDS = 1_000
"""Shortest time between two heartbeats on one connection."""
MAX_HEARTBEATS_PER_SECOND = 20
"""Limit for all connections to peers together; the more connections there
are, the less often each one sends."""
SILENCE_TIMEOUT_MILLISECONDS = 3_000
"""Time without a received byte after which a connection is replaced."""
CONNECT_TIMEOUT_MILLISECONDS = 2_000
"""Time limit for opening a connection."""
MIN_RECONNECT_DELAY_MILLISECONDS = 50
"""Time before the first attempt to reconnect; it grows with each attempt."""
MAX_RECONNECT_DELAY_MILLISECONDS = 1_000
"""Longest time between two attempts to reconnect."""
NON_MEMBER_IDLE_SECONDS = 10.0
"""Time without use after which a socket to an address of no member closes."""
MEMBER_IDLE_SECONDS = 20.0
"""Time without use after which a socket to a member closes."""
STOP_LINGER_MILLISECONDS = 200
"""Time in which queued messages may still be sent when the router stops."""


def compute_heartbeat_period(connections: int) -> int:
    """
    Return the milliseconds between two heartbeats on one connection.

    :param connections: number of open connections.
    """
    return max(
        MIN_HEARTBEAT_PERIOD_MILLISECONDS,
        1_000 * connections // MAX_HEARTBEATS_PER_SECOND,
    )


def configure_heartbeat(
    socket: zmq.Socket[Any], period: int = MIN_HEARTBEAT_PERIOD_MILLISECONDS
) -> None:
    """
    Make a socket replace silent connections, and limit the message size.

    :param period: milliseconds between two heartbeats.
    """
    socket.setsockopt(zmq.HEARTBEAT_IVL, period)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_TIMEOUT_MILLISECONDS)
    socket.setsockopt(zmq.HANDSHAKE_IVL, SILENCE_TIMEOUT_MILLISECONDS)
    socket.setsockopt(zmq.MAXMSGSIZE, 2 * MAX_MESSAGE_BYTES)


class DealerPool:
    """
    Opens a socket per peer address on first use and closes unused ones.

    :param context: the ZeroMQ context of the sockets.
    :param settings: the settings of this process, with the fleet's key pair.
    :param clock: returns monotonic time, seconds.
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
        self._last_used_at: dict[str, float] = {}

    @property
    def addresses(self) -> Collection[str]:
        """The addresses that have an open socket."""
        return self._dealers.keys()

    def send(self, address: str, data: bytes) -> None:
        """
        Queue a message for an address without blocking.

        :raises zmq.Again: if the queue of the address is full.
        :raises zmq.ZMQError: if the address is not valid.
        """
        dealer = self._dealers.get(address) or self._connect(address)
        self._last_used_at[address] = self._clock()
        # Messages of 64 KiB and more are sent without copying their bytes.
        dealer.send(data, zmq.DONTWAIT, copy=len(data) < 65_536)

    def disconnect(self, address: str, linger: int = 0) -> None:
        """
        Close the socket to an address, if there is one.

        :param linger: milliseconds in which queued messages may still be sent.
        """
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            del self._last_used_at[address]
            dealer.close(linger=linger)

    def close_idle(self, member_addresses: Collection[str]) -> None:
        """
        Close the sockets that have not been used for a while.

        :param member_addresses: peer addresses of the current members, whose
            sockets stay open longer.
        """
        now = self._clock()
        for address, last_used_at in list(self._last_used_at.items()):
            idle = (
                MEMBER_IDLE_SECONDS
                if address in member_addresses
                else NON_MEMBER_IDLE_SECONDS
            )
            if now - last_used_at > idle:
                self.disconnect(address)

    def close(self) -> None:
        """Close every socket after a short time to send queued messages."""
        for address in list(self._dealers):
            self.disconnect(address, STOP_LINGER_MILLISECONDS)

    def _connect(self, address: str) -> zmq.Socket[bytes]:
        dealer: zmq.Socket[bytes] = zmq.Socket(self._context, zmq.DEALER)
        dealer.linger = 0
        dealer.sndhwm = SEND_QUEUE_MESSAGES
        dealer.setsockopt(zmq.RECONNECT_IVL, MIN_RECONNECT_DELAY_MILLISECONDS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_DELAY_MILLISECONDS)
        dealer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLISECONDS)
        configure_heartbeat(dealer, compute_heartbeat_period(len(self._dealers)))
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
        self._last_used_at[address] = self._clock()
        return dealer
