"""Servers that stop in the middle of a response's head and close."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from tests.support.fleet import allocate_port
from tests.support.gateway_client import send_request
from tests.support.raw_answers import reset_connection

if TYPE_CHECKING:
    from sycamorehaven.decisions.server_model import ServerModel
    from tests.support.gateway_harness import GatewayHarness

FRAMINGS = ("Content-Length: 4", "Transfer-Encoding: chunked", "Connection: close")
"""Headers that tell where a body ends; the last one leaves that open."""
STEP_BYTES = 3
"""Distance between the lengths at which heads are cut."""


def build_head(attempt: str, framing: str, content_type: str) -> bytes:
    """Return the head of a successful response, with its last empty line."""
    lines = (
        "HTTP/1.1 200 OK",
        f"Content-Type: {content_type}",
        f"Sycamorehaven-Attempt-Id: {attempt}",
        "Sycamorehaven-Response-Signature: by-s1",
        framing,
    )
    return "\r\n".join([*lines, "", ""]).encode()


class HeadCutter:
    """
    A server that sends a part of a head and closes the connection.

    :ivar head: the whole head.
    :ivar length: number of its bytes that are sent.
    :ivar resets: whether the connection is reset rather than closed.
    """

    def __init__(self) -> None:
        self.head = b""
        self.length = 0
        self.resets = False

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read the head of a request and send a part of a response's head."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.head[: self.length])
        await writer.drain()
        if self.resets:
            reset_connection(writer.transport)
        writer.close()


async def start_cutters(harness: GatewayHarness, cutter: HeadCutter) -> None:
    """Let the cutter take the place of all servers."""
    for fake in harness.servers:
        port = allocate_port()
        await asyncio.start_server(cutter.handle_connection, "127.0.0.1", port)
        fake.address = f"127.0.0.1:{port}"
        fake.started_at_ms += 1
        harness.register(fake)
    await harness.wait_for_store()


async def fetch(harness: GatewayHarness, path: str, method: str) -> int | None:
    """Return the status of a response; ``None`` if the connection broke."""
    try:
        status, _, _ = await send_request(harness, path, method)
    except aiohttp.ClientError:
        return None
    return status


async def test_cut_head_becomes_no_success(harness: GatewayHarness) -> None:
    cutter = HeadCutter()
    await start_cutters(harness, cutter)
    requests: tuple[tuple[str, str, str], ...] = (
        ("/look/x", "GET", "text/plain"),
        ("/book/x", "POST", "text/plain"),
        ("/stream/x", "POST", "text/event-stream"),
        ("/once-stream/x", "POST", "text/event-stream"),
    )
    for path, method, content_type in requests:
        for framing in FRAMINGS:
            cutter.head = build_head("a1", framing, content_type)
            for length in (*range(0, len(cutter.head), STEP_BYTES), -3, -2, -1):
                cutter.length = length if length >= 0 else len(cutter.head) + length
                cutter.resets = length % 2 == 0
                for model in list_models(harness):
                    model.reset_after_restart()
                status = await fetch(harness, path, method)
                assert status is None or status >= 500, (path, framing, length, status)


def list_models(harness: GatewayHarness) -> list[ServerModel]:
    """Return the models of the servers, to end ejections between requests."""
    fleet_load = harness.board.fleet_load
    return [fleet_load.find_model(server.name) for server in harness.servers]
