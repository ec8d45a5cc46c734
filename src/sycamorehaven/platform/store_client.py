"""Client that reads the platform's store over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
import msgspec
from absl import logging

from sycamorehaven.platform.decoding import (
    EVACUATION_PREFIX,
    MAX_DOMAIN_LENGTH,
    SERVERS_PREFIX,
    decode_configuration,
    decode_evacuations,
    decode_server,
    is_malformed_evacuation,
)
from sycamorehaven.platform.documents import WireItem, WirePage
from sycamorehaven.routing.model import Evacuation, RoutingConfiguration, Snapshot
from sycamorehaven.transport.platform_client import PlatformUnavailable, read_body

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
ERA_HEADER = "Store-Era"
"""Number of times that the store was restored from an older copy."""
MAX_PAGES = 64
"""Limit of the pages of one listing; 64 pages hold about 32,000 items."""
MAX_PAGE_BYTES = 4_194_304
"""Limit of the size of a page. A page holds about 1 MB of values, which base64
makes larger by a third."""
MAX_LISTING_BYTES = 16_777_216
"""Limit of the size of all pages of a listing; ten times that of the largest
fleet, 800 servers and 1,400 workspaces."""

_page_decoder = msgspec.json.Decoder(WirePage)


class StorePage(NamedTuple):
    """
    A page of a listing.

    :ivar era: number of times that the store was restored from an older copy.
    :ivar content: the decoded body.
    :ivar size: size of the body, bytes.
    """

    era: int
    content: WirePage
    size: int = 0


def _list_items(pages: list[StorePage]) -> list[WireItem]:
    return [item for page in pages for item in page.content.entries]


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
        self._decoded_position = 0, 0
        self._malformed_keys: set[str] = set()

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> PlatformStoreClient:
        """Create a client of the store that the settings name."""
        return cls(settings.platform_url)

    async def read(self) -> Snapshot:
        """
        Read the current content of the store.

        :raises PlatformUnavailable: if the store cannot be read.
        """
        operator_pages, server_pages = await asyncio.gather(
            self._list_pages(OPERATOR_PREFIX), self._list_pages(SERVERS_PREFIX)
        )
        eras = {page.era for page in (*operator_pages, *server_pages)}
        if len(eras) > 1:
            raise PlatformUnavailable("the store was restored while it was read")
        era = eras.pop()
        operator_items = _list_items(operator_pages)
        self._update_configuration(operator_items, era)
        decoded = [decode_server(item) for item in _list_items(server_pages)]
        found = [server for server in decoded if server is not None]
        servers_revision = min(page.content.at for page in server_pages)
        # What was written while the pages were read is in some of them only.
        operator_revision = min(page.content.at for page in operator_pages)
        revision = min(servers_revision, operator_revision)
        return Snapshot(
            revision,
            self._configuration,
            tuple(server.record for server in found),
            era,
            servers_revision,
            tuple(server.cold for server in found if server.cold is not None),
            self._decode_evacuations(operator_items),
            operator_revision,
        )

    async def close(self) -> None:
        """Close all connections to the store."""
        if self._session is not None:
            await self._session.close()

    def _update_configuration(self, items: list[WireItem], era: int) -> None:
        item = next((item for item in items if item.key == CONFIGURATION_KEY), None)
        if item is None or (era, item.revision) <= self._decoded_position:
            return
        self._decoded_position = era, item.revision
        try:
            configuration = decode_configuration(item, era)
        except (msgspec.MsgspecError, RecursionError) as error:
            logging.error(
                "configuration of revision %d is malformed; keeping the one of"
                " revision %d: %s",
                item.revision,
                self._configuration.revision if self._configuration else 0,
                error,
            )
            return
        if self._configuration is None or configuration.replaces(self._configuration):
            self._configuration = configuration

    def _decode_evacuations(self, items: list[WireItem]) -> tuple[Evacuation, ...]:
        """Return the evacuations; log each item without a usable name once."""
        malformed = {item.key for item in items if is_malformed_evacuation(item)}
        for key in sorted(malformed - self._malformed_keys):
            logging.error(
                "item %r names no failure domain and is ignored; a name has 1 to %d"
                " characters",
                key[: len(EVACUATION_PREFIX) + MAX_DOMAIN_LENGTH],
                MAX_DOMAIN_LENGTH,
            )
        self._malformed_keys = malformed
        return decode_evacuations(items)

    async def _list_pages(self, prefix: str) -> list[StorePage]:
        pages: list[StorePage] = []
        after = ""
        for _ in range(MAX_PAGES):
            pages.append(await self._read_page(prefix, after))
            content = pages[-1].content
            if sum(page.size for page in pages) > MAX_LISTING_BYTES:
                raise PlatformUnavailable(
                    f"the store lists more than {MAX_LISTING_BYTES} bytes below"
                    f" {prefix!r}"
                )
            if not content.has_more or not content.entries:
                return pages
            after = content.entries[-1].key
        raise PlatformUnavailable(
            f"the store lists more than {MAX_PAGES} pages below {prefix!r}"
        )

    async def _read_page(self, prefix: str, after: str) -> StorePage:
        query = {"pathPrefix": prefix} | ({"after": after} if after else {})
        try:
            async with self._connect().get(
                f"{self._url}/kv-range", params=query
            ) as response:
                body = await read_body(response, MAX_PAGE_BYTES)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailable(
                f"request to the store failed: {error!r}"
            ) from error
        if response.status != 200:
            raise PlatformUnavailable(
                f"the store answered with status {response.status}"
            )
        try:
            era = int(response.headers.get(ERA_HEADER, "0"))
            return StorePage(era, _page_decoder.decode(body), len(body))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
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
