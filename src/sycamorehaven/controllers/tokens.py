"""Runs each call that is not idempotent at most once, by its token."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, NamedTuple, Protocol

from mode import Service

from sycamorehaven.call import Answer
from sycamorehaven.controllers.token_runs import RecordedBody, TokenRun
from sycamorehaven.decisions.idempotency_tokens import (
    NONCE_BYTES,
    IdempotencyToken,
    fingerprint_request,
    mint_token,
    parse_token,
    verify_token,
)
from sycamorehaven.decisions.token_table import ClaimAction, TokenClaim, TokenState
from sycamorehaven.exceptions.refusals import (
    AnswerGone,
    AttemptsExhausted,
    BodyTooLarge,
    Draining,
    InvalidToken,
    OutcomeUnknown,
    Refusal,
    TokenExpired,
    TokenMismatch,
    TokenRequired,
    TokenTableFull,
)
from sycamorehaven.transport.messages.envelope import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Call
    from sycamorehaven.decisions.token_table import RecordedAnswer
    from sycamorehaven.transport.caller_listener import CallHandler

DEFAULT_LIFETIME_SECONDS = 600.0
"""Time from minting to expiry if the caller requests no lifetime."""
MAX_LIFETIME_SECONDS = 3_600.0
"""Longest lifetime of a token; longer requests are shortened to it."""
TABLE_FULL_RETRY_AFTER_SECONDS = 30.0
"""``Retry-After`` of a refusal because the token table is full."""
REFUSAL_GRACE_SECONDS = 0.5
"""Time past its deadline for which a call waits for its run's own refusal."""
MAX_CALL_BYTES = MAX_MESSAGE_BYTES - 65_536
"""
Size of the body, path and headers of a call that any router can relay.

The rest of a message is left for its other fields.
"""


class MintedToken(NamedTuple):
    """
    A newly minted idempotency token.

    :ivar text: the token.
    :ivar expires_in: seconds until its expiry.
    """

    text: str
    expires_in: float


class TokenStatus(NamedTuple):
    """
    The known state of a token.

    :ivar state: its state.
    :ivar status: HTTP status of the finished call, or 0.
    """

    state: TokenState
    status: int = 0


class TokenRelay(Protocol):
    """Reaches the routers that minted other tokens."""

    async def relay(self, call: Call, token: IdempotencyToken) -> Answer:
        """Return the owner's answer; raise ``Refusal`` if there is none."""
        ...

    async def look_up(self, token: IdempotencyToken, workspace: str) -> TokenStatus:
        """Return the state of a token that another router minted."""
        ...


class TokenController(Service):
    """
    Answers calls; calls that are not idempotent need an idempotency token.

    :param board: shared state of this router.
    :param call_handler: runs calls.
    :param token_relay: relays calls whose tokens other routers minted.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        call_handler: CallHandler,
        token_relay: TokenRelay,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._call_handler = call_handler
        self._token_relay = token_relay
        self._clock = clock
        self._runs: dict[str, TokenRun] = {}

    def mint(
        self, workspace: str, lifetime: float = DEFAULT_LIFETIME_SECONDS
    ) -> MintedToken:
        """
        Return a newly minted token.

        :raises Refusal: if the router is draining or its token table is full.
        """
        if self._board.lifecycle.is_draining:
            raise Draining("the router is shutting down", retry_after=0.0)
        now = self._clock()
        section = self._board.tokens
        if section.token_table.is_full(workspace, now):
            raise TokenTableFull(
                "too many idempotency tokens are in use",
                retry_after=TABLE_FULL_RETRY_AFTER_SECONDS,
            )
        lifetime = min(lifetime, MAX_LIFETIME_SECONDS)
        expires_after_ms = int((now + lifetime - section.started_at) * 1000)
        nonce = secrets.token_bytes(NONCE_BYTES)
        owner = self._board.identity
        token = mint_token(owner, expires_after_ms, nonce, section.mac_key, workspace)
        return MintedToken(token.format(), lifetime)

    async def answer(self, call: Call) -> Answer:
        """
        Return the answer to a call as soon as its headers are known.

        :raises Refusal: if the call is refused or failed.
        """
        if call.rule.idempotent:
            if self._board.lifecycle.is_draining:
                raise Draining("the router is shutting down", retry_after=0.0)
            return await self._call_handler.answer(call)
        if not call.token:
            raise self._create_token_required(call)
        check_call_size(call)
        token = require_valid_token(call.token)
        if token.owner != self._board.identity:
            return await self._token_relay.relay(call, token)
        return await self.run_with_token(call, token)

    async def look_up(self, text: str, workspace: str) -> TokenStatus:
        """
        Return the state of a token, asking its owner if necessary.

        :raises InvalidToken: if it is not a token of the workspace.
        """
        token = require_valid_token(text)
        if token.owner != self._board.identity:
            return await self._token_relay.look_up(token, workspace)
        return self.look_up_own_token(token, workspace)

    def look_up_own_token(self, token: IdempotencyToken, workspace: str) -> TokenStatus:
        """
        Return the state of a token that this process minted.

        :raises InvalidToken: if it is not a token of the workspace.
        """
        self._verify_token(token, workspace)
        text = token.format()
        table = self._board.tokens.token_table
        state = table.find_state(text, self._compute_expiry(token), self._clock())
        entry = table.entries.get(text)
        return TokenStatus(state, entry.status if entry else 0)

    async def run_with_token(
        self, call: Call, token: IdempotencyToken, attempt_id: bytes = b""
    ) -> Answer:
        """
        Run the call, join its current run or repeat its recorded answer.

        :param call: the call.
        :param token: the call's token, minted by this process.
        :param attempt_id: identifies a relayed attempt, empty if not relayed.
        :raises Refusal: if the call is refused or failed.
        """
        self._verify_token(token, call.workspace.name)
        claim = TokenClaim(
            token=call.token,
            workspace=call.workspace.name,
            fingerprint=fingerprint_request(call),
            expires_at=self._compute_expiry(token),
            attempt=attempt_id,
        )
        table = self._board.tokens.token_table
        draining = self._board.lifecycle.is_draining
        decision = table.decide_claim(claim, self._clock(), draining=draining)
        if decision.action is ClaimAction.RUN:
            self._start_run(call)
            return await self._join_run(call, REFUSAL_GRACE_SECONDS)
        if decision.action is ClaimAction.JOIN:
            return await self._join_run(call, 0.0)
        if decision.answer is not None:
            self._board.outcomes.count_event("token_replay")
            return create_replayed_answer(decision.answer)
        raise create_token_refusal(decision.action)

    def _start_run(self, call: Call) -> None:
        run = self._runs[call.token] = TokenRun(self._clock)
        self.add_future(self._execute_run(call, run))

    async def _join_run(self, call: Call, grace_seconds: float) -> Answer:
        run = self._runs[call.token]
        reader = await run.wait_for_headers(call.deadline + grace_seconds)
        return Answer(run.answer_head.status, run.answer_head.headers, reader)

    async def _execute_run(self, call: Call, run: TokenRun) -> None:
        """Run a call and record its outcome in the token table."""
        self._board.lifecycle.begin_request()
        table = self._board.tokens.token_table
        try:
            answer = await self._call_handler.answer(call)
            recorded = await run.consume_answer(answer)
            table.finish(call.token, answer.status, recorded, self._clock())
            run.mark_complete()
        except Refusal as refusal:
            run.mark_refused(self._record_refusal(call, refusal))
        except BaseException as error:
            table.mark_outcome_unknown(call.token, self._clock())
            run.mark_broken(
                OutcomeUnknown(f"the call broke off: {error!r}", was_run="unknown")
            )
            if not isinstance(error, Exception):
                raise
        finally:
            del self._runs[call.token]
            self._board.lifecycle.end_request()

    def _record_refusal(self, call: Call, refusal: Refusal) -> Refusal:
        """
        Record the refusal of a run and return what the caller gets.

        The token may be used again only if the call certainly did not run.
        """
        table = self._board.tokens.token_table
        if refusal.was_run != "no":
            table.mark_outcome_unknown(call.token, self._clock())
            return refusal
        if table.release(call.token, self._clock()):
            return refusal
        return AttemptsExhausted(refusal.detail, was_run="unknown")

    def _create_token_required(self, call: Call) -> Refusal:
        """Return the refusal that offers the caller a newly minted token."""
        minted = self.mint(call.workspace.name)
        return TokenRequired(
            "the call is not idempotent and has no idempotency token",
            problem_members={
                "idempotency_token": minted.text,
                "expires_in": str(round(minted.expires_in)),
            },
        )

    def _verify_token(self, token: IdempotencyToken, workspace: str) -> None:
        if not verify_token(token, self._board.tokens.mac_key, workspace):
            raise InvalidToken("the token was not minted for this workspace")

    def _compute_expiry(self, token: IdempotencyToken) -> float:
        return self._board.tokens.started_at + token.expires_after_ms / 1000


def require_valid_token(text: str) -> IdempotencyToken:
    """
    Return the parsed token.

    :raises InvalidToken: if the text is not a token.
    """
    token = parse_token(text)
    if token is None:
        raise InvalidToken("the text is not an idempotency token")
    return token


def check_call_size(call: Call) -> None:
    """
    Check that a call is small enough for any router to relay it.

    :raises BodyTooLarge: if it is not.
    """
    header_bytes = sum(len(name) + len(value) for name, value in call.headers)
    if len(call.body) + len(call.path) + header_bytes > MAX_CALL_BYTES:
        raise BodyTooLarge(
            f"a call that is not idempotent must not exceed {MAX_CALL_BYTES} bytes"
        )


def create_replayed_answer(recorded: RecordedAnswer) -> Answer:
    """Return a recorded answer as an answer to a caller."""
    return Answer(recorded.status, recorded.headers, RecordedBody(recorded.body))


def create_token_refusal(action: ClaimAction) -> Refusal:
    """Return the refusal of a call whose token cannot be used."""
    if action is ClaimAction.MISMATCH:
        return TokenMismatch("the token was first used with another request")
    if action is ClaimAction.EXPIRED:
        return TokenExpired("the token expired before it was used")
    if action is ClaimAction.FORGOTTEN:
        return TokenExpired(
            "the token expired long ago and its state is no longer kept",
            was_run="unknown",
        )
    if action is ClaimAction.FULL:
        return TokenTableFull(
            "too many idempotency tokens are in use",
            retry_after=TABLE_FULL_RETRY_AFTER_SECONDS,
        )
    if action is ClaimAction.DRAINING:
        return Draining(
            "the router that minted the token is shutting down",
            remedy="mint a new token and send the call with that",
            retry_after=0.0,
        )
    if action is ClaimAction.ALREADY_REFUSED:
        return AttemptsExhausted("this attempt was already refused")
    if action is ClaimAction.ANSWER_GONE:
        return AnswerGone(
            "the call was run, but its answer is no longer kept", was_run="yes"
        )
    return OutcomeUnknown(
        "the call was sent, but its outcome is unknown", was_run="unknown"
    )
