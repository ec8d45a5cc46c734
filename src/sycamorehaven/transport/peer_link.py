"""Interfaces by which controllers exchange messages with other routers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sycamorehaven.transport.codec import Delivery

MessageHandler = Callable[["Delivery"], None]


class PeerLink(Protocol):
    """
    Sends and receives one-way messages without delivery guarantees.

    Messages may be lost, duplicated or reordered, so every receiver must
    handle that. A handler runs on the event loop and must not block.
    """

    def send(self, host: str, message: Any) -> bool:
        """
        Send a message to a member.

        :param host: the member's host.
        :param message: one of ``MESSAGE_KINDS``.
        :return: whether the member's address is known.
        """
        ...

    def send_to(self, address: str, message: Any) -> None:
        """Send a message to the peer address of any router, member or not."""
        ...

    def send_to_all(self, addresses: Iterable[str], message: Any) -> None:
        """Send a message to the peer addresses of some routers."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send a message to every other member."""
        ...

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler`` with every received message of one kind."""
        ...


class PeerFilter(Protocol):
    """
    Decides which messages are delivered, and when.

    Tests inject cuts, losses and delays through it. Senders and receivers are
    named by ``ip:port``.
    """

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Return whether no cut separates a sender from a receiver."""
        ...

    def should_deliver(self, sender: str, receiver: str) -> bool:
        """Return whether to deliver a message between two peer addresses."""
        ...

    def choose_delay(self) -> float:
        """Return the delay before a received message is handled, seconds."""
        ...


class PassThroughFilter:
    """Delivers every message without delay."""

    def can_reach(self, sender: str, receiver: str) -> bool:  # noqa: ARG002
        """Return ``True``."""
        return True

    def should_deliver(self, sender: str, receiver: str) -> bool:  # noqa: ARG002
        """Return ``True``."""
        return True

    def choose_delay(self) -> float:
        """Return 0."""
        return 0.0
