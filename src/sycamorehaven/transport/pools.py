"""Pools of connections to backend servers."""

from __future__ import annotations

import socket

import aiohttp

from sycamorehaven.transport.generations import Generation

LARGEST_HEADER = 32_768
"""Longest header of an answer, bytes."""
IDLE_TIMEOUT = 3.0
"""Seconds for which an unused connection is kept."""
PROBE_PERIOD = 1
"""Seconds between two TCP keep-alive probes on a quiet connection."""
PROBES = 2
"""Unanswered keep-alive probes after which a connection is lost."""
USER_TIMEOUT = 2_000
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
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_PERIOD)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
    return made


class ConnectionPools:
    """
    A generation of pooled connections for each address.

    :param connect_timeout: seconds to open a connection.
    """

    def __init__(self, connect_timeout: float) -> None:
        self._connect_timeout = connect_timeout
        self._generations: dict[str, Generation] = {}
        self._single: Generation | None = None

    def find(self, address: str, *, fresh: bool) -> Generation:
        """
        Return the connections for a request.

        :param fresh: whether it needs a connection of its own.
        """
        if fresh:
            if self._single is None:
                self._single = Generation(self._create_client(force_close=True))
            return self._single
        generation = self._generations.get(address)
        if generation is None or generation.retired:
            generation = Generation(self._create_client(force_close=False))
            self._generations[address] = generation
        return generation

    def retire(self, address: str, broken: Generation) -> None:
        """Lend the connections to an address no more after one has failed."""
        current = self._generations.get(address)
        if current is not None and broken in (current, self._single):
            current.retire()

    async def close(self) -> None:
        """Close every connection."""
        generations = [*self._generations.values(), self._single]
        for generation in generations:
            if generation is not None:
                await generation.client.close()

    def _create_client(self, *, force_close: bool) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=force_close,
            keepalive_timeout=None if force_close else IDLE_TIMEOUT,
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
            max_field_size=LARGEST_HEADER,
            max_line_size=LARGEST_HEADER,
        )
        # A resend inside the library would escape the retry budget, and hide
        # that the first attempt may have run.
        client._retry_connection = False
        return client
