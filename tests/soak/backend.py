"""Run a backend server of the soak: ``python -m tests.soak.backend``."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer
from aiohttp import web

from tests.support.raw_answers import build_unframed_head

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

STREAM_EVENT_COUNT = 15
"""Number of events in a complete stream."""
EVENT_INTERVAL_SECONDS = 0.03
"""Seconds between two events of a stream."""
MAX_RUN_SECONDS = 0.08
"""Longest time in seconds that a plain request takes."""
SLOTS = 12
CRASH_PATH = "crash"
"""Text in the path of a request that makes the server crash."""


def build_event(attempt: str, number: int) -> bytes:
    """Return the event with a number in the stream of an attempt."""
    return f"id: {number}\ndata: {attempt}/{number}\n\n".encode()


def is_unframed(attempt: str) -> bool:
    """Return whether the stream of an attempt ends with its connection."""
    return attempt.endswith(("0", "2", "4", "6", "8"))


def build_body(attempt: str) -> bytes:
    """Return the body of the answer to a plain request."""
    return f"{attempt}\n".encode() * 20


class SoakBackend:
    """
    Runs requests and prints a JSON line when each of them begins and ends.

    :param name: id of the server.
    :param service: name of the service that it serves.
    """

    def __init__(self, name: str, service: str) -> None:
        self._name = name
        self._service = service
        self._running = 0

    async def handle_request(self, request: BaseRequest) -> web.StreamResponse:
        """Run a request, or refuse it without running it."""
        attempt = request.headers.get("Sycamorehaven-Attempt-Id", "")
        if request.headers.get("Sycamorehaven-Expect-Instance") != self._name:
            return web.Response(status=421)
        if self._running >= SLOTS:
            return web.Response(status=503, headers={"Sycamorehaven-Not-Executed": "1"})
        self._running += 1
        self._report("began", attempt, request.path)
        if CRASH_PATH in request.path:
            os._exit(1)
        try:
            response = await self._run(request, attempt)
        except (asyncio.CancelledError, ConnectionError):
            self._report("cut", attempt, request.path)
            raise
        finally:
            self._running -= 1
        self._report("ended", attempt, request.path)
        return response

    async def _run(self, request: BaseRequest, attempt: str) -> web.StreamResponse:
        headers = {
            "Sycamorehaven-Attempt-Id": attempt,
            "Sycamorehaven-Response-Signature": f"{self._name}.{attempt}",
        }
        if "stream" not in request.path:
            await request.read()
            await asyncio.sleep(random.uniform(0.01, MAX_RUN_SECONDS))
            return web.Response(headers=headers, body=build_body(attempt))
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        if is_unframed(attempt):
            return await _stream_without_framing(request, headers, attempt, first)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        await response.prepare(request)
        for number in range(first, STREAM_EVENT_COUNT):
            await response.write(build_event(attempt, number))
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        await response.write_eof()
        return response

    def _report(self, event: str, attempt: str, path: str) -> None:
        line = [event, attempt, self._name, self._service, path, time.monotonic()]
        sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
        sys.stdout.flush()


async def _stream_without_framing(
    request: BaseRequest, headers: dict[str, str], attempt: str, first: int
) -> web.StreamResponse:
    """
    Send a stream with neither a length nor chunks.

    The last byte of an event comes with the next one, so that the stream of a
    server that is killed ends inside an event.
    """
    transport = request.transport
    assert transport is not None
    transport.write(build_unframed_head(headers))
    withheld = b""
    for number in range(first, STREAM_EVENT_COUNT):
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
        event = withheld + build_event(attempt, number)
        withheld = event[-1:]
        transport.write(event[:-1])
    transport.write(withheld)
    transport.close()
    return web.Response()


async def run_backend(name: str, service: str, port: int) -> None:
    """Serve requests until the process is killed."""
    backend = SoakBackend(name, service)
    server = web.Server(backend.handle_request, handler_cancellation=True)
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def serve(
    name: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    port: Annotated[int, typer.Option()],
) -> None:
    """Run one backend server."""
    asyncio.run(run_backend(name, service, port))


if __name__ == "__main__":
    typer.run(serve)
