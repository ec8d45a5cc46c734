"""Acceptance of connections in small batches."""

from __future__ import annotations

import asyncio
import socket

from sycamorehaven.transport.listening import MAX_ACCEPTS_PER_TURN, open_listener
from tests.support.fleet import allocate_port

CONNECTIONS = 5 * MAX_ACCEPTS_PER_TURN


async def test_burst_of_connections_is_accepted_in_small_batches() -> None:
    protocols: list[asyncio.Protocol] = []

    def create_protocol() -> asyncio.Protocol:
        protocols.append(asyncio.Protocol())
        return protocols[-1]

    port = allocate_port()
    server = await open_listener(create_protocol, "127.0.0.1", port)
    clients = [
        socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)
    ]
    async with asyncio.timeout(10.0):
        while len(protocols) < CONNECTIONS:
            accepted = len(protocols)
            await asyncio.sleep(0)
            assert len(protocols) - accepted <= MAX_ACCEPTS_PER_TURN
    for client in clients:
        client.close()
    server.close()
