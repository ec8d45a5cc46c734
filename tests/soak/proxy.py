"""A loopback proxy that injects faults into the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tests.support.fleet import allocate_port

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65_536
POLL_INTERVAL_SECONDS = 0.01
"""Seconds between two checks whether a blocked direction is open again."""


class FaultyProxy:
    """
    Forwards connections to a target address.

    :ivar target: address to which connections are forwarded.
    :ivar address: address at which the proxy listens.
    :ivar delay: seconds by which data is delayed in both directions.
    :ivar blocks_requests: whether data to the target is held back.
    :ivar blocks_answers: whether data from the target is held back.
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
        """End every fault; data that was held back is forwarded."""
        self.delay = 0.0
        self.blocks_requests = False
        self.blocks_answers = False
        self.resets_new_connections = False

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    async def stop(self) -> None:
        """Stop listening and close all connections."""
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
            # A reset by one peer is passed on to the other one.
            writer.transport.abort()
            other.transport.abort()
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()
