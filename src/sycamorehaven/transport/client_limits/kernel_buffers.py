"""What the kernel holds for a connection."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def measure_unsent(transport: asyncio.Transport) -> int:
    """Return the bytes that the kernel has taken and the client has not."""
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return 0
    data = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return int(struct.unpack("i", data)[0])


def limit_received(transport: asyncio.Transport | None, size: int) -> None:
    """Limit the bytes that the kernel receives while nobody reads them."""
    connection = transport.get_extra_info("socket") if transport else None
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
