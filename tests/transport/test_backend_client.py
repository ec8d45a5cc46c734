"""Answers of servers that are no whole answers of HTTP."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
from unittest import TestCase

from sycamorehaven.call import Call
from sycamorehaven.configuration.model import (
    BackendServer,
    CallRule,
    Service,
    Workspace,
)
from sycamorehaven.exceptions.backends import AnswerInvalid, BackendError
from sycamorehaven.transport.backend_client import HttpBackendClient
from tests.support.raw_answers import reset_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    Connection = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

UPLOAD_BYTES = 4_000_000
"""Size of a long upload, more than the buffers of a connection hold."""
DELAYS = (0.0, 0.002, 0.05)
"""Seconds from a part of the answer to the reset."""


@contextlib.asynccontextmanager
async def run_server(connection: Connection) -> AsyncIterator[BackendServer]:
    """Run a server that handles its connections itself."""
    listener = await asyncio.start_server(connection, "127.0.0.1", 0)
    address = "{}:{}".format(*listener.sockets[0].getsockname())
    async with listener:
        yield BackendServer(
            "s1", address, "plain", "a", 8, 8, (), (), "", "", checks_fencing=False
        )


def build_call(body: bytes = b"", *, idempotent: bool = False) -> Call:
    """Return a call to a plain service."""
    rule = CallRule("POST", "/", idempotent, resumable=False)
    return Call(
        "r1",
        Workspace._make([None] * len(Workspace._fields)),
        Service._make([None] * len(Service._fields)),
        rule,
        "POST",
        "/x",
        (),
        body,
        "interactive",
        1e12,
        0.0,
        "",
    )


async def fetch(server: BackendServer, call: Call) -> bytes:
    """
    Return the whole body of an answer.

    :raises BackendError: if the attempt fails.
    """
    client = HttpBackendClient()
    try:
        response = await client.send(server, call)
        try:
            return b"".join([chunk async for chunk in response.read_chunks()])
        finally:
            response.close()
    finally:
        await client.close()


async def test_answer_with_a_status_that_http_does_not_have_is_passed_on() -> None:
    for status in ("000", "001", "099", "101", "600", "999"):

        async def answer(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            status: str = status,
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nbody"
            writer.write(head.encode())
            await writer.drain()
            writer.close()

        async with run_server(answer) as server:
            for idempotent in (False, True):
                call = build_call(idempotent=idempotent)
                with TestCase().assertRaises(AnswerInvalid):
                    await fetch(server, call)


# The head names no length, so only the end of the connection tells the end.
async def test_part_of_an_early_answer_to_a_long_upload_looks_whole() -> None:
    for delay in DELAYS:
        for reads in (0, 100_000):

            async def answer(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                delay: float = delay,
                reads: int = reads,
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                if reads:
                    await reader.readexactly(reads)
                writer.write(b"HTTP/1.1 200 OK\r\n\r\npart of the body")
                await writer.drain()
                await asyncio.sleep(delay)
                reset_connection(writer.transport)

            async with run_server(answer) as server:
                for idempotent in (False, True):
                    call = build_call(b"x" * UPLOAD_BYTES, idempotent=idempotent)
                    with TestCase().assertRaises(BackendError):
                        await fetch(server, call)
