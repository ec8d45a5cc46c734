"""Servers that answer a long upload before they have read it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from tests.platform.test_cut_heads import list_models
from tests.support.fleet import allocate_port
from tests.support.gateway_harness import API_KEY, ROUTE_HOST, build_configuration
from tests.support.raw_answers import build_unframed_head, reset_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.support.gateway_harness import GatewayHarness

UPLOAD_BYTES = 4_000_000
"""Size of a long upload, more than the buffers of a connection hold."""
MAX_BODY_BYTES = 8_000_000
DELAYS = (0.0, 0.002, 0.05)
"""Seconds from a part of the answer to the reset."""
PARTS = {
    "/look/x": b"part of the body",
    "/book/x": b"part of the body",
} | dict.fromkeys(("/stream/x", "/once-stream/x"), b"id: 1\ndata: x\n\n")
"""Part of the answer that is sent, by path."""


class EarlyAnswerer:
    """
    A server that answers at once and resets the connection.

    :ivar part: the part of the body that it sends.
    :ivar delay: seconds from the part to the reset.
    """

    def __init__(self) -> None:
        self.part = b""
        self.delay = 0.0

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the first request without reading its body."""
        await reader.readuntil(b"\r\n\r\n")
        signed = {
            "Sycamorehaven-Attempt-Id": "a1",
            "Sycamorehaven-Response-Signature": "by-s1",
        }
        writer.write(build_unframed_head(signed) + self.part)
        await writer.drain()
        await asyncio.sleep(self.delay)
        reset_connection(writer.transport)


async def start_servers(harness: GatewayHarness, server: EarlyAnswerer) -> None:
    """Let the server take the place of all servers, and allow long bodies."""
    limits = {"maxHeaderBytes": 16_384, "maxBodyBytes": MAX_BODY_BYTES}
    harness.store.put("op/config", build_configuration(2, limits=limits))
    for fake in harness.servers:
        port = allocate_port()
        await asyncio.start_server(server.handle_connection, "127.0.0.1", port)
        fake.address = f"127.0.0.1:{port}"
        fake.started_at_ms += 1
        harness.register(fake)
    await harness.wait_for_store()


async def yield_body() -> AsyncIterator[bytes]:
    """Yield the body of an upload without a length."""
    for _ in range(40):
        yield b"x" * (UPLOAD_BYTES // 40)


async def upload(harness: GatewayHarness, path: str, *, has_length: bool) -> int | None:
    """Return the status of a whole answer; ``None`` if it broke off."""
    headers = {
        "Host": ROUTE_HOST,
        "Sycamorehaven-Attempt-Id": "a1",
        "Sycamorehaven-Key": API_KEY,
        "Sycamorehaven-Deadline-Ms": "3000",
    }
    url = f"http://{harness.callers_address}{path}"
    body = b"x" * UPLOAD_BYTES if has_length else yield_body()
    try:
        async with (
            aiohttp.ClientSession() as client,
            client.post(url, headers=headers, data=body) as response,
        ):
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return None


# The head names no length, so only the end of the connection tells the end.
async def test_part_of_an_early_answer_to_a_long_upload_looks_whole(
    harness: GatewayHarness,
) -> None:
    server = EarlyAnswerer()
    await start_servers(harness, server)
    for path, server.part in PARTS.items():
        for server.delay in DELAYS:
            for has_length in (True, False):
                for model in list_models(harness):
                    model.reset_after_restart()
                status = await upload(harness, path, has_length=has_length)
                assert status is None or status >= 500, (path, server.delay, status)
