"""Headers that pass between callers and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers of one connection (RFC 9110 section 7.6.1)."""
ROUTER_ONLY = frozenset(
    {
        "authorization",
        "baggage",
        "content-length",
        "cost-hint",
        "idempotency-key",
        "idempotency-token",
        "priority-class",
        "request-id",
        "request-timeout",
        "resume-from",
        "traceparent",
        "tracestate",
    }
)
"""Headers that the router reads or writes itself."""
SINGLE = (
    "authorization",
    "cost-hint",
    "idempotency-token",
    "priority-class",
    "request-timeout",
)
"""Headers of a request that may come once."""

Headers = tuple[tuple[str, str], ...]


def filter_request(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a request that a backend server may see."""
    pairs = list(headers)
    left_out = HOP_BY_HOP | ROUTER_ONLY | list_named(pairs)
    return tuple((str(n), v) for n, v in pairs if n.lower() not in left_out)


def filter_answer(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of an answer that a caller may see."""
    pairs = list(headers)
    left_out = HOP_BY_HOP | list_named(pairs) | {"request-id", "was-run"}
    return tuple((str(n), v) for n, v in pairs if n.lower() not in left_out)


def list_named(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the headers that ``Connection`` names as this connection's."""
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    )


def find_repeated(headers: Iterable[tuple[str, str]]) -> str | None:
    """Return a header that came twice but may come once, or ``None``."""
    seen: set[str] = set()
    for name, _ in headers:
        lowered = name.lower()
        if lowered in seen and lowered in SINGLE:
            return name
        seen.add(lowered)
    return None


def measure_headers(headers: Iterable[tuple[str, str]]) -> int:
    """Return the size of headers, bytes."""
    return sum(len(name) + len(value) + 4 for name, value in headers)
