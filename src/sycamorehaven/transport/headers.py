"""Headers that pass between callers and backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-encoding",
        "content-length",
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
"""Headers of one connection (RFC 9110 section 7.6.1), and framing."""
ROUTER_ONLY = frozenset(
    {
        "authorization",
        "accept-encoding",
        "cost-hint",
        "idempotency-token",
        "priority-class",
        "request-timeout",
        "resume-from",
        "traceparent",
    }
)
"""Headers that the router reads itself and does not pass on."""

Headers = tuple[tuple[str, str], ...]


def filter_request(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a request that a backend server may see."""
    left_out = HOP_BY_HOP | ROUTER_ONLY
    return tuple((str(n), v) for n, v in headers if n.lower() not in left_out)


def filter_answer(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of an answer that a caller may see."""
    return tuple((str(n), v) for n, v in headers if n.lower() not in HOP_BY_HOP)
