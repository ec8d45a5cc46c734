"""
State of the idempotency tokens that one router process has minted.

A used token stays in the table until some time after its expiry, so that it is
never mistaken for an unused one. When the table is full, it refuses further
tokens instead of forgetting used ones. Recorded answers have a limit of their
own and are dropped before their tokens.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

RETENTION_SECONDS = 300.0
"""Time for which a token is kept after its expiry or the end of its run."""
MAX_TOKENS = 10_000
"""Limit on the used tokens that one router remembers."""
MAX_WORKSPACE_TOKENS = 2_500
"""Limit on the used tokens of one workspace."""
MAX_TOTAL_ANSWER_BYTES = 4_194_304
"""Limit on all recorded answers."""
MAX_ANSWER_BYTES = 1_048_576
"""Limit on one recorded answer; a larger one is passed on unrecorded."""
ANSWER_OVERHEAD_BYTES = 256
"""Size counted for a recorded answer in addition to its body and headers."""
MAX_ATTEMPTS = 32
"""Limit on the relayed attempts that are remembered per token."""


class TokenState(StrEnum):
    """
    State of a token as reported to callers.

    :ivar UNUSED: no call has run with the token.
    :ivar RUNNING: the call is queued or running.
    :ivar FINISHED: the call has ended with an answer.
    :ivar EXPIRED: the token expired before a call ran with it.
    :ivar OUTCOME_UNKNOWN: the call was sent, but its outcome is not known.
    :ivar OWNER_UNREACHABLE: the router that minted the token does not answer.
    """

    UNUSED = "unused"
    RUNNING = "running"
    FINISHED = "finished"
    EXPIRED = "expired"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"


class ClaimAction(StrEnum):
    """
    What to do with a call that carries a token.

    All actions except ``RUN``, ``JOIN`` and ``REPLAY`` refuse the call.

    :ivar RUN: run the call.
    :ivar JOIN: wait for the answer of the run that is under way.
    :ivar REPLAY: return the recorded answer.
    :ivar ANSWER_GONE: the call has ended, but its answer is not kept.
    :ivar MISMATCH: the token was used for another request.
    :ivar EXPIRED: the token has expired.
    :ivar FORGOTTEN: the token expired so long ago that its state is not kept.
    :ivar FULL: the table has no room for the token or the attempt.
    :ivar DRAINING: this router is shutting down.
    :ivar OUTCOME_UNKNOWN: the outcome of an earlier attempt is not known.
    :ivar ALREADY_REFUSED: this attempt was refused before.
    """

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
    Complete answer to a call.

    :ivar status: HTTP status.
    :ivar headers: names and values of the headers.
    :ivar body: body of the answer.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Number of bytes that count towards the limit on answers."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return ANSWER_OVERHEAD_BYTES + headers + len(self.body)


class TokenClaim(NamedTuple):
    """
    Use of a verified token by a call.

    :ivar token: text of the token.
    :ivar workspace: name of the workspace of the call.
    :ivar fingerprint: fingerprint of the request.
    :ivar expires_at: expiry of the token, monotonic seconds.
    :ivar attempt: id of the attempt if another router relayed the call, empty
        for a direct call.
    """

    token: str
    workspace: str
    fingerprint: bytes
    expires_at: float
    attempt: bytes = b""


class ClaimDecision(NamedTuple):
    """
    Decision on the use of a token.

    :ivar action: what to do with the call.
    :ivar answer: answer to send if ``action`` is ``REPLAY``.
    """

    action: ClaimAction
    answer: RecordedAnswer | None = None


class TokenEntry:
    """
    Used token.

    Times are in monotonic seconds.

    :ivar workspace: name of the workspace that used the token.
    :ivar fingerprint: fingerprint of the request.
    :ivar expires_at: expiry of the token.
    :ivar state: state of the token.
    :ivar sent: whether a byte of the call may have reached a server.
    :ivar ended_at: when the run ended, 0 before.
    :ivar status: HTTP status of the answer, 0 before the end.
    :ivar answer: recorded answer, if it is kept.
    :ivar attempts: ids of the relayed attempts.
    :param claim: first call that used the token.
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
        """When the token may be removed, monotonic seconds."""
        return max(self.expires_at, self.ended_at) + RETENTION_SECONDS


class TokenTable:
    """
    Used tokens by their text.

    :param max_tokens: limit on all entries.
    :param max_workspace_tokens: limit on the entries of one workspace.
    :param max_answer_bytes: limit on the size of all recorded answers.
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
        """Return the number of used tokens."""
        return len(self._entries)

    @property
    def entries(self) -> dict[str, TokenEntry]:
        """Used tokens by their text."""
        return self._entries

    @property
    def answer_bytes(self) -> int:
        """Size of all recorded answers."""
        return sum(self._answer_bytes.values())

    def is_full(self, workspace: str, now: float) -> bool:
        """Return whether a workspace can't use another token for now."""
        self._remove_expired(now)
        entry_count = self._entry_counts.get(workspace, 0)
        return (
            len(self._entries) >= self._max_tokens
            or entry_count >= self._max_workspace_tokens
        )

    def decide_claim(
        self, claim: TokenClaim, now: float, *, draining: bool = False
    ) -> ClaimDecision:
        """
        Decide what to do with a call, and record its token if it is to run.

        :param claim: use of the token by the call.
        :param now: monotonic seconds.
        :param draining: whether this router is shutting down and starts no
            further run.
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
        is_running = entry.state is TokenState.RUNNING
        if not is_running and claim.attempt in entry.attempts:
            return ClaimDecision(ClaimAction.ALREADY_REFUSED)
        if not is_running and now >= entry.expires_at:
            return ClaimDecision(ClaimAction.EXPIRED)
        if not is_running and draining:
            return ClaimDecision(ClaimAction.DRAINING)
        if len(entry.attempts) >= MAX_ATTEMPTS and claim.attempt:
            return ClaimDecision(
                ClaimAction.OUTCOME_UNKNOWN if is_running else ClaimAction.FULL
            )
        _record_attempt(entry, claim)
        entry.state = TokenState.RUNNING
        return ClaimDecision(ClaimAction.JOIN if is_running else ClaimAction.RUN)

    def mark_sent(self, token: str, now: float) -> bool:
        """
        Record that the call with a token is about to be sent to a server.

        :returns: whether it may be sent. The call must be running, its token
            must not have expired, and no byte of it may have been sent before.
        """
        entry = self._entries.get(token)
        if entry is None or entry.state is not TokenState.RUNNING:
            return False
        if entry.sent or now >= entry.expires_at:
            return False
        entry.sent = True
        return True

    def mark_unsent(self, token: str) -> None:
        """Record that the attempt certainly did not reach a server."""
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
        """
        Record the end of a run.

        :param token: text of the token.
        :param status: HTTP status of the answer.
        :param answer: answer to record, or ``None`` to record none.
        :param now: monotonic seconds.
        """
        entry = self._entries[token]
        entry.state, entry.status, entry.ended_at = TokenState.FINISHED, status, now
        if answer is None or answer.size > MAX_ANSWER_BYTES:
            return
        entry.answer = answer
        sizes = self._answer_sizes.setdefault(entry.workspace, OrderedDict())
        sizes[token] = answer.size
        kept_bytes = self._answer_bytes.get(entry.workspace, 0)
        self._answer_bytes[entry.workspace] = kept_bytes + answer.size
        while self.answer_bytes > self._max_answer_bytes:
            self._evict_answer()

    def mark_outcome_unknown(self, token: str, now: float) -> None:
        """Record that the outcome of a run will never be known."""
        entry = self._entries[token]
        entry.state, entry.ended_at = TokenState.OUTCOME_UNKNOWN, now

    def release(self, token: str, now: float) -> bool:
        """
        Make a token unused again because its call was refused before it ran.

        :returns: whether the token is unused now. If a byte of the call was
            sent, the outcome is recorded as unknown instead.
        """
        entry = self._entries[token]
        if entry.sent:
            self.mark_outcome_unknown(token, now)
            return False
        entry.state, entry.ended_at = TokenState.UNUSED, now
        return True

    def find_state(self, token: str, expires_at: float, now: float) -> TokenState:
        """Return the state of a verified token that this process minted."""
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
