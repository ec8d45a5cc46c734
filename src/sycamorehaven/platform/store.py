"""Reads the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from absl import logging

from sycamorehaven.platform.decoding import (
    SERVERS,
    decode_configuration,
    decode_server,
)
from sycamorehaven.platform.documents import WireItem, WirePage
from sycamorehaven.routing.model import RoutingConfiguration, Snapshot
from sycamorehaven.transport.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from sycamorehaven.settings import RouterSettings

CONFIGURATION = "op/config"
OPERATOR = "op/"
READ_TIMEOUT = 1.5
"""Seconds for a page; a read that hangs must not hold up the next ones."""
CONNECT_TIMEOUT = 0.5
"""Seconds to open a connection."""
KEEP_ALIVE = 5.0
"""Seconds for which an unused connection is kept."""
MOST_PAGES = 64
"""Pages of one listing, about 32,000 items."""

_pages = msgspec.json.Decoder(WirePage)


class PlatformStore:
    """
    The operators' configuration and the registered backend servers.

    :param url: base URL of the store.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._client: aiohttp.ClientSession | None = None
        self._configuration: RoutingConfiguration | None = None
        self._rejected = 0

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> PlatformStore:
        """Return the store that the settings name."""
        return cls(settings.platform_url)

    async def read(self) -> Snapshot:
        """
        Return what the store holds now.

        :raises PlatformUnavailable: if it cannot be read.
        """
        (_, operator), (revision, servers) = await asyncio.gather(
            self._list(OPERATOR), self._list(SERVERS)
        )
        self._take_configuration(operator)
        found = [decode_server(item) for item in servers]
        records = tuple(server for server in found if server is not None)
        return Snapshot(revision, self._configuration, records)

    async def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.close()

    def _take_configuration(self, items: list[WireItem]) -> None:
        item = next((item for item in items if item.key == CONFIGURATION), None)
        known = self._configuration.revision if self._configuration else 0
        if item is None or item.revision <= max(known, self._rejected):
            return
        try:
            self._configuration = decode_configuration(item)
        except msgspec.MsgspecError as error:
            self._rejected = item.revision
            logging.error(
                "configuration of revision %d is malformed, the one of revision"
                " %d stays: %s",
                item.revision,
                known,
                error,
            )

    async def _list(self, prefix: str) -> tuple[int, list[WireItem]]:
        items: list[WireItem] = []
        after = ""
        for _ in range(MOST_PAGES):
            page = await self._read_page(prefix, after)
            items += page.entries
            if not page.has_more or not page.entries:
                return page.at, items
            after = page.entries[-1].key
        raise PlatformUnavailable(f"more than {MOST_PAGES} pages below {prefix!r}")

    async def _read_page(self, prefix: str, after: str) -> WirePage:
        query = {"pathPrefix": prefix} | ({"after": after} if after else {})
        try:
            async with self._connect().get(
                f"{self._url}/kv-range", params=query
            ) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailable(f"the store failed: {error!r}") from error
        if response.status != 200:
            raise PlatformUnavailable(f"the store answered {response.status}")
        try:
            return _pages.decode(body)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(f"a page is malformed: {error}") from error

    def _connect(self) -> aiohttp.ClientSession:
        if self._client is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE)
            self._client = aiohttp.ClientSession(
                connector=connector,
                timeout=aiohttp.ClientTimeout(
                    total=READ_TIMEOUT, sock_connect=CONNECT_TIMEOUT
                ),
            )
        return self._client
