"""The platform's configuration service and host list, by HTTP long-poll."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import aiohttp
import msgspec

from sycamorehaven.exceptions.base import SycamorehavenError

if TYPE_CHECKING:
    from sycamorehaven.settings import RouterSettings

READ_TIMEOUT_SECONDS = 1.5
"""Seconds for a read that does not wait, and beyond the wait of a watch."""
MAX_RESPONSE_BYTES = 4_000_000
"""Largest body that is read, bytes."""
REVISION_HEADER = "Configuration-Revision"


class PlatformUnavailable(SycamorehavenError):
    """The platform did not answer or answered with an error."""

    code = "platform_unavailable"
    remedy = "the router goes on with what it holds and tries again"


class ConfigurationText(NamedTuple):
    """
    A text with its revision.

    :ivar revision: rises with every change.
    :ivar raw: the text's bytes.
    """

    revision: int
    raw: bytes


class ListedHost(NamedTuple):
    """
    An entry of the host list.

    :ivar host: name of the host.
    :ivar address: its peer address, ``ip:port``.
    :ivar failure_domain: where it stands.
    :ivar state: ``"live"`` or ``"leaving"``.
    :ivar kind: ``"router"`` or ``"server"``.
    """

    host: str
    address: str
    failure_domain: str
    state: str
    kind: str


class ConfigurationSource(Protocol):
    """Where the operators' text is published."""

    async def read(self) -> ConfigurationText | None:
        """Return the text, ``None`` if none is published."""
        ...

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """Return a text newer than ``revision``, ``None`` after ``wait`` s."""
        ...


class HostList(Protocol):
    """The platform's list of hosts; it lags."""

    async def list_hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform knows of."""
        ...


class HttpPlatformClient:
    """
    Both adapters over HTTP.

    ``GET /configuration[?after=REVISION&wait=SECONDS]`` answers 200 with the
    text and ``Configuration-Revision``, or 204; ``GET /hosts`` answers a JSON
    array of arrays in the order of ``ListedHost``.

    :param url: base URL.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._client: aiohttp.ClientSession | None = None

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> HttpPlatformClient:
        """Return adapters for the platform that the settings name."""
        return cls(settings.platform_url)

    async def read(self) -> ConfigurationText | None:
        """Return the text, ``None`` if none is published."""
        return await self._fetch_configuration({}, READ_TIMEOUT_SECONDS)

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """Return a text newer than ``revision``, ``None`` after ``wait`` s."""
        query = {"after": str(revision), "wait": str(wait)}
        return await self._fetch_configuration(query, wait + READ_TIMEOUT_SECONDS)

    async def list_hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform knows of."""
        _, _, body = await self._get("/hosts", {}, READ_TIMEOUT_SECONDS)
        try:
            return msgspec.json.decode(body, type=list[ListedHost])
        except msgspec.MsgspecError as error:
            raise PlatformUnavailable(f"the host list is malformed: {error}") from error

    async def close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.close()

    async def _fetch_configuration(
        self, query: dict[str, str], timeout: float
    ) -> ConfigurationText | None:
        status, revision, body = await self._get("/configuration", query, timeout)
        if status == 204:
            return None
        if not revision.isdigit():
            raise PlatformUnavailable(f"{REVISION_HEADER} is {revision!r}")
        return ConfigurationText(int(revision), body)

    async def _get(
        self, path: str, query: dict[str, str], timeout: float
    ) -> tuple[int, str, bytes]:
        if self._client is None:
            # A connection that was lost track of would hide changes, so each
            # call opens its own.
            connector = aiohttp.TCPConnector(force_close=True)
            self._client = aiohttp.ClientSession(connector=connector)
        client_timeout = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._client.get(
                self._url + path, params=query, timeout=client_timeout
            ) as response:
                body = await _read_body(response)
                if response.status not in (200, 204):
                    raise PlatformUnavailable(f"{path} answered {response.status}")
                revision = response.headers.get(REVISION_HEADER, "")
                return response.status, revision, body
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailable(f"{path}: {error!r}") from error


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise PlatformUnavailable(
                f"an answer of more than {MAX_RESPONSE_BYTES} bytes"
            )
    return bytes(body)
