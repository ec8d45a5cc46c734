"""Parts of HTTP answers that servers write to their connections themselves."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection so that its peer receives a reset."""
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


def build_unframed_head(headers: Mapping[str, str]) -> bytes:
    """Return the head of a stream with neither a length nor chunks."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join([*lines, "", ""]).encode()
