"""The seam between controllers and the network to other routers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sycamorehaven.transport.codec import Delivery

MessageHandler = Callable[["Delivery"], None]


class PeerLink(Protocol):
    """
    One-way, unreliable messages to other routers.

    Delivery may fail, double or reorder; every receiver copes. A handler runs
    on the event loop and must not block.
    """

    def send(self, host: str, message: Any) -> bool:
        """Send to a member; return whether its address is known."""
        ...

    def send_to(self, address: str, message: Any) -> None:
        """Send to a peer address, member or not."""
        ...

    def broadcast(self, message: Any) -> None:
        """Send to every other member."""
        ...

    def subscribe(self, kind: type, handler: MessageHandler) -> None:
        """Call ``handler`` with every delivery of one kind of message."""
        ...


class PeerFilter(Protocol):
    """Decides what passes; tests cut connections and lose messages here."""

    def can_reach(self, sender: str, receiver: str) -> bool:
        """Return whether a sender is not cut off from a receiver."""
        ...

    def should_deliver(self, sender: str, receiver: str) -> bool:
        """Return whether a message between two peer addresses passes."""
        ...

    def choose_delay(self) -> float:
        """Return how late a received message is handled, seconds."""
        ...


class PassThroughFilter:
    """Lets everything pass."""

    def can_reach(self, sender: str, receiver: str) -> bool:  # noqa: ARG002
        """Return ``True``."""
        return True

    def should_deliver(self, sender: str, receiver: str) -> bool:  # noqa: ARG002
        """Return ``True``."""
        return True

    def choose_delay(self) -> float:
        """Return 0."""
        return 0.0
