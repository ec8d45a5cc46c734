"""Idempotency tokens of this router; written by the token controller."""

from __future__ import annotations

import secrets
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.token_table import RecordedAnswer, TokenState, TokenTable

if TYPE_CHECKING:
    from collections.abc import Callable

MAC_KEY_BYTES = 32
"""Bytes of the MAC key."""
MAX_ADOPTED_BYTES = 2_097_152
"""Bytes of the answers taken over from routers that shut down."""


class AdoptedToken(NamedTuple):
    """
    A used token of another router that has shut down.

    :ivar token: text of the token.
    :ivar workspace: whose it is.
    :ivar request_fingerprint: fingerprint of its request.
    :ivar state: ``FINISHED`` or ``OUTCOME_UNKNOWN``.
    :ivar answer: the recorded answer, if it was kept.
    """

    token: str
    workspace: str
    request_fingerprint: bytes
    state: TokenState
    answer: RecordedAnswer | None


class AdoptedTokens:
    """
    Tokens taken over, the latest kept; they are answered, never run.

    :param max_bytes: bound on what is kept.
    """

    def __init__(self, max_bytes: int = MAX_ADOPTED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._tokens: OrderedDict[str, AdoptedToken] = OrderedDict()

    def list(self) -> list[AdoptedToken]:
        """Return every token taken over."""
        return list(self._tokens.values())

    def add(self, adopted: AdoptedToken) -> None:
        """Take a token over; a repeat changes nothing."""
        if adopted.token in self._tokens:
            return
        self._tokens[adopted.token] = adopted
        self._size_bytes += _estimate_bytes(adopted)
        while self._size_bytes > self._max_bytes:
            _, oldest = self._tokens.popitem(last=False)
            self._size_bytes -= _estimate_bytes(oldest)

    def find(self, token: str, workspace: str) -> AdoptedToken | None:
        """Return a workspace's token, if it was taken over."""
        adopted = self._tokens.get(token)
        if adopted is None or adopted.workspace != workspace:
            return None
        return adopted


def _estimate_bytes(adopted: AdoptedToken) -> int:
    answer = adopted.answer.size if adopted.answer else 0
    return len(adopted.token) + len(adopted.workspace) + answer + 256


class TokensSection:
    """
    The MAC key, used tokens and tokens taken over.

    The key is random and lives in this process only, so no other process can
    mint or check this one's tokens.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._mac_key = secrets.token_bytes(MAC_KEY_BYTES)
        self._started_at = clock()
        self._token_table = TokenTable()
        self._adopted_tokens = AdoptedTokens()

    @property
    def mac_key(self) -> bytes:
        """MAC key."""
        return self._mac_key

    @property
    def started_at(self) -> float:
        """Start of the process, monotonic seconds."""
        return self._started_at

    @property
    def token_table(self) -> TokenTable:
        """Used tokens of this router."""
        return self._token_table

    @property
    def adopted_tokens(self) -> AdoptedTokens:
        """Tokens taken over from routers that shut down."""
        return self._adopted_tokens
