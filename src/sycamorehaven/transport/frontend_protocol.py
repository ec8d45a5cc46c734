"""The connections of clients of published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sycamorehaven.transport.problem_details import ProblemProtocol

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
    :ivar has_active_request: whether a request on the connection is in
        progress, or has been received at least in part.
    """

    has_active_request = False

    def __init__(
        self,
        idle_connections: OrderedDict[FrontendProtocol, None],
        on_connected: Callable[[], None],
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(*args, **options)
        self._idle_connections = idle_connections
        self._on_connected = on_connected

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
        self.has_active_request = True
        self._idle_connections.pop(self, None)
        super().data_received(data)

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
