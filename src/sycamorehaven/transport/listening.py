"""Opens listening sockets that are accepted from in small batches."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

ACCEPT_BACKLOG = 1_024
"""Connections that the kernel queues until they are accepted."""
MAX_ACCEPTS_PER_TURN = 64
"""
Connections that are accepted in one turn of the event loop.

Each uses a file descriptor before its protocol exists, so that a listener
cannot count it. In a larger batch they would use up the descriptors.
"""


async def open_listener(
    create_protocol: Callable[[], asyncio.Protocol],
    host: str,
    port: int,
    tls_context: ssl.SSLContext | None = None,
) -> asyncio.Server:
    """
    Listen on an address.

    :param create_protocol: creates the protocol of a new connection.
    :param host: IP address.
    :param tls_context: encrypts the connections, if given.
    :raises OSError: if the address is not available.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family)
    try:
        server = await asyncio.get_running_loop().create_server(
            create_protocol,
            sock=listening,
            backlog=MAX_ACCEPTS_PER_TURN,
            ssl=tls_context,
        )
    except BaseException:
        listening.close()
        raise
    # asyncio has one parameter for the length of the kernel's queue and for
    # the size of a batch.
    listening.listen(ACCEPT_BACKLOG)
    return server
