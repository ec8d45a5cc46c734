"""
A listening socket that rejects requests as their connections are accepted.

A router that is short of time gets most requests on connections of their own.
To set up a transport and an HTTP protocol for each takes longer than to decide
on the request. So while the router is short of time, a connection whose
request has arrived whole is answered and closed as it is accepted.
"""

from __future__ import annotations

import contextlib
import errno
import socket
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REJECTIONS_PER_ACCEPT = 16
"""Connections that are closed in a row; other work gets its turn then."""
MAX_REQUEST_BYTES = 65_536
"""Bytes of a request that are read at once."""


class RejectingSocket(socket.socket):
    """A listening socket that closes some connections with a response."""

    _is_short_of_time: Callable[[], bool]
    _reject: Callable[[bytes], bytes | None]

    @classmethod
    def from_socket(
        cls,
        listening: socket.socket,
        is_short_of_time: Callable[[], bool],
        reject: Callable[[bytes], bytes | None],
    ) -> RejectingSocket:
        """
        Take over a listening socket.

        :param is_short_of_time: returns whether requests may be rejected.
        :param reject: returns the response to what a connection has received;
            ``None`` if it has to be accepted.
        """
        made = cls(
            listening.family, listening.type, listening.proto, listening.detach()
        )
        made._is_short_of_time, made._reject = is_short_of_time, reject
        return made

    def accept(self) -> tuple[socket.socket, Any]:
        """
        Return the next connection that is not rejected.

        :raises BlockingIOError: if there is none for now.
        """
        for _ in range(MAX_REJECTIONS_PER_ACCEPT):
            connection, address = super().accept()
            if not self._is_short_of_time() or not self._close_rejected(connection):
                return connection, address
        raise BlockingIOError(errno.EAGAIN, "other work is due first")

    def _close_rejected(self, connection: socket.socket) -> bool:
        """Answer and close a connection if its request is rejected."""
        try:
            # What is not rejected has to stay unread.
            received = connection.recv(
                MAX_REQUEST_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            return False
        response = self._reject(received) if received else None
        if response is None:
            return False
        with connection, contextlib.suppress(OSError):
            # Closing a connection with unread bytes would reset it.
            connection.recv(len(received), socket.MSG_DONTWAIT)
            connection.send(response, socket.MSG_DONTWAIT)
        return True
