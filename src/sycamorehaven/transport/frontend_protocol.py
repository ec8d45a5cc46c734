"""The connections of clients of published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from sycamorehaven.transport.client_limits.protocol import LimitedProtocol
from sycamorehaven.transport.offload.preface import PrefaceReader
from sycamorehaven.transport.request_framing import HEAD_END, RequestFraming

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from sycamorehaven.transport.client_limits.pool import ConnectionPool
    from sycamorehaven.transport.time_gate import EarlyRejection

    OffloadStart = Callable[[asyncio.Transport], None]


class FrontendProtocol(LimitedProtocol):
    """
    The aiohttp protocol of one client connection.

    :param pool: the connections of the listener.
    :param on_connected: called when the connection has been made.
    :param arriving_connections: the connections with a request whose head has
        arrived and that the HTTP server has not begun to answer.
    :param reject_early: returns the rejection of a request that the router has
        no time for; ``None`` leaves the request to the HTTP server.
    :param find_offload: returns what lets another router answer a request that
        this one has no time for; ``None`` if none does.
    :ivar has_active_request: whether a request on the connection is in
        progress, or has been received at least in part.
    """

    has_active_request = False

    def __init__(
        self,
        pool: ConnectionPool,
        arriving_connections: set[FrontendProtocol],
        on_connected: Callable[[], None],
        reject_early: Callable[[bytes], EarlyRejection | None],
        find_offload: Callable[[bytes], OffloadStart | None],
        *args: Any,
        **options: Any,
    ) -> None:
        super().__init__(pool, *args, **options)
        self._arriving_connections = arriving_connections
        self._on_connected = on_connected
        self._reject_early = reject_early
        self._find_offload = find_offload
        self._preface = PrefaceReader()
        self._framing = RequestFraming()
        self._discarded_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection."""
        super().connection_made(transport)
        self._on_connected()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection."""
        self._arriving_connections.discard(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Handle data, which may hold a request that has yet to begin."""
        received, data = data, self._discard(self._preface.strip(data))
        if received and not data:
            return
        if not data:
            # aiohttp parses the rest of what it has received before.
            super().data_received(data)
            return
        if self._is_waiting_for_request() and not self.is_offloaded:
            offload = self._find_offload(data)
            if offload is not None:
                self._hand_over(offload)
                return
            rejection = self._reject_early(data)
            if rejection is not None:
                self._answer_early(rejection)
                return
            if HEAD_END in data:
                self._arriving_connections.add(self)
        self._framing.feed(data)
        self.has_active_request = True
        super().data_received(data)

    @property
    def is_offloaded(self) -> bool:
        """Whether another router has passed the request on."""
        return self._preface.is_offloaded

    def _hand_over(self, offload: OffloadStart) -> None:
        """Leave the connection to another protocol."""
        transport, self.transport = self.transport, None
        assert transport is not None
        self.connection_lost(None)
        offload(transport)

    def _discard(self, data: bytes) -> bytes:
        """Return what does not belong to the body of a rejected request."""
        if not self._discarded_bytes:
            return data
        discarded = min(self._discarded_bytes, len(data))
        self._discarded_bytes -= discarded
        return data[discarded:]

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

    def _answer_early(self, rejection: EarlyRejection) -> None:
        """Send a response to a request that the HTTP server has not seen."""
        assert self.transport is not None
        self.transport.write(rejection.response)
        self._discarded_bytes = rejection.remaining
        self.mark_idle()
        # The HTTP server closes connections that it takes for unused.
        self._next_keepalive_close_time = self._loop.time() + self._keepalive_timeout

    def begin_request(self) -> None:
        """Record that a request on the connection is in progress."""
        self.has_active_request = True
        self._arriving_connections.discard(self)

    def end_request(self) -> None:
        """Record that the request has ended."""
        self.has_active_request = False

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
