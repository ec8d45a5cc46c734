"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from tests.support.fleet import find_port

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK = 65_536
POLL = 0.01
"""Seconds between two looks whether a cut direction is open again."""


class FaultyProxy:
    """
    Forwards connections to an address.

    :ivar delay: seconds by which each piece is late, in both directions.
    :ivar holds_requests: whether what goes to the address is held back.
    :ivar holds_answers: whether what comes from the address is held back.
    :ivar refuses: whether new connections are reset.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = f"127.0.0.1:{find_port()}"
        self.heal()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    def heal(self) -> None:
        """End every fault; what was held back goes on."""
        self.delay = 0.0
        self.holds_requests = False
        self.holds_answers = False
        self.refuses = False

    def reset(self) -> None:
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
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            if self.refuses:
                raise ConnectionRefusedError
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._start(reader, far_writer, writer, lambda: self.holds_requests)
        self._start(far_reader, writer, far_writer, lambda: self.holds_answers)

    def _start(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        other: asyncio.StreamWriter,
        holds: Callable[[], bool],
    ) -> None:
        self._writers.add(writer)
        task = asyncio.create_task(self._pump(reader, writer, other, holds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        other: asyncio.StreamWriter,
        holds: Callable[[], bool],
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while holds():  # noqa: ASYNC110
                    await asyncio.sleep(POLL)
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
