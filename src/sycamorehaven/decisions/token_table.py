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

RETENTION = 300.0
"""Seconds for which a token is remembered after its expiry or its end."""
MOST_TOKENS = 10_000
"""Used tokens remembered by one router."""
MOST_WORKSPACE_TOKENS = 2_500
"""Used tokens remembered for one workspace."""
MOST_ANSWER_BYTES = 4_194_304
"""Bytes of all recorded answers."""
LARGEST_ANSWER = 1_048_576
"""Bytes of one recorded answer; a larger one is passed on, not recorded."""
ANSWER_OVERHEAD = 256
"""Bytes counted for a recorded answer besides its body and headers."""
MOST_ATTEMPTS = 32
"""Relayed attempts remembered for one token."""


class State(StrEnum):
    """State of a token, as told to callers."""

    UNUSED = "unused"
    RUNNING = "running"
    FINISHED = "finished"
    EXPIRED = "expired"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"


class Action(StrEnum):
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
        return ANSWER_OVERHEAD + headers + len(self.body)


class Claim(NamedTuple):
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
    request: bytes
    expires_at: float
    attempt: bytes = b""


class Use(NamedTuple):
    """
    What to do with a claim.

    :ivar action: what to do.
    :ivar answer: the answer to replay.
    """

    action: Action
    answer: RecordedAnswer | None = None


class Entry:
    """
    A token that has been used.

    :param claim: the first call that used it.
    """

    __slots__ = (
        "answer",
        "attempts",
        "ended_at",
        "expires_at",
        "request",
        "sent",
        "state",
        "status",
        "workspace",
    )

    def __init__(self, claim: Claim) -> None:
        self.workspace = claim.workspace
        self.request = claim.request
        self.expires_at = claim.expires_at
        self.state = State.RUNNING
        self.sent = False
        self.ended_at = 0.0
        self.status = 0
        self.answer: RecordedAnswer | None = None
        self.attempts: set[bytes] = set()

    @property
    def forget_at(self) -> float:
        """When it may be forgotten, monotonic seconds."""
        return max(self.expires_at, self.ended_at) + RETENTION


class TokenTable:
    """
    Used tokens by text.

    :param most_tokens: bound on the entries.
    :param most_workspace_tokens: bound on the entries of one workspace.
    :param most_answer_bytes: bound on all recorded answers.
    """

    def __init__(
        self,
        most_tokens: int = MOST_TOKENS,
        most_workspace_tokens: int = MOST_WORKSPACE_TOKENS,
        most_answer_bytes: int = MOST_ANSWER_BYTES,
    ) -> None:
        self._most_tokens = most_tokens
        self._most_workspace_tokens = most_workspace_tokens
        self._most_answer_bytes = most_answer_bytes
        self._entries: dict[str, Entry] = {}
        self._counts: dict[str, int] = {}
        self._due: list[tuple[float, str]] = []
        self._answers: dict[str, OrderedDict[str, int]] = {}
        self._answer_bytes: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    @property
    def entries(self) -> dict[str, Entry]:
        """Used tokens by text."""
        return self._entries

    @property
    def answer_bytes(self) -> int:
        """Bytes of all recorded answers."""
        return sum(self._answer_bytes.values())

    def is_full(self, workspace: str, now: float) -> bool:
        """Return whether a workspace can use no further token for now."""
        self._forget(now)
        held = self._counts.get(workspace, 0)
        return (
            len(self._entries) >= self._most_tokens
            or held >= self._most_workspace_tokens
        )

    def use(self, claim: Claim, now: float, *, draining: bool = False) -> Use:
        """
        Decide on a call, and record its token if it is to run.

        :param draining: whether no further run may start.
        """
        self._forget(now)
        entry = self._entries.get(claim.token)
        if entry is None:
            return self._use_first(claim, now, draining)
        if entry.request != claim.request:
            return Use(Action.MISMATCH)
        if entry.state is State.FINISHED:
            action = Action.REPLAY if entry.answer else Action.ANSWER_GONE
            return Use(action, entry.answer)
        if entry.state is State.OUTCOME_UNKNOWN:
            return Use(Action.OUTCOME_UNKNOWN)
        return self._use_again(entry, claim, now, draining)

    def _use_first(self, claim: Claim, now: float, draining: bool) -> Use:
        if now >= claim.expires_at + RETENTION:
            return Use(Action.FORGOTTEN)
        if now >= claim.expires_at:
            return Use(Action.EXPIRED)
        if draining:
            return Use(Action.DRAINING)
        if self.is_full(claim.workspace, now):
            return Use(Action.FULL)
        entry = self._entries[claim.token] = Entry(claim)
        self._counts[claim.workspace] = self._counts.get(claim.workspace, 0) + 1
        heapq.heappush(self._due, (entry.forget_at, claim.token))
        _remember_attempt(entry, claim)
        return Use(Action.RUN)

    def _use_again(self, entry: Entry, claim: Claim, now: float, draining: bool) -> Use:
        running = entry.state is State.RUNNING
        if not running and claim.attempt in entry.attempts:
            return Use(Action.ALREADY_REFUSED)
        if not running and now >= entry.expires_at:
            return Use(Action.EXPIRED)
        if not running and draining:
            return Use(Action.DRAINING)
        if len(entry.attempts) >= MOST_ATTEMPTS and claim.attempt:
            return Use(Action.OUTCOME_UNKNOWN if running else Action.FULL)
        _remember_attempt(entry, claim)
        entry.state = State.RUNNING
        return Use(Action.JOIN if running else Action.RUN)

    def mark_sent(self, token: str, now: float) -> bool:
        """
        Record that the call is about to be sent.

        :returns: whether it may be sent: it runs, its token has not expired
            and no byte of it has been sent before.
        """
        entry = self._entries.get(token)
        if entry is None or entry.state is not State.RUNNING:
            return False
        if entry.sent or now >= entry.expires_at:
            return False
        entry.sent = True
        return True

    def mark_unsent(self, token: str) -> None:
        """Record that the attempt provably did not reach a server."""
        entry = self._entries.get(token)
        if entry is not None and entry.state is State.RUNNING:
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
        entry.state, entry.status, entry.ended_at = State.FINISHED, status, now
        if answer is None or answer.size > LARGEST_ANSWER:
            return
        entry.answer = answer
        kept = self._answers.setdefault(entry.workspace, OrderedDict())
        kept[token] = answer.size
        held = self._answer_bytes.get(entry.workspace, 0)
        self._answer_bytes[entry.workspace] = held + answer.size
        while self.answer_bytes > self._most_answer_bytes:
            self._drop_answer()

    def lose(self, token: str, now: float) -> None:
        """Record that the outcome of a run will never be known."""
        entry = self._entries[token]
        entry.state, entry.ended_at = State.OUTCOME_UNKNOWN, now

    def release(self, token: str, now: float) -> bool:
        """
        Free a token whose call was refused without a run.

        :returns: whether it is free; a call that was sent is lost instead.
        """
        entry = self._entries[token]
        if entry.sent:
            self.lose(token, now)
            return False
        entry.state, entry.ended_at = State.UNUSED, now
        return True

    def look_up(self, token: str, expires_at: float, now: float) -> State:
        """Return the state of a verified token."""
        self._forget(now)
        entry = self._entries.get(token)
        if entry is not None and entry.state is not State.UNUSED:
            return entry.state
        return State.EXPIRED if now >= expires_at else State.UNUSED

    def _drop_answer(self) -> None:
        workspace = max(self._answer_bytes, key=self._answer_bytes.__getitem__)
        token, size = self._answers[workspace].popitem(last=False)
        self._entries[token].answer = None
        self._shrink(workspace, size)

    def _shrink(self, workspace: str, size: int) -> None:
        self._answer_bytes[workspace] -= size
        if not self._answers[workspace]:
            del self._answers[workspace], self._answer_bytes[workspace]

    def _forget(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, token = heapq.heappop(self._due)
            entry = self._entries[token]
            if entry.state is State.RUNNING:
                heapq.heappush(self._due, (now + RETENTION, token))
            elif entry.forget_at > now:
                heapq.heappush(self._due, (entry.forget_at, token))
            else:
                self._remove(token, entry)

    def _remove(self, token: str, entry: Entry) -> None:
        del self._entries[token]
        self._counts[entry.workspace] -= 1
        if not self._counts[entry.workspace]:
            del self._counts[entry.workspace]
        if entry.answer is not None:
            size = self._answers[entry.workspace].pop(token)
            self._shrink(entry.workspace, size)


def _remember_attempt(entry: Entry, claim: Claim) -> None:
    if claim.attempt:
        entry.attempts.add(claim.attempt)
