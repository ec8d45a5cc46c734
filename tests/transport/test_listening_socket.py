"""Connections that are answered and closed as they are accepted."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from typing import TYPE_CHECKING

from sycamorehaven.transport.listening_socket import (
    MAX_REJECTIONS_PER_ACCEPT,
    RejectingSocket,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUEST = b"GET / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + b"x" * 20_000
RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
ARRIVAL_SECONDS = 5.0


def reject_whole(received: bytes) -> bytes | None:
    """Return a response to a request that has arrived whole."""
    return RESPONSE if received == REQUEST else None


@contextlib.contextmanager
def listen(*, is_short_of_time: bool = True) -> Iterator[RejectingSocket]:
    """Yield a listening socket that rejects whole requests."""
    listening = RejectingSocket.from_socket(
        socket.create_server(("127.0.0.1", 0)), lambda: is_short_of_time, reject_whole
    )
    listening.setblocking(False)
    with listening:
        yield listening


def connect(listening: RejectingSocket, data: bytes) -> socket.socket:
    """Return a client's connection that has sent some data."""
    client = socket.create_connection(listening.getsockname(), timeout=ARRIVAL_SECONDS)
    client.sendall(data)
    return client


def accept(listening: RejectingSocket) -> socket.socket | None:
    """Return the next connection that is accepted, if any."""
    time.sleep(0.05)
    try:
        return listening.accept()[0]
    except BlockingIOError:
        return None


def read_all(client: socket.socket) -> bytes:
    """Return all that a client receives until its connection is closed."""
    received = bytearray()
    while data := client.recv(65_536):
        received += data
    return bytes(received)


def test_request_that_arrived_whole_is_answered_without_a_connection() -> None:
    with listen() as listening, connect(listening, REQUEST) as client:
        assert accept(listening) is None
        assert read_all(client) == RESPONSE


def test_request_that_has_not_arrived_whole_is_left_unread() -> None:
    with listen() as listening, connect(listening, REQUEST[:100]):
        accepted = accept(listening)
        assert accepted is not None
        with accepted:
            assert accepted.recv(1_000) == REQUEST[:100]


def test_connection_without_a_request_yet_is_accepted() -> None:
    with listen() as listening, connect(listening, b""):
        accepted = accept(listening)
        assert accepted is not None
        accepted.close()


def test_connections_are_accepted_while_there_is_time() -> None:
    with (
        listen(is_short_of_time=False) as listening,
        connect(listening, REQUEST),
    ):
        accepted = accept(listening)
        assert accepted is not None
        accepted.close()


def test_clients_that_reset_their_connections_stop_nothing() -> None:
    with listen() as listening:
        client = connect(listening, REQUEST)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        with connect(listening, REQUEST) as other:
            while (accepted := accept(listening)) is not None:
                accepted.close()
            assert read_all(other) == RESPONSE


def test_rejections_in_a_row_are_bounded() -> None:
    with listen() as listening:
        clients = [
            connect(listening, REQUEST) for _ in range(MAX_REJECTIONS_PER_ACCEPT + 1)
        ]
        last = clients[-1]
        assert accept(listening) is None
        last.setblocking(False)
        try:
            data = last.recv(1)
        except BlockingIOError:
            data = b""
        assert data == b""
        assert accept(listening) is None
        last.settimeout(ARRIVAL_SECONDS)
        assert read_all(last) == RESPONSE
        for client in clients:
            client.close()
