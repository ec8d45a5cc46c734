"""Listeners for short requests of balancers, scrapers and operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from sycamorehaven.transport.client_limits.pool import ConnectionLimits
from sycamorehaven.transport.client_limits.protocol import LimitedProtocol
from sycamorehaven.transport.listening import open_listener

if TYPE_CHECKING:
    from aiohttp import web

    from sycamorehaven.transport.client_limits.guard import ClientGuard

CHECK_LIMITS = ConnectionLimits(
    connections=32,
    head_bytes=16_384,
    header_timeout=3.0,
    body_timeout=3.0,
    write_timeout=10.0,
)
"""Limits of a listener whose clients send short requests without bodies."""
CHECK_ACCEPTS_PER_TURN = 8
"""Connections that are accepted in one turn of the event loop."""
CHECK_OPTIONS: dict[str, Any] = {
    "access_log": None,
    "auto_decompress": False,
    "max_field_size": 8_192,
    "max_line_size": 8_192,
    "max_headers": 128,
    "read_bufsize": 4_096,
    # A connection whose request has a body is closed, so that the body need
    # not be read.
    "lingering_time": 0.0,
    "keepalive_timeout": 15.0,
}
"""Options of aiohttp's protocol for such a listener."""


async def open_check_listener(
    server: web.Server, guard: ClientGuard, host: str, port: int
) -> asyncio.Server:
    """
    Listen for short requests.

    :param server: answers the requests.
    :param guard: holds the clients to limits.
    :raises OSError: if the address is not available.
    """
    pool = guard.create_pool(lambda: CHECK_LIMITS)
    loop = asyncio.get_running_loop()
    return await open_listener(
        lambda: CheckProtocol(pool, server, loop=loop, **CHECK_OPTIONS),
        host,
        port,
        accepts_per_turn=CHECK_ACCEPTS_PER_TURN,
    )


class CheckProtocol(LimitedProtocol):
    """The connection of a client that sends short requests."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection, for which another may have to make way."""
        super().connection_made(transport)
        self._pool.make_room()
