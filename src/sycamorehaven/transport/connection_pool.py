"""A pool of connections to a server, which is replaced as a whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


class ConnectionPool:
    """
    Connections that are retired together once one of them has failed.

    A retired pool serves no new calls. It closes once the calls that use its
    connections have ended.

    :param client: the aiohttp session that holds the connections.
    """

    def __init__(self, client: aiohttp.ClientSession) -> None:
        self._client = client
        self._active_calls = 0
        self._retired = False
        self._close_task: asyncio.Task[None] | None = None

    @property
    def client(self) -> aiohttp.ClientSession:
        """The session to send requests with."""
        return self._client

    @property
    def is_retired(self) -> bool:
        """Whether no new call may use the pool."""
        return self._retired

    def acquire(self) -> None:
        """Register a call that uses the pool."""
        self._active_calls += 1

    def release(self) -> None:
        """Unregister a call; close a retired pool after its last call."""
        self._active_calls -= 1
        self._close_if_unused()

    def retire(self) -> None:
        """Serve no new calls, and close once the active calls have ended."""
        self._retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self._retired and not self._active_calls and self._close_task is None:
            self._close_task = asyncio.ensure_future(self._client.close())
