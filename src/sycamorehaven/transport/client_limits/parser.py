"""The parser of requests, with a short queue."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from aiohttp import EMPTY_PAYLOAD, StreamReader
from aiohttp.http import HttpRequestParser, RawRequestMessage
from aiohttp.web_protocol import RequestPayloadError
from multidict import CIMultiDict, CIMultiDictProxy

if TYPE_CHECKING:
    import asyncio

    from aiohttp import web

NO_HEADERS: CIMultiDictProxy[str] = CIMultiDictProxy(CIMultiDict())
Message = TypeVar("Message")
MAX_PARSED_REQUESTS = 8
"""Requests that are parsed ahead on one connection."""


def create_parser(
    protocol: web.RequestHandler, loop: asyncio.AbstractEventLoop, read_bufsize: int
) -> HttpRequestParser:
    """
    Return a parser that pauses behind ``MAX_PARSED_REQUESTS`` requests.

    :param protocol: the protocol whose limits apply.
    :param read_bufsize: half of the bytes of a body at which reading pauses.
    """
    return HttpRequestParser(
        protocol,
        loop,
        read_bufsize,
        max_line_size=protocol.max_line_size,
        max_field_size=protocol.max_field_size,
        max_headers=protocol.max_headers,
        payload_exception=RequestPayloadError,
        auto_decompress=False,
        max_msg_queue_size=MAX_PARSED_REQUESTS,
    )


def empty_message(queued: tuple[Message, StreamReader]) -> tuple[Message, StreamReader]:
    """Return a parsed request without its headers and its body."""
    message, _ = queued
    if isinstance(message, RawRequestMessage):
        message = message._replace(headers=NO_HEADERS, raw_headers=())
    return message, EMPTY_PAYLOAD
