"""One relayed call as the asking router sees it."""

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

RESEND = 0.2
"""Seconds without news after which a message is sent again."""
SILENCE = 2.0
"""Seconds without a sign of life after which a router is unreachable."""
WINDOW = 16
"""Parts of an answer that are under way at once."""


class Exchange:
    """
    A ``RelayCall`` and what has come back.

    Replies are taken only from the one process that was asked, each part
    once and in order, whatever the network does.

    :param message: the call.
    :param owner: the process that was asked.
    :param send: sends a message to that process.
    :param clock: monotonic seconds.
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
        self._heard_at = clock()
        self._accepted = False
        self._parts: dict[int, RelayReply] = {}
        self._next = 0
        self._acknowledged = 0
        self._session = 0
        self.changed = Signal()
        self.refusal: Refusal | None = None
        self.unknown = False
        self.gone = False

    @property
    def number(self) -> int:
        """Number of the call."""
        return self._message.relay

    @property
    def silent(self) -> bool:
        """Whether the asked process has given no sign of life for long."""
        return self._clock() - self._heard_at > SILENCE

    @property
    def head(self) -> RelayReply | None:
        """The first part, if it has come and is not consumed."""
        return self._parts.get(0)

    @property
    def decided(self) -> bool:
        """Whether it is known how the answer begins, or that none comes."""
        return bool(self._parts.get(0) or self.refusal or self.unknown or self.gone)

    def post(self) -> None:
        """Send the call, or ask for what is missing of its answer."""
        if self._accepted:
            self._acknowledge(resend=True)
        else:
            self._send(self._message)

    def take_reply(self, delivery: Delivery) -> None:
        """Take a part of the answer."""
        reply: RelayReply = delivery.message
        if not self._hear(delivery):
            return
        self._accepted = True
        self._session = self._session or reply.session
        fits = self._next <= reply.part < self._next + WINDOW
        if fits and reply.session == self._session:
            self._parts.setdefault(reply.part, reply)
        self.changed.notify()

    def take_refusal(self, delivery: Delivery) -> None:
        """Take the refusal of the call."""
        told: RelayRefusal = delivery.message
        if not self._hear(delivery) or self._parts or self._next:
            return
        self.refusal = create_refusal(
            told.code,
            told.detail,
            was_run=told.was_run,
            retry_after=told.retry_after,
            remedy=told.remedy,
        )
        self.changed.notify()

    def take_status(self, delivery: Delivery) -> None:
        """Take a sign of life, or the word that the receiver can't answer."""
        if delivery.sender.host == self._owner.host:
            self.gone |= delivery.sender.incarnation > self._owner.incarnation
        if self._hear(delivery):
            self._accepted = delivery.message.known
            begun = bool(self._session) or self._message.adopted
            self.unknown = begun and not self._accepted
        self.changed.notify()

    def _hear(self, delivery: Delivery) -> bool:
        if delivery.sender != self._owner:
            return False
        self._heard_at = self._clock()
        return True

    async def read_part(self) -> RelayReply:
        """
        Return the next part.

        :raises ServerLost: if the rest of the answer will not come.
        """
        while self._next not in self._parts:
            if not await self.changed.wait(RESEND):
                self._acknowledge(resend=True)
            if self.unknown or self.gone or self.silent:
                raise ServerLost("the relayed answer broke off", sent=True)
        part = self._parts.pop(self._next)
        self._next += 1
        if part.last or self._next - self._acknowledged >= WINDOW // 2:
            self._acknowledge(resend=False)
        return part

    def close(self) -> None:
        """Tell the asked process that no more is wanted."""
        self._acknowledge(resend=False, closed=True)

    def _acknowledge(self, *, resend: bool, closed: bool = False) -> None:
        self._acknowledged = self._next
        self._send(RelayContinue(self._message.relay, self._next, resend, closed))


class RelayedBody:
    """
    The body of a relayed answer.

    :param exchange: what it comes through.
    :param on_close: called once nobody reads any more.
    """

    def __init__(self, exchange: Exchange, on_close: Callable[[], None]) -> None:
        self._exchange = exchange
        self._on_close = on_close
        self._ended = False

    def __aiter__(self) -> RelayedBody:
        """Return the body itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk; raise if the answer breaks off."""
        while not self._ended:
            part = await self._exchange.read_part()
            self._ended = part.last
            if part.body:
                return part.body
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Stop reading."""
        self._on_close()
