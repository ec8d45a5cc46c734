"""Opening of listening sockets and breaking of accepted connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

from aiohttp import HttpVersion11

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from aiohttp import web

ACCEPT_BACKLOG = 1_024
"""Connections that the kernel queues until they are accepted."""
MAX_ACCEPTS_PER_TURN = 16
"""
Connections that are accepted in one turn of the event loop.

Each uses a file descriptor before its protocol exists, so that a listener
cannot count it, and one that makes way is closed some turns later. Batches of
64 exceeded the limit of connections by 250 in a burst.
"""
SHUTDOWN_TIMEOUT_SECONDS = 1.0
"""Seconds in which open requests may finish once the listener has closed."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` option by which closing a connection resets it."""


async def open_listener(
    create_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    tls_context: ssl.SSLContext | None = None,
    wrap_socket: Callable[[socket.socket], socket.socket] | None = None,
    accepts_per_turn: int = MAX_ACCEPTS_PER_TURN,
) -> asyncio.Server:
    """
    Listen on an address.

    :param create_protocol: creates the protocol of a new connection.
    :param host: IP address.
    :param tls_context: encrypts the connections, if given.
    :param wrap_socket: returns the socket that accepts the connections, from
        one that is bound to the address.
    :param accepts_per_turn: connections that are accepted in one turn of the
        event loop.
    :raises OSError: if the address is not available.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family)
    if wrap_socket is not None:
        listening = wrap_socket(listening)
    try:
        server = await asyncio.get_running_loop().create_server(
            create_protocol,
            sock=listening,
            backlog=accepts_per_turn,
            ssl=tls_context,
        )
    except BaseException:
        listening.close()
        raise
    # asyncio has one parameter for the length of the kernel's queue and for
    # the size of a batch.
    listening.listen(ACCEPT_BACKLOG)
    return server


def abort_connection(request: web.BaseRequest) -> None:
    """
    Abort a connection, so that the client sees a truncated response.

    An answer to an HTTP/1.0 client ends with its connection, so that only a
    reset shows that it is not complete.
    """
    if request.transport is None:
        return
    if request.version < HttpVersion11:
        request.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    request.transport.abort()
