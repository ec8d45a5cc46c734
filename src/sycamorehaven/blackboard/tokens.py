"""
Idempotency tokens of this router.

Written by the controllers of tokens and of their hand-over.
"""

from __future__ import annotations

import secrets
import time
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.token_table import RecordedAnswer, TokenState, TokenTable

if TYPE_CHECKING:
    from collections.abc import Callable

MAC_KEY_BYTES = 32
"""Length of the MAC key."""

MAX_ADOPTED_BYTES = 2_097_152
"""Limit of the memory for tokens adopted from routers that shut down."""

ADOPTED_TOKEN_OVERHEAD_BYTES = 256
"""Estimated memory of an adopted token besides its texts and its answer."""


class AdoptedToken(NamedTuple):
    """
    A used token that was handed over by a router that has shut down.

    :ivar token: text of the token.
    :ivar workspace: workspace that the token was minted for.
    :ivar request_fingerprint: fingerprint of the request sent with it.
    :ivar state: ``FINISHED`` or ``OUTCOME_UNKNOWN``.
    :ivar answer: the recorded answer; ``None`` if it was not kept.
    """

    token: str
    workspace: str
    request_fingerprint: bytes
    state: TokenState
    answer: RecordedAnswer | None


class AdoptedTokens:
    """
    Tokens that were handed over; the oldest are dropped first.

    Requests with these tokens are answered from the record and never executed
    again.

    :param max_bytes: limit of the estimated memory, in bytes.
    """

    def __init__(self, max_bytes: int = MAX_ADOPTED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._tokens: OrderedDict[str, AdoptedToken] = OrderedDict()

    def list(self) -> list[AdoptedToken]:
        """Return all adopted tokens."""
        return list(self._tokens.values())

    def add(self, adopted: AdoptedToken) -> None:
        """Adopt a token; a token that is already known does not change."""
        if adopted.token in self._tokens:
            return
        self._tokens[adopted.token] = adopted
        self._size_bytes += _estimate_bytes(adopted)
        while self._size_bytes > self._max_bytes:
            _, oldest = self._tokens.popitem(last=False)
            self._size_bytes -= _estimate_bytes(oldest)

    def find(self, token: str, workspace: str) -> AdoptedToken | None:
        """Return an adopted token of a workspace, or ``None``."""
        adopted = self._tokens.get(token)
        if adopted is None or adopted.workspace != workspace:
            return None
        return adopted


def _estimate_bytes(adopted: AdoptedToken) -> int:
    answer_bytes = adopted.answer.size if adopted.answer else 0
    return (
        len(adopted.token)
        + len(adopted.workspace)
        + answer_bytes
        + ADOPTED_TOKEN_OVERHEAD_BYTES
    )


class TokensSection:
    """
    The MAC key, the used tokens and the adopted tokens.

    The key is random and never leaves this process, so no other process can
    mint or verify the tokens of this one.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._mac_key = secrets.token_bytes(MAC_KEY_BYTES)
        self._started_at = clock()
        self._token_table = TokenTable()
        self._adopted_tokens = AdoptedTokens()

    @property
    def mac_key(self) -> bytes:
        """Key of the message authentication codes in the tokens."""
        return self._mac_key

    @property
    def started_at(self) -> float:
        """When the process started, in seconds of the monotonic clock."""
        return self._started_at

    @property
    def token_table(self) -> TokenTable:
        """The used tokens that this router minted."""
        return self._token_table

    @property
    def adopted_tokens(self) -> AdoptedTokens:
        """Tokens handed over by routers that shut down."""
        return self._adopted_tokens
