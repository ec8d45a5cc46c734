"""States of tokens, whatever the order of events."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from sycamorehaven.decisions.token_table import (
    MOST_ATTEMPTS,
    RETENTION,
    Action,
    Claim,
    RecordedAnswer,
    State,
    TokenTable,
)
from sycamorehaven.decisions.tokens import Token, mint_token, verify_token
from sycamorehaven.identity import RouterId

LIFETIME = 10.0
SLOTS = 2
SLOT = strategies.integers(0, SLOTS - 1)
MOST_TOKENS = 6
MOST_ANSWER_BYTES = 1_000


class Fleet(RuleBasedStateMachine):
    """One owner that crashes and restarts, and callers that send again."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.minted = 0
        self.runs: Counter[str] = Counter()
        self.running: set[str] = set()
        self.told_not_run: set[tuple[str, bytes]] = set()
        self.tokens: list[Token] = []
        self.start(1)
        for slot in range(SLOTS):
            self.mint(slot)

    def start(self, incarnation: int) -> None:
        """Start the owner with an empty memory."""
        self.identity = RouterId("a1", incarnation)
        self.key = bytes([incarnation]) * 32
        self.started_at = self.now
        self.table = TokenTable(MOST_TOKENS, MOST_TOKENS, MOST_ANSWER_BYTES)
        self.running.clear()

    def is_over(self, token: Token) -> bool:
        """Return whether no call with a token can run any more."""
        expires_at = self.started_at + token.expires_after / 1000
        return token.owner != self.identity or self.now >= expires_at

    @rule(slot=SLOT)
    def mint(self, slot: int) -> None:
        """Mint a token in place of one that is over."""
        if slot < len(self.tokens) and not self.is_over(self.tokens[slot]):
            return
        self.minted += 1
        nonce = self.minted.to_bytes(12)
        after = int((self.now - self.started_at + LIFETIME) * 1000)
        token = mint_token(self.identity, after, nonce, self.key, "oakcourt")
        self.tokens[slot : slot + 1] = [token]

    @rule(
        slot=SLOT,
        body=strategies.sampled_from([b"same", b"same", b"other"]),
        attempt=strategies.sampled_from([b"", b"1", b"2"]),
        draining=strategies.sampled_from([False, False, False, True]),
    )
    def send_call(self, slot: int, body: bytes, attempt: bytes, draining: bool) -> None:
        """Use a token, first or again, directly or relayed."""
        token = self.tokens[slot]
        own = token.owner == self.identity
        assert verify_token(token, self.key, "oakcourt") == own
        if not own:
            return
        expires_at = self.started_at + token.expires_after / 1000
        claim = Claim(token.format(), "oakcourt", body, expires_at, attempt)
        use = self.table.use(claim, self.now, draining=draining)
        if use.action is Action.RUN:
            assert not self.runs[claim.token]
            assert not draining
            assert (claim.token, attempt) not in self.told_not_run or not attempt
            self.running.add(claim.token)
        if use.action in (Action.EXPIRED, Action.DRAINING, Action.FULL):
            assert not self.runs[claim.token]
        if use.action is Action.REPLAY:
            assert self.runs[claim.token] == 1

    @rule(slot=SLOT, connects=strategies.sampled_from([True, True, False]))
    def send_to_server(self, slot: int, connects: bool) -> None:
        """Try to send a call under a permit; the connect may fail."""
        token = self.tokens[slot]
        text = token.format()
        if not self.table.mark_sent(text, self.now):
            return
        assert self.now < self.started_at + token.expires_after / 1000
        if connects:
            self.runs[text] += 1
        else:
            self.table.mark_unsent(text)

    @rule(slot=SLOT, size=strategies.integers(0, 600))
    def finish(self, slot: int, size: int) -> None:
        """Take the whole answer of a run."""
        text = self.tokens[slot].format()
        if text in self.running and self.table.is_sent(text):
            answer = RecordedAnswer(201, (), bytes(size))
            self.table.finish(text, 201, answer, self.now)
            self.running.discard(text)

    @rule(slot=SLOT)
    def refuse(self, slot: int) -> None:
        """Refuse a run that waits; every attempt that joined hears it."""
        text = self.tokens[slot].format()
        if text not in self.running:
            return
        attempts = set(self.table.entries[text].attempts)
        if self.table.release(text, self.now):
            assert not self.runs[text]
            self.told_not_run |= {(text, attempt) for attempt in attempts}
        self.running.discard(text)

    @rule(slot=SLOT)
    def lose(self, slot: int) -> None:
        """Lose the server in the middle of a run."""
        text = self.tokens[slot].format()
        if text in self.running:
            self.table.lose(text, self.now)
            self.running.discard(text)

    @rule(seconds=strategies.sampled_from([0.1, 0.1, 3.0, 4.0, LIFETIME]))
    def pass_time(self, seconds: float) -> None:
        """Let time pass, as for a paused process."""
        self.now += seconds

    @rule()
    def pass_retention(self) -> None:
        """Let the time pass after which ended tokens are forgotten."""
        if all(self.is_over(token) for token in self.tokens):
            self.now += RETENTION

    @rule(die=strategies.sampled_from([False, False, True]))
    def crash(self, die: bool) -> None:
        """Kill the owner and start it again with an empty memory."""
        if die:
            self.start(self.identity.incarnation + 1)

    @invariant()
    def nothing_ran_twice(self) -> None:
        """No token was sent twice; memory stays bounded."""
        assert all(count <= 1 for count in self.runs.values())
        assert len(self.table) <= MOST_TOKENS
        assert self.table.answer_bytes <= MOST_ANSWER_BYTES


def test_no_token_runs_twice_whatever_the_order() -> None:
    run_state_machine_as_test(
        Fleet,
        settings=settings(
            derandomize=True, deadline=None, max_examples=400, stateful_step_count=30
        ),
    )


def claim_token(name: str, expires_at: float = 100.0, attempt: bytes = b"") -> Claim:
    """Return a call with a token."""
    return Claim(name, "oakcourt", b"request", expires_at, attempt)


def test_full_table_refuses_rather_than_forgets() -> None:
    table = TokenTable(most_tokens=2)
    for name in ("one", "two"):
        assert table.use(claim_token(name), 0.0).action is Action.RUN
        table.mark_sent(name, 0.0)
        table.lose(name, 1.0)
    assert table.use(claim_token("three"), 2.0).action is Action.FULL
    assert table.is_full("oakcourt", 2.0)
    assert table.use(claim_token("one"), 2.0).action is Action.OUTCOME_UNKNOWN
    later = claim_token("three", 100.0 + 2 * RETENTION)
    assert table.use(later, 101.0 + RETENTION).action is Action.RUN


def test_workspace_cannot_fill_the_table_for_others() -> None:
    table = TokenTable(most_tokens=10, most_workspace_tokens=2)
    for name in ("one", "two"):
        assert table.use(claim_token(name), 0.0).action is Action.RUN
    assert table.use(claim_token("three"), 0.0).action is Action.FULL
    other = claim_token("three")._replace(workspace="elmplace")
    assert table.use(other, 0.0).action is Action.RUN


def test_evicted_answer_is_gone_and_never_run_again() -> None:
    table = TokenTable(most_answer_bytes=1_000)
    for name in ("one", "two"):
        table.use(claim_token(name), 0.0)
        table.mark_sent(name, 0.0)
        table.finish(name, 201, RecordedAnswer(201, (), bytes(500)), 1.0)
    assert table.use(claim_token("one"), 2.0).action is Action.ANSWER_GONE
    assert table.use(claim_token("two"), 2.0).action is Action.REPLAY
    assert table.look_up("one", 100.0, 2.0) is State.FINISHED


def test_late_repeat_of_a_refused_attempt_does_not_run() -> None:
    table = TokenTable()
    claim = claim_token("one", attempt=b"first")
    assert table.use(claim, 0.0).action is Action.RUN
    assert table.release("one", 1.0)
    assert table.use(claim, 50.0).action is Action.ALREADY_REFUSED
    again = claim_token("one", attempt=b"second")
    assert table.use(again, 51.0).action is Action.RUN


def test_attempts_that_are_remembered_are_bounded() -> None:
    table = TokenTable()
    for number in range(MOST_ATTEMPTS):
        table.use(claim_token("one", attempt=bytes([number])), 0.0)
        table.release("one", 0.0)
    last = claim_token("one", attempt=bytes([MOST_ATTEMPTS]))
    assert table.use(last, 0.0).action is Action.FULL


def test_forgotten_token_is_not_said_to_be_unused() -> None:
    table = TokenTable()
    claim = claim_token("one")
    table.use(claim, 0.0)
    table.mark_sent("one", 0.0)
    table.lose("one", 1.0)
    assert table.use(claim, 99.0 + RETENTION).action is Action.OUTCOME_UNKNOWN
    assert table.use(claim, 101.0 + RETENTION).action is Action.FORGOTTEN
    assert len(table) == 0


def test_expiry_is_checked_again_at_the_moment_of_sending() -> None:
    table = TokenTable()
    assert table.use(claim_token("one"), 99.0).action is Action.RUN
    assert not table.mark_sent("one", 100.0)
    assert table.release("one", 100.0)
    assert table.use(claim_token("one"), 100.0).action is Action.EXPIRED
