"""In-memory test doubles of the network and the clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from sycamorehaven.blackboard.board import NO_ALLOWANCE, Blackboard
from sycamorehaven.controllers.server_conditions import ServerConditionRecorder
from sycamorehaven.identity import RouterId
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.codec import Delivery
from tests.support.fixtures import fixture

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from sycamorehaven.decisions.cold_servers.paces import ColdAllowance
    from sycamorehaven.transport.peer_link import MessageHandler


class ManualClock:
    """A monotonic clock, in seconds, that only the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds


class MemoryNetwork:
    """
    Queues the messages between links until the test delivers them.

    :param seed: seeds the choice of the lost messages.
    :param loss: ratio of the messages that are lost.
    :ivar disconnected_pairs: pairs of addresses between which every message
        is lost.
    :ivar links: the link of each address.
    :ivar pending_deliveries: address of the receiver and delivery of each
        queued message.
    """

    def __init__(self, seed: int = 1, loss: float = 0.0) -> None:
        self._random = random.Random(seed)
        self.loss = loss
        self.disconnected_pairs: set[frozenset[str]] = set()
        self.links: dict[str, MemoryLink] = {}
        self.pending_deliveries: list[tuple[str, Delivery]] = []

    def deliver(self, max_deliveries: int = 1_000) -> int:
        """
        Deliver the queued messages and those that their receivers send.

        :param max_deliveries: the number of deliveries after which to stop.
        :return: the number of messages delivered.
        """
        count = 0
        while self.pending_deliveries and count < max_deliveries:
            address, delivery = self.pending_deliveries.pop(0)
            link = self.links.get(address)
            if link is not None and self._is_delivered(delivery.address, address):
                link.dispatch(delivery)
                count += 1
        return count

    def _is_delivered(self, sender: str, receiver: str) -> bool:
        if sender == receiver:
            return True
        if frozenset({sender, receiver}) in self.disconnected_pairs:
            return False
        return self._random.random() >= self.loss


class MemoryLink:
    """
    A ``PeerLink`` that connects one board to a ``MemoryNetwork``.

    :ivar sent_messages: address of the receiver and content of each message
        that was sent.
    """

    def __init__(self, board: Blackboard, network: MemoryNetwork) -> None:
        self._board = board
        self._network = network
        self._address = board.members.own.address
        self._handlers: dict[type, list[MessageHandler]] = {}
        self.sent_messages: list[tuple[str, Any]] = []
        network.links[self._address] = self

    def send(self, host: str, message: Any) -> bool:
        """Queue a message for a member; return whether the member is known."""
        member = self._board.members.find(host)
        if member is None:
            return False
        self.send_to(member.address, message)
        return True

    def send_to(self, address: str, message: Any) -> None:
        """Queue a message for an address."""
        self.sent_messages.append((address, message))
        delivery = Delivery(self._board.identity, self._address, message)
        self._network.pending_deliveries.append((address, delivery))

    def send_to_all(self, addresses: Iterable[str], message: Any) -> None:
        """Queue a message for some addresses."""
        for address in addresses:
            self.send_to(address, message)

    def broadcast(self, message: Any) -> None:
        """Queue a message for every other member."""
        for member in self._board.members.list():
            if member.address != self._address:
                self.send_to(member.address, message)

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Register a handler for every delivery of a message type."""
        self._handlers.setdefault(kind, []).append(handler)

    def dispatch(self, delivery: Delivery) -> None:
        """Pass a delivery to the handlers of its message type."""
        for handler in self._handlers.get(type(delivery.message), []):
            handler(delivery)


def create_board(
    host: str = "a1",
    failure_domain: str = "a",
    incarnation: int = 1,
    cold_allowance: ColdAllowance = NO_ALLOWANCE,
) -> Blackboard:
    """Return the blackboard of a router that has just started."""
    return Blackboard(
        RouterId(host, incarnation),
        f"{host}:1",
        failure_domain,
        cold_allowance=cold_allowance,
    )


def create_recorder(
    board: Blackboard, clock: Callable[[], float]
) -> ServerConditionRecorder:
    """Return a recorder of what servers say that writes no log."""
    log = DecisionLog(board.identity.host, None)
    return ServerConditionRecorder(board, log, GatewayMetrics(), clock)


@fixture
def clock() -> Iterator[ManualClock]:
    """Yield a clock that only the test advances."""
    yield ManualClock()


@fixture
def network() -> Iterator[MemoryNetwork]:
    """Yield a network that loses no message."""
    yield MemoryNetwork()
