"""
A server that writes an earlier refusal again on a connection that is kept.

A refusal of another request says nothing about the one that was sent: it may
run, so it is not refused as if it had not.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from typing import TYPE_CHECKING

from tests.support.fleet import allocate_port
from tests.support.gateway_client import send_request
from tests.support.gateway_harness import FakeServer

if TYPE_CHECKING:
    from tests.support.gateway_harness import GatewayHarness

ATTEMPT_PATTERN = re.compile(rb"Sycamorehaven-Attempt-Id: (\S+)", re.IGNORECASE)
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run."""


class RepeatingServer(FakeServer):
    """
    A server that refuses the first request of a connection, and says so again.

    :param status: status of the refusal.
    """

    def __init__(self, status: int) -> None:
        super().__init__("s1", "plain")
        self._refusal_status = status

    async def start(self) -> asyncio.Server:
        """Accept connections."""
        port = allocate_port()
        self.address = f"127.0.0.1:{port}"
        return await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        refusal = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                match = ATTEMPT_PATTERN.search(head)
                assert match is not None
                attempt = match[1].decode()
                if refusal:
                    self.run_attempt_ids.append(attempt)
                refusal = (
                    refusal
                    or (
                        f"HTTP/1.1 {self._refusal_status} Refused\r\n"
                        "Sycamorehaven-Not-Executed: 1\r\n"
                        f"Sycamorehaven-Attempt-Id: {attempt}\r\n"
                        "Content-Length: 0\r\n\r\n"
                    ).encode()
                )
                writer.write(refusal)
                await writer.drain()
        writer.close()


async def check_repeated_refusal(
    harness: GatewayHarness, status: int, path: str
) -> None:
    """Send requests until one meets the repeated refusal; check its answer."""
    server = RepeatingServer(status)
    listener = await server.start()
    harness.store.remove("servers/s2")
    harness.register(server)
    await harness.wait_for_store()
    try:
        for number in range(8):
            attempt = f"a{number}"
            answer, _, _ = await send_request(harness, path, "POST", attempt=attempt)
            if attempt in server.run_attempt_ids:
                assert answer not in NOT_RUN_STATUSES
            await asyncio.sleep(0.3)
        assert server.run_attempt_ids, "no request met the repeated refusal"
    finally:
        listener.close()


async def test_repeated_overload_refusal_is_not_passed_on_as_not_run(
    harness: GatewayHarness,
) -> None:
    await check_repeated_refusal(harness, 503, "/stream/1")


async def test_repeated_refusal_of_another_instance_is_not_passed_on_as_not_run(
    harness: GatewayHarness,
) -> None:
    await check_repeated_refusal(harness, 421, "/look/1")
