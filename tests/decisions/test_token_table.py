"""Tests of token states in arbitrary orders of events."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sycamorehaven.decisions.idempotency_tokens import (
    IdempotencyToken,
    mint_token,
    verify_token,
)
from sycamorehaven.decisions.token_table import (
    MAX_ATTEMPTS,
    RETENTION_SECONDS,
    ClaimAction,
    RecordedAnswer,
    TokenClaim,
    TokenState,
    TokenTable,
)
from sycamorehaven.identity import RouterId

TOKEN_LIFETIME_SECONDS = 10.0
TOKEN_SLOTS = 2
"""Number of tokens that the state machine uses at a time."""
SLOT_INDEXES = strategies.integers(0, TOKEN_SLOTS - 1)
MAX_TOKENS = 6
MAX_ANSWER_BYTES = 1_000


class TokenTableMachine(RuleBasedStateMachine):
    """
    Owner of tokens that crashes and restarts, and callers that retry.

    :ivar now: simulated monotonic time, seconds.
    :ivar minted: number of minted tokens.
    :ivar runs: number of times that a call reached a server, by token.
    :ivar running: tokens whose calls are running.
    :ivar reported_unrun: tokens and attempts reported as not run.
    :ivar tokens: current token in each slot.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.minted = 0
        self.runs: Counter[str] = Counter()
        self.running: set[str] = set()
        self.reported_unrun: set[tuple[str, bytes]] = set()
        self.tokens: list[IdempotencyToken] = []
        self.start_owner(1)
        for slot in range(TOKEN_SLOTS):
            self.mint_in_slot(slot)

    def start_owner(self, incarnation: int) -> None:
        """Start the owner process with an empty table."""
        self.identity = RouterId("a1", incarnation)
        self.key = bytes([incarnation]) * 32
        self.started_at = self.now
        self.table = TokenTable(MAX_TOKENS, MAX_TOKENS, MAX_ANSWER_BYTES)
        self.running.clear()

    def is_expired(self, token: IdempotencyToken) -> bool:
        """Return whether no call with a token can start any more."""
        expires_at = self.started_at + token.expires_after_ms / 1000
        return token.owner != self.identity or self.now >= expires_at

    @rule(slot=SLOT_INDEXES)
    def mint_in_slot(self, slot: int) -> None:
        """Mint a token in a slot whose token has expired."""
        if slot < len(self.tokens) and not self.is_expired(self.tokens[slot]):
            return
        self.minted += 1
        nonce = self.minted.to_bytes(12)
        expires_after_ms = int(
            (self.now - self.started_at + TOKEN_LIFETIME_SECONDS) * 1000
        )
        token = mint_token(self.identity, expires_after_ms, nonce, self.key, "oakcourt")
        self.tokens[slot : slot + 1] = [token]

    @rule(
        slot=SLOT_INDEXES,
        body=strategies.sampled_from([b"same", b"same", b"other"]),
        attempt=strategies.sampled_from([b"", b"1", b"2"]),
        draining=strategies.sampled_from([False, False, False, True]),
    )
    def send_call(self, slot: int, body: bytes, attempt: bytes, draining: bool) -> None:
        """Send a call with a token, directly or relayed by another router."""
        token = self.tokens[slot]
        is_own = token.owner == self.identity
        assert verify_token(token, self.key, "oakcourt") == is_own
        if not is_own:
            return
        expires_at = self.started_at + token.expires_after_ms / 1000
        claim = TokenClaim(token.format(), "oakcourt", body, expires_at, attempt)
        decision = self.table.decide_claim(claim, self.now, draining=draining)
        if decision.action is ClaimAction.RUN:
            assert not self.runs[claim.token]
            assert not draining
            assert (claim.token, attempt) not in self.reported_unrun or not attempt
            self.running.add(claim.token)
        if decision.action in (
            ClaimAction.EXPIRED,
            ClaimAction.DRAINING,
            ClaimAction.FULL,
        ):
            assert not self.runs[claim.token]
        if decision.action is ClaimAction.REPLAY:
            assert self.runs[claim.token] == 1

    @rule(slot=SLOT_INDEXES, can_connect=strategies.sampled_from([True, True, False]))
    def send_to_server(self, slot: int, can_connect: bool) -> None:
        """Try to send a call to a server; the connection may fail."""
        token = self.tokens[slot]
        text = token.format()
        if not self.table.mark_sent(text, self.now):
            return
        assert self.now < self.started_at + token.expires_after_ms / 1000
        if can_connect:
            self.runs[text] += 1
        else:
            self.table.mark_unsent(text)

    @rule(slot=SLOT_INDEXES, size=strategies.integers(0, 600))
    def finish(self, slot: int, size: int) -> None:
        """Receive the complete answer of a run."""
        text = self.tokens[slot].format()
        if text in self.running and self.table.is_sent(text):
            answer = RecordedAnswer(201, (), bytes(size))
            self.table.finish(text, 201, answer, self.now)
            self.running.discard(text)

    @rule(slot=SLOT_INDEXES)
    def refuse(self, slot: int) -> None:
        """Refuse a waiting run and report this to all its attempts."""
        text = self.tokens[slot].format()
        if text not in self.running:
            return
        attempts = set(self.table.entries[text].attempts)
        if self.table.release(text, self.now):
            assert not self.runs[text]
            self.reported_unrun |= {(text, attempt) for attempt in attempts}
        self.running.discard(text)

    @rule(slot=SLOT_INDEXES)
    def lose(self, slot: int) -> None:
        """Lose the server during a run."""
        text = self.tokens[slot].format()
        if text in self.running:
            self.table.mark_outcome_unknown(text, self.now)
            self.running.discard(text)

    @rule(seconds=strategies.sampled_from([0.1, 0.1, 3.0, 4.0, TOKEN_LIFETIME_SECONDS]))
    def pass_time(self, seconds: float) -> None:
        """Let time pass, as if the process were paused."""
        self.now += seconds

    @rule()
    def pass_retention(self) -> None:
        """Let the retention time pass if all tokens have expired."""
        if all(self.is_expired(token) for token in self.tokens):
            self.now += RETENTION_SECONDS

    @rule(should_crash=strategies.sampled_from([False, False, True]))
    def crash(self, should_crash: bool) -> None:
        """Kill the owner process and restart it with an empty table."""
        if should_crash:
            self.start_owner(self.identity.incarnation + 1)

    @invariant()
    def nothing_ran_twice(self) -> None:
        """Check that no call was sent twice and that memory is bounded."""
        assert all(count <= 1 for count in self.runs.values())
        assert len(self.table) <= MAX_TOKENS
        assert self.table.answer_bytes <= MAX_ANSWER_BYTES


def test_no_token_runs_twice_in_any_order() -> None:
    run_state_machine_as_test(
        TokenTableMachine,
        settings=settings(
            derandomize=True, deadline=None, max_examples=400, stateful_step_count=30
        ),
    )


def create_claim(
    name: str, expires_at: float = 100.0, attempt: bytes = b""
) -> TokenClaim:
    """Return the use of a token by a call."""
    return TokenClaim(name, "oakcourt", b"request", expires_at, attempt)


def test_full_table_refuses_new_tokens_and_keeps_used_ones() -> None:
    table = TokenTable(max_tokens=2)
    for name in ("one", "two"):
        assert table.decide_claim(create_claim(name), 0.0).action is ClaimAction.RUN
        table.mark_sent(name, 0.0)
        table.mark_outcome_unknown(name, 1.0)
    assert table.decide_claim(create_claim("three"), 2.0).action is ClaimAction.FULL
    assert table.is_full("oakcourt", 2.0)
    assert (
        table.decide_claim(create_claim("one"), 2.0).action
        is ClaimAction.OUTCOME_UNKNOWN
    )
    later = create_claim("three", 100.0 + 2 * RETENTION_SECONDS)
    assert (
        table.decide_claim(later, 101.0 + RETENTION_SECONDS).action is ClaimAction.RUN
    )


def test_workspace_cannot_exhaust_the_table() -> None:
    table = TokenTable(max_tokens=10, max_workspace_tokens=2)
    for name in ("one", "two"):
        assert table.decide_claim(create_claim(name), 0.0).action is ClaimAction.RUN
    assert table.decide_claim(create_claim("three"), 0.0).action is ClaimAction.FULL
    other = create_claim("three")._replace(workspace="elmplace")
    assert table.decide_claim(other, 0.0).action is ClaimAction.RUN


def test_call_whose_answer_was_evicted_never_runs_again() -> None:
    table = TokenTable(max_answer_bytes=1_000)
    for name in ("one", "two"):
        table.decide_claim(create_claim(name), 0.0)
        table.mark_sent(name, 0.0)
        table.finish(name, 201, RecordedAnswer(201, (), bytes(500)), 1.0)
    assert (
        table.decide_claim(create_claim("one"), 2.0).action is ClaimAction.ANSWER_GONE
    )
    assert table.decide_claim(create_claim("two"), 2.0).action is ClaimAction.REPLAY
    assert table.find_state("one", 100.0, 2.0) is TokenState.FINISHED


def test_late_duplicate_of_a_refused_attempt_does_not_run() -> None:
    table = TokenTable()
    claim = create_claim("one", attempt=b"first")
    assert table.decide_claim(claim, 0.0).action is ClaimAction.RUN
    assert table.release("one", 1.0)
    assert table.decide_claim(claim, 50.0).action is ClaimAction.ALREADY_REFUSED
    next_attempt = create_claim("one", attempt=b"second")
    assert table.decide_claim(next_attempt, 51.0).action is ClaimAction.RUN


def test_recorded_attempts_are_bounded() -> None:
    table = TokenTable()
    for number in range(MAX_ATTEMPTS):
        table.decide_claim(create_claim("one", attempt=bytes([number])), 0.0)
        table.release("one", 0.0)
    last = create_claim("one", attempt=bytes([MAX_ATTEMPTS]))
    assert table.decide_claim(last, 0.0).action is ClaimAction.FULL


def test_removed_token_is_not_reported_as_unused() -> None:
    table = TokenTable()
    claim = create_claim("one")
    table.decide_claim(claim, 0.0)
    table.mark_sent("one", 0.0)
    table.mark_outcome_unknown("one", 1.0)
    assert (
        table.decide_claim(claim, 99.0 + RETENTION_SECONDS).action
        is ClaimAction.OUTCOME_UNKNOWN
    )
    assert (
        table.decide_claim(claim, 101.0 + RETENTION_SECONDS).action
        is ClaimAction.FORGOTTEN
    )
    assert len(table) == 0


def test_expiry_is_checked_again_before_sending() -> None:
    table = TokenTable()
    assert table.decide_claim(create_claim("one"), 99.0).action is ClaimAction.RUN
    assert not table.mark_sent("one", 100.0)
    assert table.release("one", 100.0)
    assert table.decide_claim(create_claim("one"), 100.0).action is ClaimAction.EXPIRED
