"""What backend servers say of themselves in the headers of responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

from sycamorehaven.platform.header_codec import PlatformHeaderCodec
from sycamorehaven.routing.requests import ServerStatement
from tests.support.gateway_client import COMPLETE_STREAM, send_request

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

BAD_NUMBERS = (
    "",
    "many",
    "-1",
    "0",
    "0.0",
    "nan",
    "inf",
    "1e3",
    "0x10",
    "9" * 400,
    "5, 5",
    "\u0665",
    "Sun, 06 Nov 1994 08:49:37 GMT",
)
"""Values that are no positive number, or of no sensible length."""


def parse(status: int, *headers: tuple[str, str]) -> ServerStatement:
    """Return what a server says of itself in a response."""
    statement = PlatformHeaderCodec().parse_response_headers(status, headers).statement
    assert statement is not None
    return statement


def test_statement_is_read_from_the_headers() -> None:
    statement = parse(
        503, ("server-limit", "6.4"), ("Retry-After", "3"), ("Server-Leaving", "1")
    )
    assert statement == ServerStatement(6.4, 3.0, leaving=True)
    assert parse(200).is_empty


def test_retry_after_is_a_rest_only_in_a_503() -> None:
    for status in (200, 408, 429, 500):
        assert parse(status, ("Retry-After", "3")).rest is None


def test_other_server_at_the_address_says_nothing_of_the_expected_one() -> None:
    head = PlatformHeaderCodec().parse_response_headers(
        421, [("Server-Limit", "1"), ("Server-Leaving", "1")]
    )
    assert head.statement is None


def test_value_that_makes_no_sense_is_left_out_and_described() -> None:
    for value in BAD_NUMBERS:
        statement = parse(503, ("Server-Limit", value), ("Retry-After", value))
        assert (statement.limit, statement.rest) == (None, None), value
        assert len(statement.unreadable) == 2, value
        assert all(len(header) < 60 for header in statement.unreadable)
    assert parse(200, ("Server-Leaving", "yes")).leaving is False
    doubled = parse(200, ("Server-Limit", "5"), ("Server-Limit", "7"))
    assert doubled.unreadable == ("Server-Limit: 5, 7",)


async def test_bad_values_break_no_request(harness: GatewayHarness) -> None:
    for value in BAD_NUMBERS:
        for server in harness.servers:
            server.statement_headers = CIMultiDict({"Server-Leaving": value})
            # aiohttp refuses to send a header of other than ASCII characters.
            if value.isascii():
                server.statement_headers.add("Server-Limit", value)
        status, body, _ = await send_request(harness, "/stream/x", "POST")
        assert (status, body) == (200, COMPLETE_STREAM)
