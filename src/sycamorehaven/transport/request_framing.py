"""
Framing of the requests on a connection, as far as their heads tell it.

It recognizes only common requests. Everything else is left to the HTTP server.
"""

from __future__ import annotations

import re
from typing import NamedTuple

METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})
"""Methods whose responses have a body."""
MAX_LENGTH_DIGITS = 18
"""Digits of the length of a body; ``int`` refuses thousands of them."""
HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH_PATTERN = re.compile(
    rb"\r\ncontent-length:[ \t]*(\d+)[ \t]*(?=\r\n)", re.I
)
UNUSUAL_HEADER_PATTERN = re.compile(
    rb"\r\n(transfer-encoding|upgrade|expect|connection|content-length[ \t]):?"
    rb"|\r\n[ \t]",
    re.I,
)
"""Headers with which a request is not recognized, and folded lines."""


class ArrivedRequest(NamedTuple):
    """
    A request of which at least the head has arrived.

    :ivar target: path and query.
    :ivar headers: its headers.
    :ivar remaining: bytes of its body that have yet to arrive.
    """

    target: str
    headers: list[tuple[str, str]]
    remaining: int

    @property
    def host(self) -> str:
        """The host that the client named, or ""."""
        return next((v for name, v in self.headers if name.lower() == "host"), "")


def measure_request(data: bytes) -> int | None:
    """
    Return the length in bytes of the request that begins with some data.

    :returns: ``None`` if the head is incomplete or its framing is unusual.
    """
    head_end = data.find(HEAD_END)
    if head_end < 0:
        return None
    head = data[: head_end + len(HEAD_END)]
    if UNUSUAL_HEADER_PATTERN.search(head) or head.count(b"\n") != head.count(b"\r\n"):
        return None
    lengths = CONTENT_LENGTH_PATTERN.findall(head)
    if len(lengths) > 1 or (lengths and len(lengths[0]) > MAX_LENGTH_DIGITS):
        return None
    return len(head) + (int(lengths[0]) if lengths else 0)


def parse_arrived_request(data: bytes) -> ArrivedRequest | None:
    """
    Return the head of a request if the data hold it and nothing after it.

    :returns: ``None`` if they do not, or the head is unusual.
    """
    length = measure_request(data)
    if length is None or length < len(data):
        return None
    head = data[: data.find(HEAD_END)].decode("latin-1")
    first_line, *lines = head.split("\r\n")
    words = first_line.split(" ")
    if len(words) != 3 or words[0] not in METHODS or words[2] != "HTTP/1.1":
        return None
    if not words[1].startswith("/"):
        return None
    headers = []
    for line in lines:
        name, separator, value = line.partition(":")
        if not separator or not name or name != name.strip():
            return None
        headers.append((name, value.strip(" \t")))
    return ArrivedRequest(words[1], headers, length - len(data))


class RequestFraming:
    """
    Tracks where the requests of one connection end.

    :ivar is_known: whether all requests up to now could be followed.
    """

    def __init__(self) -> None:
        self.is_known = True
        self._remaining = 0

    @property
    def is_between_requests(self) -> bool:
        """Whether the next byte begins a request."""
        return self.is_known and not self._remaining

    def feed(self, data: bytes) -> None:
        """Follow received bytes."""
        if not self.is_known:
            return
        if not self._remaining:
            length = measure_request(data)
            if length is None:
                self.is_known = False
                return
            self._remaining = length
        self._remaining -= len(data)
        if self._remaining < 0:
            self.is_known = False
