"""Filters the headers that pass between callers and backend servers."""

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
"""Headers that belong to one connection (RFC 9110 section 7.6.1)."""
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
"""Request headers that the router consumes or writes itself."""
SINGLE_VALUE_HEADERS = (
    "authorization",
    "cost-hint",
    "idempotency-token",
    "priority-class",
    "request-timeout",
)
"""Request headers that may occur only once."""

Headers = tuple[tuple[str, str], ...]


def filter_request_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the request headers that are forwarded to a backend server."""
    pairs = list(headers)
    excluded = HOP_BY_HOP_HEADERS | ROUTER_HEADERS | list_connection_headers(pairs)
    return tuple((str(n), v) for n, v in pairs if n.lower() not in excluded)


def filter_response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the response headers that are passed on to the caller."""
    pairs = list(headers)
    excluded = (
        HOP_BY_HOP_HEADERS | list_connection_headers(pairs) | {"request-id", "was-run"}
    )
    return tuple((str(n), v) for n, v in pairs if n.lower() not in excluded)


def list_connection_headers(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the lower-case names that the ``Connection`` headers list."""
    return frozenset(
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    )


def find_repeated_header(headers: Iterable[tuple[str, str]]) -> str | None:
    """Return a single-value header that occurs twice, or ``None``."""
    seen: set[str] = set()
    for name, _ in headers:
        lowered = name.lower()
        if lowered in seen and lowered in SINGLE_VALUE_HEADERS:
            return name
        seen.add(lowered)
    return None


def measure_headers(headers: Iterable[tuple[str, str]]) -> int:
    """
    Return the size of headers in an HTTP/1.1 message, bytes.

    The separators of a header, a colon, a space and a line end, take 4 bytes.
    """
    return sum(len(name) + len(value) + 4 for name, value in headers)
