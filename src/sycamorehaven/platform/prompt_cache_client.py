"""Client that asks model engines which parts of prompts they keep."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from absl import logging

from sycamorehaven.platform.documents import WireCacheList

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.routing.model import ServerRecord

LIST_TIMEOUT_SECONDS = 0.5
"""Timeout of one list; a client waits for its stream meanwhile."""
LIST_LIFETIME_SECONDS = 2.0
"""Time for which a list is used again, because it delays the engine's work."""
MAX_LIST_BYTES = 4_194_304
"""Limit of the size of a list."""

_list_decoder = msgspec.json.Decoder(WireCacheList)


class PlatformPromptCacheClient:
    """
    Lists the parts of prompts that engines keep.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._session: aiohttp.ClientSession | None = None
        self._lists: dict[str, tuple[float, asyncio.Task[frozenset[str]]]] = {}

    async def list_parts(self, server: ServerRecord) -> frozenset[str]:
        """
        Return the keys of the parts that an engine keeps.

        :returns: nothing if the engine does not say.
        """
        now = self._clock()
        self._lists = {
            name: (asked_at, task)
            for name, (asked_at, task) in self._lists.items()
            if now - asked_at < LIST_LIFETIME_SECONDS
        }
        if server.incarnation_id not in self._lists:
            task = asyncio.create_task(self._fetch(server.address))
            self._lists[server.incarnation_id] = now, task
        # The list is shared, so a client that leaves must not cancel it.
        return await asyncio.shield(self._lists[server.incarnation_id][1])

    async def close(self) -> None:
        """Close all connections to engines."""
        for _, task in self._lists.values():
            task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _fetch(self, address: str) -> frozenset[str]:
        try:
            async with self._connect().get(f"http://{address}/kv-list") as response:
                body = await response.content.read(MAX_LIST_BYTES)
                while chunk := await response.content.read(MAX_LIST_BYTES - len(body)):
                    body += chunk
                if response.status != 200:
                    return frozenset()
            return frozenset(entry[1] for entry in _list_decoder.decode(body).held)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            logging.info("engine %s does not list its cache: %r", address, error)
        except (msgspec.MsgspecError, RecursionError) as error:
            logging.warning(
                "the cache list of engine %s is malformed: %s", address, error
            )
        return frozenset()

    def _connect(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True),
                timeout=aiohttp.ClientTimeout(total=LIST_TIMEOUT_SECONDS),
            )
        return self._session
