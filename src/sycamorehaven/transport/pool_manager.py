"""Connection pools by the address of the backend server."""

from __future__ import annotations

import asyncio
import functools
import socket
from typing import TYPE_CHECKING

import aiohttp

from sycamorehaven.transport.connection_pool import ConnectionPool
from sycamorehaven.transport.metered_protocol import MeteredResponseHandler

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import SimpleNamespace

MAX_HEADER_BYTES = 32_768
"""Longest header line of a response."""
READ_BUFFER_BYTES = 16_384
"""Half of the bytes of a response at which reading it pauses. A client that
does not read its answer makes the router hold them."""
IDLE_TIMEOUT_SECONDS = 3.0
"""Time for which an unused connection is kept open."""
KEEPALIVE_PROBE_PERIOD_SECONDS = 1
"""Time between two TCP keep-alive probes on a quiet connection."""
MAX_UNANSWERED_KEEPALIVE_PROBES = 2
"""Unanswered keep-alive probes after which a connection is lost."""
TCP_USER_TIMEOUT_MILLISECONDS = 2_000
"""Time for which sent bytes may stay unacknowledged (``TCP_USER_TIMEOUT``)."""


def create_socket(
    address: tuple[
        int | socket.AddressFamily,
        int | socket.SocketKind,
        int,
        str,
        tuple[object, ...],
    ],
) -> socket.socket:
    """
    Return a socket that detects within seconds that its peer is cut off.

    :param address: an entry of ``socket.getaddrinfo``, as aiohttp passes it.
    """
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_PERIOD_SECONDS
    )
    created.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_PERIOD_SECONDS
    )
    created.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_KEEPALIVE_PROBES
    )
    created.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS
    )
    return created


async def _check_before_sending(
    _session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    """Call the check that a request was given, once it has a connection."""
    check: Callable[[], None] | None = context.trace_request_ctx
    if check is not None:
        check()


class ConnectionPoolManager:
    """
    Keeps one pool of reusable connections per address.

    Calls that need a connection of their own share one further pool, which
    closes each connection after its request.

    :param connect_timeout: time limit for opening a connection, seconds.
    """

    def __init__(self, connect_timeout: float) -> None:
        self._connect_timeout = connect_timeout
        self._pools: dict[str, ConnectionPool] = {}
        self._single_use_pool: ConnectionPool | None = None

    def get_pool(self, address: str, *, single_use: bool) -> ConnectionPool:
        """
        Return the pool to send a request with.

        :param address: ``ip:port`` of the backend server.
        :param single_use: whether the request needs a new connection that no
            other request uses.
        """
        if single_use:
            if self._single_use_pool is None:
                self._single_use_pool = ConnectionPool(
                    self._create_client(force_close=True)
                )
            return self._single_use_pool
        pool = self._pools.get(address)
        if pool is None or pool.is_retired:
            pool = ConnectionPool(self._create_client(force_close=False))
            self._pools[address] = pool
        return pool

    def retire(self, address: str, failed: ConnectionPool) -> None:
        """
        Replace the connections to an address after one has failed.

        :param address: ``ip:port`` of the backend server.
        :param failed: the pool of the failed connection, reusable or
            single-use. A pool that has already been replaced is ignored.
        """
        current = self._pools.get(address)
        if current is not None and failed in (current, self._single_use_pool):
            current.retire()

    async def close(self) -> None:
        """Close every connection."""
        pools = [*self._pools.values(), self._single_use_pool]
        for pool in pools:
            if pool is not None:
                await pool.client.close()

    def _create_client(self, *, force_close: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=force_close,
            keepalive_timeout=None if force_close else IDLE_TIMEOUT_SECONDS,
            socket_factory=create_socket,
        )
        # aiohttp has no parameter for the protocol of its connections.
        connector._factory = functools.partial(  # type: ignore[assignment]
            MeteredResponseHandler, asyncio.get_running_loop()
        )
        # aiohttp reports the headers as sent before it writes them, so an
        # exception of the check keeps the request from being sent.
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_check_before_sending)
        client = aiohttp.ClientSession(
            connector=connector,
            trace_configs=[trace],
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._connect_timeout
            ),
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        # aiohttp must not send a request again by itself: the retry would
        # not count against the retry budget, and would hide that the first
        # attempt may have run.
        client._retry_connection = False
        return client
