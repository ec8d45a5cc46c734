"""
What became of the tokens that one router process minted.

A used token stays in the table until its expiry and a while longer, so that
it is never taken for an unused one; when the table is full, further tokens
are refused rather than used ones forgotten. Recorded answers have a bound of
their own and are dropped first.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

RETENTION_SECONDS = 300.0
"""Seconds for which a token is remembered after its expiry or its end."""
MAX_TOKENS = 10_000
"""Used tokens remembered by one router."""
MAX_WORKSPACE_TOKENS = 2_500
"""Used tokens remembered for one workspace."""
MAX_TOTAL_ANSWER_BYTES = 4_194_304
"""Bytes of all recorded answers."""
MAX_ANSWER_BYTES = 1_048_576
"""Bytes of one recorded answer; a larger one is passed on, not recorded."""
ANSWER_OVERHEAD_BYTES = 256
"""Bytes counted for a recorded answer besides its body and headers."""
MAX_ATTEMPTS = 32
"""Relayed attempts remembered for one token."""


class TokenState(StrEnum):
    """State of a token, as told to callers."""

    UNUSED = "unused"
    RUNNING = "running"
    FINISHED = "finished"
    EXPIRED = "expired"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"


class ClaimAction(StrEnum):
    """What to do with a call that bears a token."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"
    ANSWER_GONE = "answer_gone"
    MISMATCH = "mismatch"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"
    FULL = "full"
    DRAINING = "draining"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ALREADY_REFUSED = "already_refused"


class RecordedAnswer(NamedTuple):
    """
    A whole answer.

    :ivar status: HTTP status.
    :ivar headers: its headers.
    :ivar body: its body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Bytes counted against the bound of recorded answers."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return ANSWER_OVERHEAD_BYTES + headers + len(self.body)


class TokenClaim(NamedTuple):
    """
    A call that bears a verified token.

    :ivar token: text of the token.
    :ivar workspace: whose call it is.
    :ivar request: fingerprint of the request.
    :ivar expires_at: expiry of the token, monotonic seconds.
    :ivar attempt: identifies the relayed attempt, empty for a direct call.
    """

    token: str
    workspace: str
    fingerprint: bytes
    expires_at: float
    attempt: bytes = b""


class ClaimDecision(NamedTuple):
    """
    What to do with a claim.

    :ivar action: what to do.
    :ivar answer: the answer to replay.
    """

    action: ClaimAction
    answer: RecordedAnswer | None = None


class TokenEntry:
    """
    A token that has been used.

    :param claim: the first call that used it.
    """

    __slots__ = (
        "answer",
        "attempts",
        "ended_at",
        "expires_at",
        "fingerprint",
        "sent",
        "state",
        "status",
        "workspace",
    )

    def __init__(self, claim: TokenClaim) -> None:
        self.workspace = claim.workspace
        self.fingerprint = claim.fingerprint
        self.expires_at = claim.expires_at
        self.state = TokenState.RUNNING
        self.sent = False
        self.ended_at = 0.0
        self.status = 0
        self.answer: RecordedAnswer | None = None
        self.attempts: set[bytes] = set()

    @property
    def removable_at(self) -> float:
        """When it may be forgotten, monotonic seconds."""
        return max(self.expires_at, self.ended_at) + RETENTION_SECONDS


class TokenTable:
    """
    Used tokens by text.

    :param most_tokens: bound on the entries.
    :param most_workspace_tokens: bound on the entries of one workspace.
    :param most_answer_bytes: bound on all recorded answers.
    """

    def __init__(
        self,
        max_tokens: int = MAX_TOKENS,
        max_workspace_tokens: int = MAX_WORKSPACE_TOKENS,
        max_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES,
    ) -> None:
        self._max_tokens = max_tokens
        self._max_workspace_tokens = max_workspace_tokens
        self._max_answer_bytes = max_answer_bytes
        self._entries: dict[str, TokenEntry] = {}
        self._entry_counts: dict[str, int] = {}
        self._removal_heap: list[tuple[float, str]] = []
        self._answer_sizes: dict[str, OrderedDict[str, int]] = {}
        self._answer_bytes: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    @property
    def entries(self) -> dict[str, TokenEntry]:
        """Used tokens by text."""
        return self._entries

    @property
    def answer_bytes(self) -> int:
        """Bytes of all recorded answers."""
        return sum(self._answer_bytes.values())

    def is_full(self, workspace: str, now: float) -> bool:
        """Return whether a workspace can use no further token for now."""
        self._remove_expired(now)
        held = self._entry_counts.get(workspace, 0)
        return (
            len(self._entries) >= self._max_tokens or held >= self._max_workspace_tokens
        )

    def decide_claim(
        self, claim: TokenClaim, now: float, *, draining: bool = False
    ) -> ClaimDecision:
        """
        Decide on a call, and record its token if it is to run.

        :param draining: whether no further run may start.
        """
        self._remove_expired(now)
        entry = self._entries.get(claim.token)
        if entry is None:
            return self._decide_first_claim(claim, now, draining)
        if entry.fingerprint != claim.fingerprint:
            return ClaimDecision(ClaimAction.MISMATCH)
        if entry.state is TokenState.FINISHED:
            action = ClaimAction.REPLAY if entry.answer else ClaimAction.ANSWER_GONE
            return ClaimDecision(action, entry.answer)
        if entry.state is TokenState.OUTCOME_UNKNOWN:
            return ClaimDecision(ClaimAction.OUTCOME_UNKNOWN)
        return self._decide_repeated_claim(entry, claim, now, draining)

    def _decide_first_claim(
        self, claim: TokenClaim, now: float, draining: bool
    ) -> ClaimDecision:
        if now >= claim.expires_at + RETENTION_SECONDS:
            return ClaimDecision(ClaimAction.FORGOTTEN)
        if now >= claim.expires_at:
            return ClaimDecision(ClaimAction.EXPIRED)
        if draining:
            return ClaimDecision(ClaimAction.DRAINING)
        if self.is_full(claim.workspace, now):
            return ClaimDecision(ClaimAction.FULL)
        entry = self._entries[claim.token] = TokenEntry(claim)
        self._entry_counts[claim.workspace] = (
            self._entry_counts.get(claim.workspace, 0) + 1
        )
        heapq.heappush(self._removal_heap, (entry.removable_at, claim.token))
        _record_attempt(entry, claim)
        return ClaimDecision(ClaimAction.RUN)

    def _decide_repeated_claim(
        self, entry: TokenEntry, claim: TokenClaim, now: float, draining: bool
    ) -> ClaimDecision:
        running = entry.state is TokenState.RUNNING
        if not running and claim.attempt in entry.attempts:
            return ClaimDecision(ClaimAction.ALREADY_REFUSED)
        if not running and now >= entry.expires_at:
            return ClaimDecision(ClaimAction.EXPIRED)
        if not running and draining:
            return ClaimDecision(ClaimAction.DRAINING)
        if len(entry.attempts) >= MAX_ATTEMPTS and claim.attempt:
            return ClaimDecision(
                ClaimAction.OUTCOME_UNKNOWN if running else ClaimAction.FULL
            )
        _record_attempt(entry, claim)
        entry.state = TokenState.RUNNING
        return ClaimDecision(ClaimAction.JOIN if running else ClaimAction.RUN)

    def mark_sent(self, token: str, now: float) -> bool:
        """
        Record that the call is about to be sent.

        :returns: whether it may be sent: it runs, its token has not expired
            and no byte of it has been sent before.
        """
        entry = self._entries.get(token)
        if entry is None or entry.state is not TokenState.RUNNING:
            return False
        if entry.sent or now >= entry.expires_at:
            return False
        entry.sent = True
        return True

    def mark_unsent(self, token: str) -> None:
        """Record that the attempt provably did not reach a server."""
        entry = self._entries.get(token)
        if entry is not None and entry.state is TokenState.RUNNING:
            entry.sent = False

    def is_sent(self, token: str) -> bool:
        """Return whether a byte of the call may have reached a server."""
        entry = self._entries.get(token)
        return entry is not None and entry.sent

    def finish(
        self, token: str, status: int, answer: RecordedAnswer | None, now: float
    ) -> None:
        """Record the end of a run; ``answer`` is ``None`` if not kept."""
        entry = self._entries[token]
        entry.state, entry.status, entry.ended_at = TokenState.FINISHED, status, now
        if answer is None or answer.size > MAX_ANSWER_BYTES:
            return
        entry.answer = answer
        kept = self._answer_sizes.setdefault(entry.workspace, OrderedDict())
        kept[token] = answer.size
        held = self._answer_bytes.get(entry.workspace, 0)
        self._answer_bytes[entry.workspace] = held + answer.size
        while self.answer_bytes > self._max_answer_bytes:
            self._evict_answer()

    def mark_outcome_unknown(self, token: str, now: float) -> None:
        """Record that the outcome of a run will never be known."""
        entry = self._entries[token]
        entry.state, entry.ended_at = TokenState.OUTCOME_UNKNOWN, now

    def release(self, token: str, now: float) -> bool:
        """
        Free a token whose call was refused without a run.

        :returns: whether it is free; a call that was sent is lost instead.
        """
        entry = self._entries[token]
        if entry.sent:
            self.mark_outcome_unknown(token, now)
            return False
        entry.state, entry.ended_at = TokenState.UNUSED, now
        return True

    def find_state(self, token: str, expires_at: float, now: float) -> TokenState:
        """Return the state of a verified token."""
        self._remove_expired(now)
        entry = self._entries.get(token)
        if entry is not None and entry.state is not TokenState.UNUSED:
            return entry.state
        return TokenState.EXPIRED if now >= expires_at else TokenState.UNUSED

    def _evict_answer(self) -> None:
        workspace = max(self._answer_bytes, key=self._answer_bytes.__getitem__)
        token, size = self._answer_sizes[workspace].popitem(last=False)
        self._entries[token].answer = None
        self._subtract_answer_size(workspace, size)

    def _subtract_answer_size(self, workspace: str, size: int) -> None:
        self._answer_bytes[workspace] -= size
        if not self._answer_sizes[workspace]:
            del self._answer_sizes[workspace], self._answer_bytes[workspace]

    def _remove_expired(self, now: float) -> None:
        while self._removal_heap and self._removal_heap[0][0] <= now:
            _, token = heapq.heappop(self._removal_heap)
            entry = self._entries[token]
            if entry.state is TokenState.RUNNING:
                heapq.heappush(self._removal_heap, (now + RETENTION_SECONDS, token))
            elif entry.removable_at > now:
                heapq.heappush(self._removal_heap, (entry.removable_at, token))
            else:
                self._remove_entry(token, entry)

    def _remove_entry(self, token: str, entry: TokenEntry) -> None:
        del self._entries[token]
        self._entry_counts[entry.workspace] -= 1
        if not self._entry_counts[entry.workspace]:
            del self._entry_counts[entry.workspace]
        if entry.answer is not None:
            size = self._answer_sizes[entry.workspace].pop(token)
            self._subtract_answer_size(entry.workspace, size)


def _record_attempt(entry: TokenEntry, claim: TokenClaim) -> None:
    if claim.attempt:
        entry.attempts.add(claim.attempt)
