"""Serves the calls that other routers relay to this one."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Protocol

import xxhash
from mode import Service
from opentelemetry import propagate, trace

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.controllers.relay_requests import read_call
from sycamorehaven.controllers.relayed_calls import WINDOW
from sycamorehaven.controllers.tokens import read_token
from sycamorehaven.exceptions.refusals import (
    InvalidToken,
    Refusal,
    TokenOwnerUnreachable,
)
from sycamorehaven.transport.messages.relays import (
    RelayCall,
    RelayContinue,
    RelayRefusal,
    RelayReply,
    RelayStatus,
)
from sycamorehaven.transport.messages.tokens import TokenStateReply, TokenStateRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Answer, Call
    from sycamorehaven.controllers.adoption import Adoption
    from sycamorehaven.controllers.tokens import TokenStatus
    from sycamorehaven.decisions.tokens import Token
    from sycamorehaven.identity import RouterId
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

PART_BYTES = 65_536
"""Bytes of the largest part of a relayed answer."""
MOST_SESSIONS = 1_000
"""Relayed calls that are served at once."""
IDLE_LIMIT = 10.0
"""Seconds without a word from the asking router after which it is given up."""
LINGER = 5.0
"""Seconds for which a refusal is kept for repeats of the call."""
SWEEP_PERIOD = 1.0
"""Seconds between looks for idle sessions."""
SESSION_BITS = 62
"""Random bits of the number of a session."""
RETRY_AFTER = 1.0
"""Seconds a caller is asked to wait when too many calls are relayed."""

SessionKey = tuple["RouterId", int]


tracer = trace.get_tracer("sycamorehaven")


class TokenUser(Protocol):
    """Runs calls with tokens of this process."""

    async def use(self, call: Call, token: Token, attempt: bytes = b"") -> Answer:
        """Run the call, join its run or repeat its answer."""
        ...

    def look_up_own(self, token: Token, workspace: str) -> TokenStatus:
        """Return the state of a token that this process minted."""
        ...


class RelaySession:
    """
    The answer to one relayed call on its way.

    :param relay: number of the call.
    :param send: sends a message to the asking router.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        relay: int,
        send: Callable[[object], None],
        clock: Callable[[], float],
    ) -> None:
        self._relay = relay
        self._number = secrets.randbits(SESSION_BITS) + 1
        self._send = send
        self._clock = clock
        self._heard_at = clock()
        self._unacknowledged: dict[int, RelayReply] = {}
        self._next = 0
        self._changed = Signal()
        self._refusal: RelayRefusal | None = None
        self.closed = False
        self.ended = False

    def is_idle(self, limit: float) -> bool:
        """Return whether nothing was heard for ``limit`` seconds."""
        return self._clock() - self._heard_at > limit

    def poke(self) -> None:
        """Say again how the call stands."""
        self._heard_at = self._clock()
        if self._refusal is not None:
            self._send(self._refusal)
        else:
            self._send(RelayStatus(self._relay, True))

    def take_continue(self, message: RelayContinue) -> None:
        """Note which parts have arrived; repeat those that seem lost."""
        self.closed |= message.closed
        for part in [p for p in self._unacknowledged if p < message.next_part]:
            del self._unacknowledged[part]
        if message.resend:
            self.poke()
            for reply in self._unacknowledged.values():
                self._send(reply)
        self._heard_at = self._clock()
        self._changed.notify()

    def give_up(self) -> None:
        """Wake the sender, as the asking router is gone."""
        self.closed = True
        self._changed.notify()

    def deny(self) -> None:
        """Say that no answer comes, or none any more."""
        self._send(RelayStatus(self._relay, False))

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal."""
        self._refusal = RelayRefusal(
            relay=self._relay,
            code=refusal.code,
            detail=refusal.detail,
            was_run=refusal.was_run,
            retry_after=refusal.retry_after,
            remedy=refusal.advice,
        )
        self._send(self._refusal)

    async def send_answer(self, answer: Answer) -> None:
        """Send an answer in parts, as fast as the asking router takes them."""
        headers = list(answer.headers)
        async for chunk in answer.chunks:
            for piece in split_chunk(chunk):
                await self._send_part(answer.status, headers, piece, last=False)
        await self._send_part(answer.status, headers, b"", last=True)
        while self._unacknowledged and not self.closed:
            await self._changed.wait()

    async def _send_part(
        self, status: int, headers: list[tuple[str, str]], body: bytes, *, last: bool
    ) -> None:
        while len(self._unacknowledged) >= WINDOW and not self.closed:
            await self._changed.wait()
        if self.closed:
            return
        shown = headers if self._next == 0 else []
        reply = RelayReply(
            self._relay, self._number, self._next, last, status, shown, body
        )
        self._unacknowledged[self._next] = reply
        self._next += 1
        self._send(reply)


def split_chunk(chunk: bytes) -> Iterator[bytes]:
    """Yield pieces of at most ``PART_BYTES``."""
    for start in range(0, len(chunk), PART_BYTES):
        yield chunk[start : start + PART_BYTES]


class RelaySessions(Service):
    """
    Answers relayed calls and questions for the state of tokens.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param tokens: runs calls with tokens of this process.
    :param adoption: answers from tokens that this router took over.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        tokens: TokenUser,
        adoption: Adoption,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._tokens = tokens
        self._adoption = adoption
        self._clock = clock
        self._sessions: dict[SessionKey, RelaySession] = {}
        link.subscribe(RelayCall, self._take_call)
        link.subscribe(RelayContinue, self._take_continue)
        link.subscribe(TokenStateRequest, self._take_state_request)

    @Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(SWEEP_PERIOD)
            for key, session in list(self._sessions.items()):
                if session.is_idle(IDLE_LIMIT):
                    session.give_up()
                if session.ended and session.is_idle(LINGER):
                    del self._sessions[key]

    def _take_call(self, delivery: Delivery) -> None:
        message: RelayCall = delivery.message
        own = self._board.identity.incarnation
        if message.owner != own and not message.adopted:
            self._reply(delivery, RelayStatus(message.relay, False))
            return
        key = (delivery.sender, message.relay)
        session = self._sessions.get(key)
        if session is None:
            session = self._open(delivery)
        session.poke()

    def _open(self, delivery: Delivery) -> RelaySession:
        message: RelayCall = delivery.message

        def send(reply: object) -> None:
            self._reply(delivery, reply)

        session = RelaySession(message.relay, send, self._clock)
        if len(self._sessions) >= MOST_SESSIONS:
            refusal = TokenOwnerUnreachable(
                "too many calls are relayed",
                was_run="unknown",
                retry_after=RETRY_AFTER,
            )
            session.refuse(refusal)
            return session
        self._sessions[delivery.sender, message.relay] = session
        attempt = derive_attempt(delivery.sender, message.relay)
        self.add_future(self._serve(session, message, attempt))
        return session

    def _reply(self, delivery: Delivery, message: object) -> None:
        self._link.send_to(delivery.address, message)

    async def _serve(
        self, session: RelaySession, message: RelayCall, attempt: bytes
    ) -> None:
        self._board.lifecycle.enter()
        answer: Answer | None = None
        try:
            with tracer.start_as_current_span(
                "relayed call",
                context=propagate.extract(dict(message.headers)),
                kind=trace.SpanKind.SERVER,
            ):
                answer = await self._answer(message, attempt)
            if answer is None:
                self._forget(session)
            else:
                await session.send_answer(answer)
        except Refusal as refusal:
            session.refuse(refusal)
        except Exception:
            self._forget(session)
        finally:
            session.ended = True
            if answer is not None:
                await answer.chunks.aclose()
            self._board.lifecycle.leave()

    def _forget(self, session: RelaySession) -> None:
        for key in [k for k, known in self._sessions.items() if known is session]:
            del self._sessions[key]
        session.deny()

    async def _answer(self, message: RelayCall, attempt: bytes) -> Answer | None:
        try:
            configuration = self._board.configuration.current
            call = read_call(message, configuration, self._clock())
            token = read_token(message.token)
        except Refusal as refusal:
            refusal.doubt()
            raise
        if message.adopted:
            return self._adoption.answer(call)
        return await self._tokens.use(call, token, attempt)

    def _take_continue(self, delivery: Delivery) -> None:
        message: RelayContinue = delivery.message
        session = self._sessions.get((delivery.sender, message.relay))
        if session is not None:
            session.take_continue(message)
        elif not message.closed:
            self._reply(delivery, RelayStatus(message.relay, False))

    def _take_state_request(self, delivery: Delivery) -> None:
        self._reply(delivery, self._describe(delivery.message))

    def _describe(self, message: TokenStateRequest) -> TokenStateReply:
        if message.adopted:
            return self._adoption.describe(
                message.number, message.token, message.workspace
            )
        if message.owner != self._board.identity.incarnation:
            return TokenStateReply(message.number, "", 0)
        try:
            token = read_token(message.token)
            found = self._tokens.look_up_own(token, message.workspace)
        except InvalidToken:
            return TokenStateReply(message.number, "invalid", 0)
        return TokenStateReply(message.number, found.state.value, found.status)


def derive_attempt(sender: RouterId, relay: int) -> bytes:
    """Return 16 bytes that identify a relayed call in the fleet."""
    return xxhash.xxh3_128_digest(f"{sender.format()}/{relay}".encode())
