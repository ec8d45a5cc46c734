"""Test that a gateway serves slow or odd clients that keep to the limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.gateway_client import COMPLETE_STREAM
from tests.support.gateway_harness import API_KEY, ROUTE_HOST, build_configuration

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

TINY_CHUNKS = 40_000
"""One-byte chunks of a body; more than aiohttp keeps before it pauses."""


def build_head(path: str, method: str = "GET", extra: str = "") -> bytes:
    """Return the head of an ordinary request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
        f"Sycamorehaven-Key: {API_KEY}\r\nSycamorehaven-Attempt-Id: a1\r\n{extra}\r\n"
    ).encode()


async def connect(
    harness: GatewayHarness,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Return a connection to the gateway."""
    host, _, port = harness.callers_address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def test_body_of_tiny_chunks_that_arrives_at_once_is_served(
    harness: GatewayHarness,
) -> None:
    # Guards against dropping aiohttp's call that parses what it left over when
    # it paused; the request would never end.
    reader, writer = await connect(harness)
    chunks = b"1\r\nx\r\n" * TINY_CHUNKS + b"0\r\n\r\n"
    writer.write(build_head("/look/1", "PUT", "Transfer-Encoding: chunked\r\n"))
    writer.write(chunks)
    async with asyncio.timeout(10.0):
        assert b" 200 " in await reader.readline()
    writer.close()


async def test_pipelined_requests_are_all_answered_in_order(
    harness: GatewayHarness,
) -> None:
    reader, writer = await connect(harness)
    writer.write(build_head("/look/1") * 30)
    answers = b""
    async with asyncio.timeout(10.0):
        while answers.count(b"HTTP/1.1 200") < 30 or not answers.endswith(
            (b"by s1", b"by s2")
        ):
            answers += await reader.read(65_536)
    writer.close()


async def test_slow_client_that_progresses_is_served_on_one_connection(
    harness: GatewayHarness,
) -> None:
    # Guards against limits of time that cut a head, a body or a reader that
    # goes on, and against closing the connection of a long upload.
    limits = {"headerTimeoutMs": 1_500, "idleTimeoutMs": 1_200}
    harness.store.put("op/config", build_configuration(2, limits=limits))
    await harness.wait_for_store()
    reader, writer = await connect(harness)
    head = build_head("/look/1", "PUT", "Content-Length: 40\r\n")
    for start in range(0, len(head), 60):
        writer.write(head[start : start + 60])
        await asyncio.sleep(0.2)
    for _ in range(4):
        writer.write(b"x" * 10)
        await asyncio.sleep(0.5)
    assert b" 200 " in await reader.readuntil(b"by s")
    await reader.readexactly(1)
    writer.write(build_head("/stream/1"))
    received = b""
    async with asyncio.timeout(20.0):
        while b"\r\n0\r\n\r\n" not in received:
            received += await reader.read(40)
            await asyncio.sleep(0.2)
    assert COMPLETE_STREAM.count(b"data") == received.count(b"data")
    writer.close()
