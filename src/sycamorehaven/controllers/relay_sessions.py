"""Serves the calls that other routers relay to this one."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Protocol

import xxhash
from mode import Service
from opentelemetry import propagate, trace

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.controllers.relay_requests import decode_relayed_call
from sycamorehaven.controllers.relayed_calls import WINDOW_PARTS
from sycamorehaven.controllers.tokens import require_valid_token
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
    from sycamorehaven.controllers.adopted_tokens import AdoptedTokenResponder
    from sycamorehaven.controllers.tokens import TokenStatus
    from sycamorehaven.decisions.idempotency_tokens import IdempotencyToken
    from sycamorehaven.identity import RouterId
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

MAX_PART_BYTES = 65_536
"""Bytes of an answer's body in one message."""
MAX_SESSIONS = 1_000
"""Number of relayed calls that are served at the same time."""
IDLE_TIMEOUT_SECONDS = 10.0
"""Time without a message from the relaying router that ends a session."""
LINGER_SECONDS = 5.0
"""Time for which an ended session is kept to answer repeated messages."""
SWEEP_INTERVAL_SECONDS = 1.0
"""Time between two searches for idle sessions."""
SESSION_NUMBER_BITS = 62
"""Size of the random number that identifies a session."""
RETRY_AFTER_SECONDS = 1.0
"""``Retry-After`` of a refusal because too many calls are relayed."""

SessionKey = tuple["RouterId", int]
"""The relaying router and its number for the call."""


tracer = trace.get_tracer("sycamorehaven")


class TokenCallRunner(Protocol):
    """Runs calls whose tokens were minted by this process."""

    async def run_with_token(
        self, call: Call, token: IdempotencyToken, attempt_id: bytes = b""
    ) -> Answer:
        """Run the call, join its current run or repeat its recorded answer."""
        ...

    def look_up_own_token(self, token: IdempotencyToken, workspace: str) -> TokenStatus:
        """Return the state of a token that this process minted."""
        ...


class RelaySession:
    """
    Sends the answer to one relayed call, part by part.

    :param relay_number: the relaying router's number for the call.
    :param send: sends a message to the relaying router.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        relay_number: int,
        send: Callable[[object], None],
        clock: Callable[[], float],
    ) -> None:
        self._relay_number = relay_number
        self._session_number = secrets.randbits(SESSION_NUMBER_BITS) + 1
        self._send = send
        self._clock = clock
        self._last_heard_at = clock()
        self._unacknowledged: dict[int, RelayReply] = {}
        self._next_part = 0
        self._changed = Signal()
        self._refusal: RelayRefusal | None = None
        self.is_closed = False
        self.is_ended = False

    def is_idle(self, seconds: float) -> bool:
        """Return whether no message has arrived for a number of seconds."""
        return self._clock() - self._last_heard_at > seconds

    def send_status(self) -> None:
        """Send the refusal, if any, or that the call is known."""
        self._last_heard_at = self._clock()
        if self._refusal is not None:
            self._send(self._refusal)
        else:
            self._send(RelayStatus(self._relay_number, True))

    def handle_continue(self, message: RelayContinue) -> None:
        """Drop the acknowledged parts and resend the others on request."""
        self.is_closed |= message.closed
        for part in [p for p in self._unacknowledged if p < message.next_part]:
            del self._unacknowledged[part]
        if message.resend:
            self.send_status()
            for reply in self._unacknowledged.values():
                self._send(reply)
        self._last_heard_at = self._clock()
        self._changed.notify()

    def cancel(self) -> None:
        """Stop sending the answer, because the relaying router is gone."""
        self.is_closed = True
        self._changed.notify()

    def send_unknown_status(self) -> None:
        """Send that the call is unknown, so no answer will follow."""
        self._send(RelayStatus(self._relay_number, False))

    def send_refusal(self, refusal: Refusal) -> None:
        """Send a refusal and keep it for repeated messages."""
        self._refusal = RelayRefusal(
            relay=self._relay_number,
            code=refusal.code,
            detail=refusal.detail,
            was_run=refusal.was_run,
            retry_after=refusal.retry_after,
            remedy=refusal.effective_remedy,
        )
        self._send(self._refusal)

    async def send_answer(self, answer: Answer) -> None:
        """
        Send an answer in parts at the relaying router's pace.

        Returns when all parts are acknowledged or the session is closed.
        """
        headers = list(answer.headers)
        async for chunk in answer.chunks:
            for piece in split_chunk(chunk):
                await self._send_part(answer.status, headers, piece, last=False)
        await self._send_part(answer.status, headers, b"", last=True)
        while self._unacknowledged and not self.is_closed:
            await self._changed.wait()

    async def _send_part(
        self, status: int, headers: list[tuple[str, str]], body: bytes, *, last: bool
    ) -> None:
        """Send one part once the window of unacknowledged parts has room."""
        while len(self._unacknowledged) >= WINDOW_PARTS and not self.is_closed:
            await self._changed.wait()
        if self.is_closed:
            return
        sent_headers = headers if self._next_part == 0 else []
        reply = RelayReply(
            self._relay_number,
            self._session_number,
            self._next_part,
            last,
            status,
            sent_headers,
            body,
        )
        self._unacknowledged[self._next_part] = reply
        self._next_part += 1
        self._send(reply)


def split_chunk(chunk: bytes) -> Iterator[bytes]:
    """Yield pieces of at most ``MAX_PART_BYTES`` bytes."""
    for start in range(0, len(chunk), MAX_PART_BYTES):
        yield chunk[start : start + MAX_PART_BYTES]


class RelaySessionController(Service):
    """
    Answers relayed calls and requests for the state of tokens.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param token_runner: runs calls whose tokens were minted by this process.
    :param adopted_responder: answers calls whose tokens this router has
        adopted.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        token_runner: TokenCallRunner,
        adopted_responder: AdoptedTokenResponder,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._token_runner = token_runner
        self._adopted_responder = adopted_responder
        self._clock = clock
        self._sessions: dict[SessionKey, RelaySession] = {}
        link.subscribe(RelayCall, self._handle_call)
        link.subscribe(RelayContinue, self._handle_continue)
        link.subscribe(TokenStateRequest, self._handle_state_request)

    @Service.task
    async def _remove_idle_sessions(self) -> None:
        while not self.should_stop:
            await self.sleep(SWEEP_INTERVAL_SECONDS)
            for key, session in list(self._sessions.items()):
                if session.is_idle(IDLE_TIMEOUT_SECONDS):
                    session.cancel()
                if session.is_ended and session.is_idle(LINGER_SECONDS):
                    del self._sessions[key]

    def _handle_call(self, delivery: Delivery) -> None:
        message: RelayCall = delivery.message
        own_incarnation = self._board.identity.incarnation
        if message.owner != own_incarnation and not message.adopted:
            self._send_to_relaying_router(delivery, RelayStatus(message.relay, False))
            return
        key = (delivery.sender, message.relay)
        session = self._sessions.get(key)
        if session is None:
            session = self._open_session(delivery)
        session.send_status()

    def _open_session(self, delivery: Delivery) -> RelaySession:
        message: RelayCall = delivery.message

        def send(reply: object) -> None:
            self._send_to_relaying_router(delivery, reply)

        session = RelaySession(message.relay, send, self._clock)
        if len(self._sessions) >= MAX_SESSIONS:
            refusal = TokenOwnerUnreachable(
                "the router that the call was relayed to serves too many relayed calls",
                was_run="unknown",
                retry_after=RETRY_AFTER_SECONDS,
            )
            session.send_refusal(refusal)
            return session
        self._sessions[delivery.sender, message.relay] = session
        attempt_id = derive_attempt_id(delivery.sender, message.relay)
        self.add_future(self._serve_session(session, message, attempt_id))
        return session

    def _send_to_relaying_router(self, delivery: Delivery, message: object) -> None:
        self._link.send_to(delivery.address, message)

    async def _serve_session(
        self, session: RelaySession, message: RelayCall, attempt_id: bytes
    ) -> None:
        self._board.lifecycle.begin_request()
        answer: Answer | None = None
        try:
            with tracer.start_as_current_span(
                "relayed call",
                context=propagate.extract(dict(message.headers)),
                kind=trace.SpanKind.SERVER,
            ):
                answer = await self._answer_call(message, attempt_id)
            if answer is None:
                self._discard_session(session)
            else:
                await session.send_answer(answer)
        except Refusal as refusal:
            session.send_refusal(refusal)
        except Exception:
            self._discard_session(session)
        finally:
            session.is_ended = True
            if answer is not None:
                await answer.chunks.aclose()
            self._board.lifecycle.end_request()

    def _discard_session(self, session: RelaySession) -> None:
        """Forget a session and tell the relaying router that none exists."""
        for key in [k for k, known in self._sessions.items() if known is session]:
            del self._sessions[key]
        session.send_unknown_status()

    async def _answer_call(
        self, message: RelayCall, attempt_id: bytes
    ) -> Answer | None:
        try:
            configuration = self._board.configuration.current
            call = decode_relayed_call(message, configuration, self._clock())
            token = require_valid_token(message.token)
        except Refusal as refusal:
            refusal.mark_outcome_uncertain()
            raise
        if message.adopted:
            return self._adopted_responder.answer(call)
        return await self._token_runner.run_with_token(call, token, attempt_id)

    def _handle_continue(self, delivery: Delivery) -> None:
        message: RelayContinue = delivery.message
        session = self._sessions.get((delivery.sender, message.relay))
        if session is not None:
            session.handle_continue(message)
        elif not message.closed:
            self._send_to_relaying_router(delivery, RelayStatus(message.relay, False))

    def _handle_state_request(self, delivery: Delivery) -> None:
        self._send_to_relaying_router(delivery, self._get_token_state(delivery.message))

    def _get_token_state(self, message: TokenStateRequest) -> TokenStateReply:
        if message.adopted:
            return self._adopted_responder.get_token_state(
                message.number, message.token, message.workspace
            )
        if message.owner != self._board.identity.incarnation:
            return TokenStateReply(message.number, "", 0)
        try:
            token = require_valid_token(message.token)
            token_status = self._token_runner.look_up_own_token(
                token, message.workspace
            )
        except InvalidToken:
            return TokenStateReply(message.number, "invalid", 0)
        return TokenStateReply(
            message.number, token_status.state.value, token_status.status
        )


def derive_attempt_id(sender: RouterId, relay: int) -> bytes:
    """Return 16 bytes that identify a relayed call in the whole fleet."""
    return xxhash.xxh3_128_digest(f"{sender.format()}/{relay}".encode())
