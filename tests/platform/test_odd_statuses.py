"""Servers that answer with a status that HTTP does not have."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.platform.test_cut_heads import HeadCutter, list_models, start_cutters
from tests.support.gateway_harness import API_KEY, ROUTE_HOST

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

STATUSES = ("000", "001", "099", "101", "600", "999")
REQUESTS = (
    ("/look/x", "GET"),
    ("/open/x", "GET"),
    ("/book/x", "POST"),
    ("/stream/x", "POST"),
    ("/once-stream/x", "POST"),
)
"""Paths and methods of a request on each type of route."""


def build_answer(attempt: str, status: str, *, is_refusal: bool = False) -> bytes:
    """Return a whole response with a body of four bytes."""
    lines = [
        f"HTTP/1.1 {status} Odd",
        "Content-Type: text/plain",
        "Content-Length: 4",
        f"Sycamorehaven-Attempt-Id: {attempt}",
        "Sycamorehaven-Response-Signature: by-s1",
    ]
    if is_refusal:
        lines.append("Sycamorehaven-Not-Executed: 1")
    return "\r\n".join([*lines, "", "body"]).encode()


async def fetch_status_line(harness: GatewayHarness, path: str, method: str) -> bytes:
    """Return the first line of a response, b"" if the connection broke."""
    for model in list_models(harness):
        model.reset_after_restart()
    host, port = harness.callers_address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
        f"Sycamorehaven-Key: {API_KEY}\r\nSycamorehaven-Attempt-Id: a1\r\n"
        "Sycamorehaven-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
    )
    writer.write(head.encode())
    try:
        return await asyncio.wait_for(reader.readline(), 5.0)
    except ConnectionError:
        return b""
    finally:
        writer.close()


def is_failure(line: bytes) -> bool:
    """Return whether a response is the router's own failure, or none."""
    return not line or line.startswith(b"HTTP/1.1 502 ")


# A status of 000 reached clients as the answer of a server.
async def test_answer_with_a_status_that_http_does_not_have_is_passed_on(
    harness: GatewayHarness,
) -> None:
    cutter = HeadCutter()
    await start_cutters(harness, cutter)
    for path, method in REQUESTS:
        for status in STATUSES:
            cutter.head = build_answer("a1", status)
            cutter.length = len(cutter.head)
            line = await fetch_status_line(harness, path, method)
            assert is_failure(line), (path, status, line)


async def test_refusal_with_a_status_that_http_does_not_have_is_believed(
    harness: GatewayHarness,
) -> None:
    cutter = HeadCutter()
    await start_cutters(harness, cutter)
    cutter.head = build_answer("a1", "000", is_refusal=True)
    cutter.length = len(cutter.head)
    line = await fetch_status_line(harness, "/book/x", "POST")
    assert is_failure(line), line
