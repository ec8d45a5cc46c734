"""Pools of connections to backend servers."""

from __future__ import annotations

import socket

import aiohttp

from sycamorehaven.transport.connection_pool import ConnectionPool

MAX_HEADER_BYTES = 32_768
"""Longest header of an answer, bytes."""
IDLE_TIMEOUT_SECONDS = 3.0
"""Seconds for which an unused connection is kept."""
KEEPALIVE_PROBE_PERIOD_SECONDS = 1
"""Seconds between two TCP keep-alive probes on a quiet connection."""
MAX_UNANSWERED_KEEPALIVE_PROBES = 2
"""Unanswered keep-alive probes after which a connection is lost."""
TCP_USER_TIMEOUT_MILLISECONDS = 2_000
"""Milliseconds for which sent bytes may go unacknowledged."""


def create_socket(
    address: tuple[
        int | socket.AddressFamily,
        int | socket.SocketKind,
        int,
        str,
        tuple[object, ...],
    ],
) -> socket.socket:
    """Return a socket that finds out when its peer is cut off."""
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


class ConnectionPoolManager:
    """
    A generation of pooled connections for each address.

    :param connect_timeout: seconds to open a connection.
    """

    def __init__(self, connect_timeout: float) -> None:
        self._connect_timeout = connect_timeout
        self._pools: dict[str, ConnectionPool] = {}
        self._single_use_pool: ConnectionPool | None = None

    def get_pool(self, address: str, *, single_use: bool) -> ConnectionPool:
        """
        Return the connections for a request.

        :param single_use: whether it needs a connection of its own.
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
        """Lend the connections to an address no more after one has failed."""
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
        client = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._connect_timeout
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
            max_field_size=MAX_HEADER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
        )
        # A resend inside the library would escape the retry budget, and hide
        # that the first attempt may have run.
        client._retry_connection = False
        return client
