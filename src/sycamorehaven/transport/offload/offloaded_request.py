"""
A request that another router answers.

The bytes are passed on in both directions as they come. The other router
closes the connection behind its answer, so that the end of the answer need not
be found, and the next request of the client is decided on anew.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from sycamorehaven.exceptions.refusals import AttemptsExhausted, BackendTimeout
from sycamorehaven.settings import split_address
from sycamorehaven.transport.offload.preface import PREFACE
from sycamorehaven.transport.problem_details import render_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.decisions.offload.peers import OffloadPeer
    from sycamorehaven.exceptions.refusals import Refusal

CONNECT_TIMEOUT_SECONDS = 0.5
"""Time limit of the connection to the other router."""
ANSWER_GRACE_SECONDS = 0.2
"""Time by which the other router's own answer may come after the deadline."""
FLUSH_TIMEOUT_SECONDS = 10.0
"""Time in which a client has to take the end of an answer."""
BUFFER_BYTES = 16_384
"""Bytes that may wait in each direction, and that are read at a time."""


class OffloadedRequest(asyncio.Protocol):
    """
    The connection of a client whose request another router answers.

    :param transport: the connection.
    :param peer: the other router.
    :param timeout: seconds until the request has to be answered.
    :param refusal: the response if the other router can't be reached.
    :param on_failure: called with what the client is answered if the other
        router does not answer.
    :param on_end: called once the connection of the client is closed.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        peer: OffloadPeer,
        timeout: float,
        refusal: Refusal,
        on_failure: Callable[[OffloadedRequest, Refusal], None],
        on_end: Callable[[OffloadedRequest], None],
    ) -> None:
        self._transport = transport
        self._peer = peer
        self._timeout = timeout
        self._refusal = refusal
        self._on_failure = on_failure
        self._on_end = on_end
        self._peer_transport: asyncio.Transport | None = None
        self._has_answer = False
        self._has_ended = False
        self._connecting: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def host(self) -> str:
        """Host of the other router."""
        return self._peer.host

    def begin(self, data: bytes) -> None:
        """
        Pass the request on.

        :param data: what has been received of it.
        """
        loop = asyncio.get_running_loop()
        self._transport.set_protocol(self)
        limit_buffers(self._transport)
        self._transport.pause_reading()
        self._connecting = loop.create_task(self._connect(data))
        self._timer = loop.call_later(
            self._timeout + ANSWER_GRACE_SECONDS, self._handle_timeout
        )

    async def _connect(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        host, port = split_address(self._peer.callers_address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                transport, _ = await loop.create_connection(
                    lambda: PeerConnection(self, self._transport), host, port
                )
        except (OSError, TimeoutError):
            self._refuse(self._refusal)
            return
        if self._has_ended:
            transport.abort()
            return
        self._peer_transport = transport
        limit_buffers(transport)
        transport.write(PREFACE + data)
        self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Pass on what the client sends."""
        if self._peer_transport is not None:
            self._peer_transport.write(data)

    def pause_writing(self) -> None:
        """Read no more of the answer while the client does not take it."""
        if self._peer_transport is not None:
            self._peer_transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on once the client has taken what waits."""
        if self._peer_transport is not None:
            self._peer_transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Let the other router know that the client has gone."""
        if self._peer_transport is not None:
            self._peer_transport.abort()
        if self._timer is not None:
            self._timer.cancel()
        self._has_ended = True
        self._on_end(self)

    def receive_answer(self, data: bytes) -> None:
        """Pass on what the other router sends."""
        self._has_answer = True
        self._transport.write(data)

    def handle_peer_lost(self, exc: Exception | None) -> None:
        """
        Handle the end of the connection to the other router.

        :param exc: ``None`` if the other router has closed it.
        """
        if not self._has_answer:
            detail = "the router that was passed the request was lost"
            self._refuse(AttemptsExhausted(detail, was_run="unknown"))
        elif exc is not None:
            self._transport.abort()
        else:
            self._close()

    def abandon(self) -> None:
        """End the request: the other router is gone, or this one stops."""
        if self._peer_transport is not None:
            self._peer_transport.abort()
        self.handle_peer_lost(ConnectionResetError("the other router is gone"))

    def _handle_timeout(self) -> None:
        if self._has_answer:
            return
        detail = "the router that was passed the request did not answer in time"
        self._refuse(BackendTimeout(detail, was_run="unknown"))
        if self._peer_transport is not None:
            self._peer_transport.abort()

    def _refuse(self, refusal: Refusal) -> None:
        """Send the last response on the connection."""
        self._has_answer = True
        if not self._transport.is_closing():
            self._on_failure(self, refusal)
            response = render_refusal(
                refusal, secrets.token_hex(8), closes_connection=True
            )
            self._transport.write(response)
            self._close()

    def _close(self) -> None:
        """Close the connection once the client has taken what waits."""
        self._transport.close()
        if self._timer is not None:
            self._timer.cancel()
        if not self._has_ended:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_TIMEOUT_SECONDS, self._transport.abort)


def limit_buffers(transport: asyncio.Transport) -> None:
    """Limit the bytes that a connection holds."""
    transport.set_write_buffer_limits(high=BUFFER_BYTES)
    if hasattr(transport, "max_size"):
        transport.max_size = BUFFER_BYTES


class PeerConnection(asyncio.Protocol):
    """
    The connection to the router that answers a request.

    :param request: the request.
    :param client: the connection of its client.
    """

    def __init__(self, request: OffloadedRequest, client: asyncio.Transport) -> None:
        self._request = request
        self._client = client

    def data_received(self, data: bytes) -> None:
        """Pass on a part of the answer."""
        self._request.receive_answer(data)

    def pause_writing(self) -> None:
        """Read no more of the request while the other router does not."""
        self._client.pause_reading()

    def resume_writing(self) -> None:
        """Read on once the other router has taken what waits."""
        self._client.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        self._request.handle_peer_lost(exc)
