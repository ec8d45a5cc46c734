"""Faults that a stand-in backend server can be told to show."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class InjectedFaults:
    """
    Leaving, silence and crashes.

    ``PUT /control/faults`` takes any of ``leaving`` (bool), ``silence``
    (bool: connections that are open now never answer again, new ones do),
    ``refuse_late`` (bool: a booking runs and is then answered with 503) and
    ``crash_on`` (text: a request whose body holds it ends the server).

    :param crash: ends the server at once.
    """

    def __init__(self, crash: Callable[[], None]) -> None:
        self._crash_server = crash
        self._crash_on = b""
        self._open_transports: set[asyncio.BaseTransport] = set()
        self._silent_transports: set[asyncio.BaseTransport] = set()
        self.leaving = False
        self.refuse_late = False
        self.crashes = 0

    async def handle_put_faults(self, request: web.Request) -> web.Response:
        """Take new faults."""
        wanted = await request.json()
        self.leaving = wanted.get("leaving", self.leaving)
        self.refuse_late = wanted.get("refuse_late", self.refuse_late)
        self._crash_on = wanted.get("crash_on", self._crash_on.decode()).encode()
        if wanted.get("silence"):
            self._silent_transports |= self._open_transports
        return web.Response(status=204)

    async def apply_to_request(self, request: web.Request) -> None:
        """Show the faults that a request meets, if any."""
        if request.transport is not None:
            self._open_transports.add(request.transport)
            if request.transport in self._silent_transports:
                await asyncio.Event().wait()
        if self.leaving:
            raise web.HTTPServiceUnavailable(
                headers={"Connection": "close", "Was-Run": "no"}
            )
        if self._crash_on and self._crash_on in await request.read():
            self.crashes += 1
            self._crash_server()
            if request.transport is not None:
                request.transport.abort()
            raise asyncio.CancelledError
