"""Runs each call that is not idempotent at most once."""

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
"""Seconds from minting to expiry if the caller names none."""
MAX_LIFETIME_SECONDS = 3_600.0
"""Seconds."""
TABLE_FULL_RETRY_AFTER_SECONDS = 30.0
"""Seconds a caller is asked to wait when the table of tokens is full."""
REFUSAL_GRACE_SECONDS = 0.5
"""Seconds past its deadline for which a call waits for its own refusal."""
MAX_CALL_BYTES = MAX_MESSAGE_BYTES - 65_536
"""Bytes of the body and headers of a call that any router can relay."""


class MintedToken(NamedTuple):
    """
    A fresh token.

    :ivar text: the token.
    :ivar expires_in: seconds until its expiry.
    """

    text: str
    expires_in: float


class TokenStatus(NamedTuple):
    """
    What is known of a token.

    :ivar state: its state.
    :ivar status: HTTP status of the finished call, or 0.
    """

    state: TokenState
    status: int = 0


class TokenRelay(Protocol):
    """Reaches the owners of other routers' tokens."""

    async def relay(self, call: Call, token: IdempotencyToken) -> Answer:
        """Return the owner's answer; raise ``Refusal`` if there is none."""
        ...

    async def look_up(self, token: IdempotencyToken, workspace: str) -> TokenStatus:
        """Return the state of another router's token."""
        ...


class TokenController(Service):
    """
    Answers calls; those that are not idempotent need a token.

    :param board: the state of this router.
    :param calls: runs calls.
    :param relay: reaches the owners of other routers' tokens.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        calls: CallHandler,
        relay: TokenRelay,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._board = board
        self._calls = calls
        self._token_relay = relay
        self._clock = clock
        self._runs: dict[str, TokenRun] = {}

    def mint(
        self, workspace: str, lifetime: float = DEFAULT_LIFETIME_SECONDS
    ) -> MintedToken:
        """
        Return a fresh token.

        :raises Refusal: if this router could not run a call with it.
        """
        if self._board.lifecycle.draining:
            raise Draining("the router is shutting down", retry_after=0.0)
        now = self._clock()
        section = self._board.tokens
        if section.table.is_full(workspace, now):
            raise TokenTableFull(
                "too many tokens are in use", retry_after=TABLE_FULL_RETRY_AFTER_SECONDS
            )
        lifetime = min(lifetime, MAX_LIFETIME_SECONDS)
        expires_after = int((now + lifetime - section.started_at) * 1000)
        nonce = secrets.token_bytes(NONCE_BYTES)
        owner = self._board.identity
        token = mint_token(owner, expires_after, nonce, section.key, workspace)
        return MintedToken(token.format(), lifetime)

    async def answer(self, call: Call) -> Answer:
        """
        Return the answer to a call once its headers are known.

        :raises Refusal: if the call is refused or failed.
        """
        if call.rule.idempotent:
            if self._board.lifecycle.draining:
                raise Draining("the router is shutting down", retry_after=0.0)
            return await self._calls.answer(call)
        if not call.token:
            raise self._create_token_required(call)
        check_call_size(call)
        token = require_valid_token(call.token)
        if token.owner != self._board.identity:
            return await self._token_relay.relay(call, token)
        return await self.run_with_token(call, token)

    async def look_up(self, text: str, workspace: str) -> TokenStatus:
        """
        Return the state of a token, through its owner.

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
        table = self._board.tokens.table
        state = table.find_state(text, self._compute_expiry(token), self._clock())
        entry = table.entries.get(text)
        return TokenStatus(state, entry.status if entry else 0)

    async def run_with_token(
        self, call: Call, token: IdempotencyToken, attempt: bytes = b""
    ) -> Answer:
        """
        Run the call, join its run or repeat its answer.

        :param token: a token that names this process.
        :param attempt: identifies a relayed attempt.
        :raises Refusal: if the call is refused or failed.
        """
        self._verify_token(token, call.workspace.name)
        claim = TokenClaim(
            token=call.token,
            workspace=call.workspace.name,
            fingerprint=fingerprint_request(call),
            expires_at=self._compute_expiry(token),
            attempt=attempt,
        )
        table = self._board.tokens.table
        draining = self._board.lifecycle.draining
        use = table.decide_claim(claim, self._clock(), draining=draining)
        if use.action is ClaimAction.RUN:
            self._start_run(call)
            return await self._join_run(call, REFUSAL_GRACE_SECONDS)
        if use.action is ClaimAction.JOIN:
            return await self._join_run(call, 0.0)
        if use.answer is not None:
            self._board.outcomes.count_event("token_replay")
            return create_replayed_answer(use.answer)
        raise create_token_refusal(use.action)

    def _start_run(self, call: Call) -> None:
        run = self._runs[call.token] = TokenRun(self._clock)
        self.add_future(self._execute_run(call, run))

    async def _join_run(self, call: Call, grace_seconds: float) -> Answer:
        run = self._runs[call.token]
        reader = await run.wait_for_headers(call.deadline + grace_seconds)
        return Answer(run.answer_head.status, run.answer_head.headers, reader)

    async def _execute_run(self, call: Call, run: TokenRun) -> None:
        self._board.lifecycle.enter()
        table = self._board.tokens.table
        try:
            answer = await self._calls.answer(call)
            recorded = await run.consume_answer(answer)
            table.finish(call.token, answer.status, recorded, self._clock())
            run.mark_complete()
        except Refusal as refusal:
            run.mark_refused(self._release_token(call, refusal))
        except BaseException as error:
            table.mark_outcome_unknown(call.token, self._clock())
            run.mark_broken(
                OutcomeUnknown(f"it broke off: {error!r}", was_run="unknown")
            )
            if not isinstance(error, Exception):
                raise
        finally:
            del self._runs[call.token]
            self._board.lifecycle.leave()

    def _release_token(self, call: Call, refusal: Refusal) -> Refusal:
        table = self._board.tokens.table
        if refusal.was_run != "no":
            table.mark_outcome_unknown(call.token, self._clock())
            return refusal
        if table.release(call.token, self._clock()):
            return refusal
        return AttemptsExhausted(refusal.detail, was_run="unknown")

    def _create_token_required(self, call: Call) -> Refusal:
        minted = self.mint(call.workspace.name)
        return TokenRequired(
            "the call is not idempotent",
            problem_members={
                "idempotency_token": minted.text,
                "expires_in": str(round(minted.expires_in)),
            },
        )

    def _verify_token(self, token: IdempotencyToken, workspace: str) -> None:
        if not verify_token(token, self._board.tokens.key, workspace):
            raise InvalidToken("the token was not minted for this workspace")

    def _compute_expiry(self, token: IdempotencyToken) -> float:
        return self._board.tokens.started_at + token.expires_after_ms / 1000


def require_valid_token(text: str) -> IdempotencyToken:
    """
    Return the token that a text stands for.

    :raises InvalidToken: if it is not one.
    """
    token = parse_token(text)
    if token is None:
        raise InvalidToken("the text is not an idempotency token")
    return token


def check_call_size(call: Call) -> None:
    """
    Check that any router can relay a call.

    :raises BodyTooLarge: if it can't be.
    """
    header_bytes = sum(len(name) + len(value) for name, value in call.headers)
    if len(call.body) + len(call.path) + header_bytes > MAX_CALL_BYTES:
        raise BodyTooLarge(
            f"the limit of a call that is not idempotent is {MAX_CALL_BYTES} bytes"
        )


def create_replayed_answer(recorded: RecordedAnswer) -> Answer:
    """Return a recorded answer as an answer to a caller."""
    return Answer(recorded.status, recorded.headers, RecordedBody(recorded.body))


def create_token_refusal(action: ClaimAction) -> Refusal:
    """Return the refusal of a call whose token can't be used."""
    if action is ClaimAction.MISMATCH:
        return TokenMismatch("the token was first used with another request")
    if action is ClaimAction.EXPIRED:
        return TokenExpired("the token expired unused")
    if action is ClaimAction.FORGOTTEN:
        return TokenExpired("the token expired long ago", was_run="unknown")
    if action is ClaimAction.FULL:
        return TokenTableFull(
            "too many tokens are in use", retry_after=TABLE_FULL_RETRY_AFTER_SECONDS
        )
    if action is ClaimAction.DRAINING:
        return Draining(
            "the router that minted the token is shutting down",
            remedy="mint a new token and send the call with that",
            retry_after=0.0,
        )
    if action is ClaimAction.ALREADY_REFUSED:
        return AttemptsExhausted("this attempt was refused before")
    if action is ClaimAction.ANSWER_GONE:
        return AnswerGone("the call ran; its answer is not kept", was_run="yes")
    return OutcomeUnknown("the call was sent, its end was not seen", was_run="unknown")
