"""Pools of connections that are given up together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


class Generation:
    """
    Connections to one server, opened since the last one went silent.

    A retired generation opens and lends no connection; those in use end with
    their answers.
    """

    def __init__(self, client: aiohttp.ClientSession) -> None:
        self._client = client
        self._users = 0
        self._retired = False
        self._closing: asyncio.Task[None] | None = None

    @property
    def client(self) -> aiohttp.ClientSession:
        """Opens and lends its connections."""
        return self._client

    @property
    def retired(self) -> bool:
        """Whether no new call may use it."""
        return self._retired

    def enter(self) -> None:
        """Count a call in."""
        self._users += 1

    def leave(self) -> None:
        """Count a call out."""
        self._users -= 1
        self._close_if_idle()

    def retire(self) -> None:
        """Use the connections no more."""
        self._retired = True
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if self._retired and not self._users and self._closing is None:
            self._closing = asyncio.ensure_future(self._client.close())
