"""Client that reads the platform's store over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from absl import logging

from sycamorehaven.platform.decoding import (
    SERVERS_PREFIX,
    decode_configuration,
    decode_server,
)
from sycamorehaven.platform.documents import WireItem, WirePage
from sycamorehaven.routing.model import RoutingConfiguration, Snapshot
from sycamorehaven.transport.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from sycamorehaven.settings import RouterSettings

CONFIGURATION_KEY = "op/config"
"""Key of the operators' configuration."""
OPERATOR_PREFIX = "op/"
"""Key prefix of the items that operators publish."""
READ_TIMEOUT_SECONDS = 1.5
"""Timeout of one page; a read that hangs must not delay the next ones."""
CONNECT_TIMEOUT_SECONDS = 0.5
"""Timeout of opening a connection."""
KEEP_ALIVE_SECONDS = 5.0
"""Time for which an idle connection is kept open."""
MAX_PAGES = 64
"""Limit of the pages of one listing; 64 pages hold about 32,000 items."""

_page_decoder = msgspec.json.Decoder(WirePage)


class PlatformStoreClient:
    """
    Reads the operators' configuration and the registered backend servers.

    A malformed configuration is logged once and the previous one is kept.

    :param url: base URL of the store.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None
        self._configuration: RoutingConfiguration | None = None
        self._rejected_revision = 0

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> PlatformStoreClient:
        """Create a client of the store that the settings name."""
        return cls(settings.platform_url)

    async def read(self) -> Snapshot:
        """
        Read the current content of the store.

        :raises PlatformUnavailable: if the store cannot be read.
        """
        (_, operator_items), (revision, server_items) = await asyncio.gather(
            self._list_items(OPERATOR_PREFIX), self._list_items(SERVERS_PREFIX)
        )
        self._update_configuration(operator_items)
        found = [decode_server(item) for item in server_items]
        records = tuple(server for server in found if server is not None)
        return Snapshot(revision, self._configuration, records)

    async def close(self) -> None:
        """Close all connections to the store."""
        if self._session is not None:
            await self._session.close()

    def _update_configuration(self, items: list[WireItem]) -> None:
        item = next((item for item in items if item.key == CONFIGURATION_KEY), None)
        known = self._configuration.revision if self._configuration else 0
        if item is None or item.revision <= max(known, self._rejected_revision):
            return
        try:
            self._configuration = decode_configuration(item)
        except msgspec.MsgspecError as error:
            self._rejected_revision = item.revision
            logging.error(
                "configuration of revision %d is malformed; keeping the one of"
                " revision %d: %s",
                item.revision,
                known,
                error,
            )

    async def _list_items(self, prefix: str) -> tuple[int, list[WireItem]]:
        items: list[WireItem] = []
        after = ""
        for _ in range(MAX_PAGES):
            page = await self._read_page(prefix, after)
            items += page.entries
            if not page.has_more or not page.entries:
                return page.at, items
            after = page.entries[-1].key
        raise PlatformUnavailable(
            f"the store lists more than {MAX_PAGES} pages below {prefix!r}"
        )

    async def _read_page(self, prefix: str, after: str) -> WirePage:
        query = {"pathPrefix": prefix} | ({"after": after} if after else {})
        try:
            async with self._connect().get(
                f"{self._url}/kv-range", params=query
            ) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailable(
                f"request to the store failed: {error!r}"
            ) from error
        if response.status != 200:
            raise PlatformUnavailable(
                f"the store answered with status {response.status}"
            )
        try:
            return _page_decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(
                f"a page of the store is malformed: {error}"
            ) from error

    def _connect(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=KEEP_ALIVE_SECONDS
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                timeout=aiohttp.ClientTimeout(
                    total=READ_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
                ),
            )
        return self._session
