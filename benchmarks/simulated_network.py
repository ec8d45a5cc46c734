"""
Simulated network between routers.

Messages are delayed, lost, duplicated or cut off; their sizes are those of
the real encoding.
"""

from __future__ import annotations

import functools
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from sycamorehaven.transport.codec import Codec, Delivery

if TYPE_CHECKING:
    from collections.abc import Iterable

    from benchmarks.event_queue import EventQueue
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.transport.peer_link import MessageHandler


class SimulatedNetwork:
    """
    Carries messages between routers.

    :param events: the virtual clock.
    :param seed: seed of the random delays, losses and duplicates.
    :param delay: mean one-way delay in seconds; a message takes between half
        and one and a half of it.
    :param loss_ratio: ratio of messages that are lost.
    :param duplication_ratio: ratio of messages that are delivered twice.
    """

    def __init__(
        self,
        events: EventQueue,
        seed: int = 1,
        delay: float = 0.0005,
        loss_ratio: float = 0.0,
        duplication_ratio: float = 0.0,
    ) -> None:
        self._events = events
        self._random = random.Random(seed)
        self._delay = delay
        self.loss_ratio = loss_ratio
        self.duplication_ratio = duplication_ratio
        self.partition_by_host: dict[str, int] = {}
        self.links: dict[str, SimulatedLink] = {}
        self.messages_by_kind: Counter[str] = Counter()
        self.bytes_by_kind: Counter[str] = Counter()
        self.bytes_by_sender: Counter[str] = Counter()

    def transmit(self, host: str, delivery: Delivery, size: int) -> None:
        """Count a message and schedule up to two deliveries of it."""
        kind = type(delivery.message).__name__
        self.messages_by_kind[kind] += 1
        self.bytes_by_kind[kind] += size
        self.bytes_by_sender[delivery.sender.host] += size
        if self.partition_by_host.get(host, 0) != self.partition_by_host.get(
            delivery.sender.host, 0
        ):
            return
        if self._random.random() < self.loss_ratio:
            return
        copies = 2 if self._random.random() < self.duplication_ratio else 1
        for _ in range(copies):
            delay = self._delay * (0.5 + self._random.random())
            deliver = functools.partial(self._deliver, host, delivery)
            self._events.call_after(delay, deliver)

    def _deliver(self, host: str, delivery: Delivery) -> None:
        link = self.links.get(host)
        if link is not None:
            link.dispatch(delivery)


class SimulatedLink:
    """
    The ``PeerLink`` of one router in the simulated network.

    :param board: blackboard of the router.
    :param network: the network that carries the messages.
    :param events: the virtual clock.
    """

    def __init__(
        self, board: Blackboard, network: SimulatedNetwork, events: EventQueue
    ) -> None:
        self._board = board
        self._network = network
        self._events = events
        self._address = board.members.own.address
        self._codec = Codec(board.identity, self._address)
        self._handlers: dict[type, list[MessageHandler]] = {}
        network.links[board.identity.host] = self

    def send(self, host: str, message: Any) -> bool:
        """Send a message to a member of the fleet."""
        delivery = Delivery(self._board.identity, self._address, message)
        if host == self._board.identity.host:
            self._events.call_after(0.0, functools.partial(self.dispatch, delivery))
            return True
        if self._board.members.find(host) is None:
            return False
        self._network.transmit(host, delivery, len(self._codec.encode(message)))
        return True

    def send_to(self, address: str, message: Any) -> None:
        """Send a message to an address, whose host part is the host's name."""
        self.send(address.partition(":")[0], message)

    def send_to_all(self, addresses: Iterable[str], message: Any) -> None:
        """Send a message to some addresses."""
        for address in addresses:
            self.send_to(address, message)

    def broadcast(self, message: Any) -> None:
        """Send a message to every other member."""
        for member in self._board.members.list():
            if member.host != self._board.identity.host:
                self.send(member.host, message)

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Register a handler for one kind of message."""
        self._handlers.setdefault(kind, []).append(handler)

    def dispatch(self, delivery: Delivery) -> None:
        """Call the registered handlers with a received message."""
        for handler in self._handlers.get(type(delivery.message), []):
            handler(delivery)
