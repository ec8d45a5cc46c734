"""Pools of connections that are given up together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


class ConnectionPool:
    """
    Connections to one server, opened since the last one went silent.

    A retired generation opens and lends no connection; those in use end with
    their answers.
    """

    def __init__(self, client: aiohttp.ClientSession) -> None:
        self._client = client
        self._active_calls = 0
        self._retired = False
        self._close_task: asyncio.Task[None] | None = None

    @property
    def client(self) -> aiohttp.ClientSession:
        """Opens and lends its connections."""
        return self._client

    @property
    def is_retired(self) -> bool:
        """Whether no new call may use it."""
        return self._retired

    def acquire(self) -> None:
        """Count a call in."""
        self._active_calls += 1

    def release(self) -> None:
        """Count a call out."""
        self._active_calls -= 1
        self._close_if_unused()

    def retire(self) -> None:
        """Use the connections no more."""
        self._retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self._retired and not self._active_calls and self._close_task is None:
            self._close_task = asyncio.ensure_future(self._client.close())
