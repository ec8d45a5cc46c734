"""
Cost of idempotency tokens: ``python -m benchmarks.tokens``.

The benchmark measures the memory of a full table of used tokens and the time
to mint, check and use one token. The exit status is 1 if the table exceeds
its share of the memory that a router may use for control.
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
SIGNING_KEY = bytes(32)
WORKSPACE = "oakcourt"
MEMORY_BUDGET_BYTES = 16_000_000
"""Bound on the table: half of a router's memory budget for control."""


def mint_tokens() -> list[str]:
    """Return as many new tokens as a table can hold."""
    owner = RouterId("rinsewell-a-12", create_incarnation())
    return [
        mint_token(
            owner, 600_000, number.to_bytes(NONCE_BYTES), SIGNING_KEY, WORKSPACE
        ).format()
        for number in range(MAX_TOKENS)
    ]


def verify_tokens(tokens: list[str]) -> None:
    """Parse and verify all tokens."""
    for text in tokens:
        token = parse_token(text)
        assert token is not None
        assert verify_token(token, SIGNING_KEY, WORKSPACE)


def fill_table(tokens: list[str]) -> TokenTable:
    """Return a table in which the request of every token has finished."""
    table = TokenTable(max_workspace_tokens=MAX_TOKENS)
    for text in tokens:
        request = text[:16].encode()
        table.decide_claim(TokenClaim(str(text), WORKSPACE, request, 600.0), 0.0)
        table.mark_sent(text, 0.0)
        table.finish(text, 201, None, 1.0)
    return table


def measure_per_token(action: Callable[[], T]) -> tuple[T, float]:
    """Return the result of ``action`` and its microseconds per token."""
    started = time.perf_counter()
    result = action()
    return result, (time.perf_counter() - started) / MAX_TOKENS * 1e6


def main() -> int:
    """Print the figures; return the exit status."""
    tokens, minting = measure_per_token(mint_tokens)
    _, checking = measure_per_token(lambda: verify_tokens(tokens))
    _, using = measure_per_token(lambda: fill_table(tokens))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    table = fill_table(tokens)
    table_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    entry_bytes = table_bytes / len(table) + len(tokens[0])
    total_bytes = int(entry_bytes * MAX_TOKENS) + MAX_TOTAL_ANSWER_BYTES
    print(f"token: {len(tokens[0])} characters")
    print(f"mint {minting:.1f} us, check {checking:.1f} us, use {using:.1f} us")
    print(f"used token {entry_bytes:.0f} B; full table with answers {total_bytes} B")
    return 1 if total_bytes > MEMORY_BUDGET_BYTES else 0


if __name__ == "__main__":
    sys.exit(main())
