"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tests.support.fleet import allocate_port

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65_536
POLL_INTERVAL_SECONDS = 0.01
"""Seconds between two looks whether a cut direction is open again."""


class FaultyProxy:
    """
    Forwards connections to an address.

    :ivar delay: seconds by which each piece is late, in both directions.
    :ivar blocks_requests: whether what goes to the address is held back.
    :ivar blocks_answers: whether what comes from the address is held back.
    :ivar resets_new_connections: whether new connections are reset.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = f"127.0.0.1:{allocate_port()}"
        self.clear_faults()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    def clear_faults(self) -> None:
        """End every fault; what was held back goes on."""
        self.delay = 0.0
        self.blocks_requests = False
        self.blocks_answers = False
        self.resets_new_connections = False

    def reset_connections(self) -> None:
        """Reset the connections that are open."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            if self.resets_new_connections:
                raise ConnectionRefusedError
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._start_forwarding(reader, far_writer, writer, lambda: self.blocks_requests)
        self._start_forwarding(
            far_reader, writer, far_writer, lambda: self.blocks_answers
        )

    def _start_forwarding(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        other: asyncio.StreamWriter,
        is_blocked: Callable[[], bool],
    ) -> None:
        self._writers.add(writer)
        task = asyncio.create_task(self._forward(reader, writer, other, is_blocked))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        other: asyncio.StreamWriter,
        is_blocked: Callable[[], bool],
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while is_blocked():  # noqa: ASYNC110
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # A reset on one side is a reset on the other.
            writer.transport.abort()
            other.transport.abort()
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()
