"""The connections of clients of published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sycamorehaven.transport.problem_details import ProblemProtocol
from sycamorehaven.transport.request_framing import RequestFraming

if TYPE_CHECKING:
    import asyncio
    from collections import OrderedDict
    from collections.abc import Callable


class FrontendProtocol(ProblemProtocol):
    """
    The aiohttp protocol of one client connection.

    :param idle_connections: the open connections without a request, from the
        longest unused to the last used.
    :param on_connected: called when the connection has been made.
    :param reject_early: returns the response to a request that the router has
        no time for; ``None`` leaves the request to the HTTP server.
    :ivar has_active_request: whether a request on the connection is in
        progress, or has been received at least in part.
    """

    has_active_request = False

    def __init__(
        self,
        idle_connections: OrderedDict[FrontendProtocol, None],
        on_connected: Callable[[], None],
        reject_early: Callable[[bytes], bytes | None],
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._idle_connections = idle_connections
        self._on_connected = on_connected
        self._reject_early = reject_early
        self._framing = RequestFraming()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection."""
        super().connection_made(transport)
        self._idle_connections[self] = None
        self._on_connected()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection."""
        self._idle_connections.pop(self, None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handle data, which may hold a request that has yet to begin."""
        if self._is_waiting_for_request():
            response = self._reject_early(data)
            if response is not None:
                self._answer_early(response)
                return
        self._framing.feed(data)
        self.has_active_request = True
        self._idle_connections.pop(self, None)
        super().data_received(data)

    def _is_waiting_for_request(self) -> bool:
        """
        Return whether all earlier requests were answered completely.

        A client that does not read its responses is left to the HTTP server,
        which waits until it does.
        """
        waiter = self._waiter
        return (
            waiter is not None
            and not waiter.done()
            and not self.has_active_request
            and self._current_request is None
            and not self.writing_paused
            and self._framing.is_between_requests
        )

    def _answer_early(self, response: bytes) -> None:
        """Send a response to a request that the HTTP server has not seen."""
        assert self.transport is not None
        self.transport.write(response)
        if self in self._idle_connections:
            self._idle_connections.move_to_end(self)
        # The HTTP server closes connections that it takes for unused.
        self._next_keepalive_close_time = self._loop.time() + self._keepalive_timeout

    def begin_request(self) -> None:
        """Record that a request on the connection is in progress."""
        self.has_active_request = True
        self._idle_connections.pop(self, None)

    def end_request(self) -> None:
        """Record that the request has ended."""
        self.has_active_request = False
        if self.transport is not None:
            self._idle_connections[self] = None

    def close_if_idle(self) -> bool:
        """
        Close the connection unless a request on it is in progress.

        :return: whether it was open and is being closed now.
        """
        if self.has_active_request or self.transport is None:
            return False
        if self.transport.is_closing():
            return False
        self.transport.close()
        return True

    def set_idle_timeout(self, timeout: float) -> None:
        """Close the connection after ``timeout`` seconds without a request."""
        self._keepalive_timeout = timeout
