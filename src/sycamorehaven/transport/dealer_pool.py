"""Outgoing connections to peers: one DEALER socket an address."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import zmq

from sycamorehaven.transport.messages.envelope import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from sycamorehaven.settings import RouterSettings

SEND_QUEUE_MESSAGES = 500
"""Messages queued for one peer that does not take them."""
MIN_HEARTBEAT_PERIOD_MILLISECONDS = 1_000
"""Milliseconds between two heartbeats of a connection."""
MAX_HEARTBEATS_PER_SECOND = 20
"""Heartbeats that all connections to peers may send; with more connections
each sends fewer."""
SILENCE_TIMEOUT_MILLISECONDS = 3_000
"""Milliseconds without a byte after which a connection is replaced."""
CONNECT_TIMEOUT_MILLISECONDS = 2_000
"""Milliseconds in which a connection must be made."""
MIN_RECONNECT_DELAY_MILLISECONDS = 50
MAX_RECONNECT_DELAY_MILLISECONDS = 1_000
NON_MEMBER_IDLE_SECONDS = 10.0
"""Seconds without use after which the socket to no member is closed."""
MEMBER_IDLE_SECONDS = 20.0
"""Seconds without use after which the socket to a member is closed."""
STOP_LINGER_MILLISECONDS = 200
"""Milliseconds that queued messages get when the router stops."""


def compute_heartbeat_period(connections: int) -> int:
    """Return the milliseconds between two heartbeats of one connection."""
    return max(
        MIN_HEARTBEAT_PERIOD_MILLISECONDS,
        1_000 * connections // MAX_HEARTBEATS_PER_SECOND,
    )


def configure_heartbeat(
    socket: zmq.Socket[Any], period: int = MIN_HEARTBEAT_PERIOD_MILLISECONDS
) -> None:
    """
    Make a socket replace connections that have gone silent.

    :param period: milliseconds between two heartbeats.
    """
    socket.setsockopt(zmq.HEARTBEAT_IVL, period)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_TIMEOUT_MILLISECONDS)
    socket.setsockopt(zmq.HANDSHAKE_IVL, SILENCE_TIMEOUT_MILLISECONDS)
    socket.setsockopt(zmq.MAXMSGSIZE, 2 * MAX_MESSAGE_BYTES)


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
        self._last_used_at: dict[str, float] = {}

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
        self._last_used_at[address] = self._clock()
        dealer.send(data, zmq.DONTWAIT, copy=len(data) < 65_536)

    def disconnect(self, address: str, linger: int = 0) -> None:
        """Close the socket to an address."""
        dealer = self._dealers.pop(address, None)
        if dealer is not None:
            del self._last_used_at[address]
            dealer.close(linger=linger)

    def close_idle(self, member_addresses: Collection[str]) -> None:
        """Close sockets that have not been used for a while."""
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
        """Close every socket; what is queued gets a moment."""
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
