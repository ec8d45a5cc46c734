"""The state of one relayed call on the router that relays it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.exceptions.backends import ServerLost
from sycamorehaven.exceptions.refusals import create_refusal
from sycamorehaven.transport.messages.relays import RelayContinue

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.exceptions.refusals import Refusal
    from sycamorehaven.identity import RouterId
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.messages.relays import (
        RelayCall,
        RelayRefusal,
        RelayReply,
    )

RESEND_SECONDS = 0.2
"""Time without progress after which a message is resent."""
SILENCE_TIMEOUT_SECONDS = 2.0
"""Time without any message after which the other router is unreachable."""
WINDOW_PARTS = 16
"""Number of parts of an answer that may be in flight."""


class RelayedCall:
    """
    A relayed call and the replies received for it.

    Messages may be lost, duplicated or reordered. Replies are accepted only
    from the process that was called, each part once and in order.

    :param message: the relayed call.
    :param owner: the process that was called.
    :param send: sends a message to that process.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        message: RelayCall,
        owner: RouterId,
        send: Callable[[object], None],
        clock: Callable[[], float],
    ) -> None:
        self._message = message
        self._owner = owner
        self._send = send
        self._clock = clock
        self._last_heard_at = clock()
        self._is_accepted = False
        self._received_parts: dict[int, RelayReply] = {}
        self._next_part = 0
        self._acknowledged_parts = 0
        self._session_number = 0
        self.changed = Signal()
        self.refusal: Refusal | None = None
        self.is_unknown_to_owner = False
        self.is_owner_replaced = False

    @property
    def number(self) -> int:
        """Random number that identifies the call on both routers."""
        return self._message.relay

    @property
    def is_silent(self) -> bool:
        """Whether the called process has sent nothing for too long."""
        return self._clock() - self._last_heard_at > SILENCE_TIMEOUT_SECONDS

    @property
    def first_part(self) -> RelayReply | None:
        """The first part of the answer if received but not yet read."""
        return self._received_parts.get(0)

    @property
    def is_decided(self) -> bool:
        """Whether the answer has begun or will certainly not come."""
        return bool(
            self._received_parts.get(0)
            or self.refusal
            or self.is_unknown_to_owner
            or self.is_owner_replaced
        )

    def transmit(self) -> None:
        """Send the call, or request the missing parts once it was accepted."""
        if self._is_accepted:
            self._send_continue(resend=True)
        else:
            self._send(self._message)

    def handle_reply(self, delivery: Delivery) -> None:
        """Handle a part of the answer."""
        reply: RelayReply = delivery.message
        if not self._accept_sender(delivery):
            return
        self._is_accepted = True
        self._session_number = self._session_number or reply.session
        is_in_window = self._next_part <= reply.part < self._next_part + WINDOW_PARTS
        if is_in_window and reply.session == self._session_number:
            self._received_parts.setdefault(reply.part, reply)
        self.changed.notify()

    def handle_refusal(self, delivery: Delivery) -> None:
        """Handle a refusal; ignore it once the answer has begun."""
        refusal: RelayRefusal = delivery.message
        if not self._accept_sender(delivery) or self._received_parts or self._next_part:
            return
        self.refusal = create_refusal(
            refusal.code,
            refusal.detail,
            was_run=refusal.was_run,
            retry_after=refusal.retry_after,
            remedy=refusal.remedy,
        )
        self.changed.notify()

    def handle_status(self, delivery: Delivery) -> None:
        """Handle a status, which says whether the receiver knows the call."""
        if delivery.sender.host == self._owner.host:
            self.is_owner_replaced |= (
                delivery.sender.incarnation > self._owner.incarnation
            )
        if self._accept_sender(delivery):
            self._is_accepted = delivery.message.known
            has_begun = bool(self._session_number) or self._message.adopted
            self.is_unknown_to_owner = has_begun and not self._is_accepted
        self.changed.notify()

    def _accept_sender(self, delivery: Delivery) -> bool:
        """
        Return whether a message came from the called process.

        If so, record that the process is alive.
        """
        if delivery.sender != self._owner:
            return False
        self._last_heard_at = self._clock()
        return True

    async def read_part(self) -> RelayReply:
        """
        Wait for the next part of the answer and return it.

        :raises ServerLost: if the rest of the answer will not come.
        """
        while self._next_part not in self._received_parts:
            if not await self.changed.wait(RESEND_SECONDS):
                self._send_continue(resend=True)
            if self.is_unknown_to_owner or self.is_owner_replaced or self.is_silent:
                raise ServerLost("the relayed answer broke off", was_sent=True)
        part = self._received_parts.pop(self._next_part)
        self._next_part += 1
        if part.last or self._next_part - self._acknowledged_parts >= WINDOW_PARTS // 2:
            self._send_continue(resend=False)
        return part

    def close(self) -> None:
        """Tell the called process that the rest is not needed."""
        self._send_continue(resend=False, closed=True)

    def _send_continue(self, *, resend: bool, closed: bool = False) -> None:
        """Acknowledge all parts up to the next one that is missing."""
        self._acknowledged_parts = self._next_part
        self._send(RelayContinue(self._message.relay, self._next_part, resend, closed))


class RelayedBody:
    """
    The body of a relayed answer.

    :param relayed_call: provides the parts of the answer.
    :param on_close: called when the body is closed.
    """

    def __init__(self, relayed_call: RelayedCall, on_close: Callable[[], None]) -> None:
        self._relayed_call = relayed_call
        self._on_close = on_close
        self._is_ended = False

    def __aiter__(self) -> RelayedBody:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """
        Return the next chunk.

        :raises ServerLost: if the answer breaks off.
        """
        while not self._is_ended:
            part = await self._relayed_call.read_part()
            self._is_ended = part.last
            if part.body:
                return part.body
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Stop reading the answer."""
        self._on_close()
