"""
A server that answers each request with a body of tiny chunks without end.

``endless_server.py PORT NAME BYTES_PER_SECOND TROUBLE``; without trouble it
ends each answer after a few events. A line is printed for each run.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

from fleet import read_head

CHUNKS = b"1\r\nx\r\n" * 2_000
"""Chunks of one byte each."""
EVENT_COUNT = 20
EVENT_SECONDS = 0.03


class EndlessServer:
    """Sends bytes that are no answer until the caller closes."""

    def __init__(self, name: str, bytes_per_second: float, trouble: bool) -> None:
        self._name = name
        self._rate = bytes_per_second
        self._trouble = trouble
        self._sending = 0

    async def serve(self, reader, writer) -> None:
        """Serve a connection."""
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                first, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                attempt = headers.get("sycamorehaven-attempt-id", "")
                print(f"{attempt} {first}", flush=True)
                writer.write(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    f"Sycamorehaven-Attempt-Id: {attempt}\r\n"
                    f"Sycamorehaven-Response-Signature: {self._name}.{attempt}\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n".encode()
                )
                if self._trouble:
                    await self._send_without_end(writer)
                await self._send_events(writer, attempt)
        writer.close()

    async def _send_without_end(self, writer) -> None:
        """Share the rate among the answers until the caller closes."""
        self._sending += 1
        try:
            while True:
                writer.write(CHUNKS)
                await writer.drain()
                await asyncio.sleep(len(CHUNKS) * self._sending / self._rate)
        finally:
            self._sending -= 1

    async def _send_events(self, writer, attempt: str) -> None:
        for number in range(EVENT_COUNT):
            event = f"id: {number}\ndata: {attempt}/{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main() -> None:
    """Serve until the process is ended."""
    port, name, rate, trouble = sys.argv[1:]
    endless = EndlessServer(name, float(rate), trouble != "0")
    server = await asyncio.start_server(endless.serve, "127.0.0.1", int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
