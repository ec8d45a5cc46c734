"""Faults that tests inject into a stand-in backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

RequestHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]
"""Coroutine function that answers an HTTP request."""


class InjectedFaults:
    """
    The faults that are injected into one server.

    The JSON body of ``PUT /control/faults`` may contain:

    - ``leaving`` (boolean): the server reports that it leaves, and rejects
      requests without running them;
    - ``silence`` (boolean): no request on a connection that is open now gets
      an answer; new connections work;
    - ``refuse_late`` (boolean): a booking runs, but is answered with status
      503;
    - ``crash_on`` (string): the server crashes when it receives a request
      whose body contains the string.

    :param crash: function that simulates a crash of the server.
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
        """Handle ``PUT /control/faults``."""
        faults = await request.json()
        self.leaving = faults.get("leaving", self.leaving)
        self.refuse_late = faults.get("refuse_late", self.refuse_late)
        self._crash_on = faults.get("crash_on", self._crash_on.decode()).encode()
        if faults.get("silence"):
            self._silent_transports |= self._open_transports
        return web.Response(status=204)

    async def apply_to_request(self, request: web.Request) -> None:
        """
        Apply the injected faults to a received request.

        :raises HTTPServiceUnavailable: if the server is leaving.
        :raises CancelledError: if the request crashed the server.
        """
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
