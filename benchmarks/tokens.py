"""
Cost of idempotency tokens: ``python -m benchmarks.tokens``.

Memory of a full table of used tokens, and processor time of minting, checking
and using one. The exit status is 1 if the table passes its part of a router's
memory for control.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from typing import TYPE_CHECKING, TypeVar

from sycamorehaven.decisions.idempotency_tokens import (
    NONCE_BYTES,
    mint_token,
    parse_token,
    verify_token,
)
from sycamorehaven.decisions.token_table import (
    MAX_TOKENS,
    MAX_TOTAL_ANSWER_BYTES,
    TokenClaim,
    TokenTable,
)
from sycamorehaven.identity import RouterId, create_incarnation

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")
KEY = bytes(32)
WORKSPACE = "oakcourt"
MEMORY_BUDGET = 16_000_000
"""Half of the bytes that a router may spend on control."""


def mint_all() -> list[str]:
    """Return as many tokens as a table holds."""
    owner = RouterId("rinsewell-a-12", create_incarnation())
    return [
        mint_token(
            owner, 600_000, number.to_bytes(NONCE_BYTES), KEY, WORKSPACE
        ).format()
        for number in range(MAX_TOKENS)
    ]


def check_all(tokens: list[str]) -> None:
    """Parse and verify tokens."""
    for text in tokens:
        token = parse_token(text)
        assert token is not None
        assert verify_token(token, KEY, WORKSPACE)


def use_all(tokens: list[str]) -> TokenTable:
    """Return a table in which every token is used and ended."""
    table = TokenTable(max_workspace_tokens=MAX_TOKENS)
    for text in tokens:
        request = text[:16].encode()
        table.decide_claim(TokenClaim(str(text), WORKSPACE, request, 600.0), 0.0)
        table.mark_sent(text, 0.0)
        table.finish(text, 201, None, 1.0)
    return table


def time_each(work: Callable[[], T]) -> tuple[T, float]:
    """Return what ``work`` gives and its microseconds a token."""
    started = time.perf_counter()
    result = work()
    return result, (time.perf_counter() - started) / MAX_TOKENS * 1e6


def main() -> int:
    """Print the figures; return the exit status."""
    tokens, minting = time_each(mint_all)
    _, checking = time_each(lambda: check_all(tokens))
    _, using = time_each(lambda: use_all(tokens))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = use_all(tokens)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    entry = held / len(table) + len(tokens[0])
    total = int(entry * MAX_TOKENS) + MAX_TOTAL_ANSWER_BYTES
    print(f"token: {len(tokens[0])} characters")
    print(f"mint {minting:.1f} us, check {checking:.1f} us, use {using:.1f} us")
    print(f"used token {entry:.0f} B; full table with answers {total} B")
    return 1 if total > MEMORY_BUDGET else 0


if __name__ == "__main__":
    sys.exit(main())
