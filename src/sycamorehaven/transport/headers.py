"""Headers that pass between callers and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_BY_HOP_HEADERS = frozenset(
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
ROUTER_HEADERS = frozenset(
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
SINGLE_VALUE_HEADERS = (
    "authorization",
    "cost-hint",
    "idempotency-token",
    "priority-class",
    "request-timeout",
)
"""Headers of a request that may come once."""

Headers = tuple[tuple[str, str], ...]


def filter_request_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a request that a backend server may see."""
    pairs = list(headers)
    excluded = HOP_BY_HOP_HEADERS | ROUTER_HEADERS | list_connection_headers(pairs)
    return tuple((str(n), v) for n, v in pairs if n.lower() not in excluded)


def filter_response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of an answer that a caller may see."""
    pairs = list(headers)
    excluded = (
        HOP_BY_HOP_HEADERS | list_connection_headers(pairs) | {"request-id", "was-run"}
    )
    return tuple((str(n), v) for n, v in pairs if n.lower() not in excluded)


def list_connection_headers(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the headers that ``Connection`` names as this connection's."""
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    )


def find_repeated_header(headers: Iterable[tuple[str, str]]) -> str | None:
    """Return a header that came twice but may come once, or ``None``."""
    seen: set[str] = set()
    for name, _ in headers:
        lowered = name.lower()
        if lowered in seen and lowered in SINGLE_VALUE_HEADERS:
            return name
        seen.add(lowered)
    return None


def measure_headers(headers: Iterable[tuple[str, str]]) -> int:
    """Return the size of headers, bytes."""
    return sum(len(name) + len(value) + 4 for name, value in headers)
