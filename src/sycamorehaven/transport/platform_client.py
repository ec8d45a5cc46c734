"""Reads the platform's published configuration and host list over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import aiohttp
import msgspec

from sycamorehaven.exceptions.base import SycamorehavenError

if TYPE_CHECKING:
    from sycamorehaven.settings import RouterSettings

READ_TIMEOUT_SECONDS = 1.5
"""Time limit for a request, to which a watch adds the time that it waits."""
MAX_RESPONSE_BYTES = 4_000_000
"""Largest body of a response that is accepted."""
REVISION_HEADER = "Configuration-Revision"
"""Response header with the revision of the configuration text."""


class PlatformUnavailable(SycamorehavenError):
    """The platform did not respond, or its response can't be used."""

    code = "platform_unavailable"
    remedy = "the router goes on with what it holds and tries again"


class ConfigurationText(NamedTuple):
    """
    A published configuration text and its revision.

    :ivar revision: number of the text, which rises with every change.
    :ivar raw: the bytes of the text.
    """

    revision: int
    raw: bytes


class ListedHost(NamedTuple):
    """
    An entry of the platform's host list.

    :ivar host: name of the host.
    :ivar address: peer address of the host, ``ip:port``.
    :ivar failure_domain: failure domain of the host.
    :ivar state: ``"live"`` or ``"leaving"``.
    :ivar kind: ``"router"`` or ``"server"``.
    """

    host: str
    address: str
    failure_domain: str
    state: str
    kind: str


class ConfigurationSource(Protocol):
    """Reads the configuration text that the operators publish."""

    async def read(self) -> ConfigurationText | None:
        """Return the published text, ``None`` if there is none."""
        ...

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """
        Wait for a text that is newer than ``revision``.

        :param wait: seconds after which to return ``None``.
        """
        ...


class HostList(Protocol):
    """Reads the platform's list of hosts, which lags behind the fleet."""

    async def list_hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform lists."""
        ...


class HttpPlatformClient:
    """
    Reads the configuration and the host list over HTTP.

    ``GET /configuration`` returns the status 200 with the text and its
    ``Configuration-Revision``, or 204 if there is none. With the query
    ``after=REVISION&wait=SECONDS`` it is a long poll for a newer text.
    ``GET /hosts`` returns a JSON array of arrays, each with the fields of
    ``ListedHost`` in their order.

    :param url: base URL of the platform.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._client: aiohttp.ClientSession | None = None

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> HttpPlatformClient:
        """Return a client for the platform that the settings name."""
        return cls(settings.platform_url)

    async def read(self) -> ConfigurationText | None:
        """Return the published text, ``None`` if there is none."""
        return await self._fetch_configuration({}, READ_TIMEOUT_SECONDS)

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """
        Wait for a text that is newer than ``revision``.

        :param wait: seconds after which to return ``None``.
        """
        query = {"after": str(revision), "wait": str(wait)}
        return await self._fetch_configuration(query, wait + READ_TIMEOUT_SECONDS)

    async def list_hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform lists."""
        _, _, body = await self._get("/hosts", {}, READ_TIMEOUT_SECONDS)
        try:
            return msgspec.json.decode(body, type=list[ListedHost])
        except (msgspec.MsgspecError, RecursionError) as error:
            raise PlatformUnavailable(f"the host list is malformed: {error}") from error

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._client is not None:
            await self._client.close()

    async def _fetch_configuration(
        self, query: dict[str, str], timeout: float
    ) -> ConfigurationText | None:
        status, revision, body = await self._get("/configuration", query, timeout)
        if status == 204:
            return None
        if not revision.isdigit():
            raise PlatformUnavailable(
                f"the header {REVISION_HEADER} is not a number: {revision!r}"
            )
        return ConfigurationText(int(revision), body)

    async def _get(
        self, path: str, query: dict[str, str], timeout: float
    ) -> tuple[int, str, bytes]:
        if self._client is None:
            # A reused connection may have been cut without notice and would
            # hide changes, so each request opens a new one.
            connector = aiohttp.TCPConnector(force_close=True)
            self._client = aiohttp.ClientSession(connector=connector)
        client_timeout = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._client.get(
                self._url + path, params=query, timeout=client_timeout
            ) as response:
                body = await read_body(response, MAX_RESPONSE_BYTES)
                if response.status not in (200, 204):
                    raise PlatformUnavailable(
                        f"GET {path} returned the status {response.status}"
                    )
                revision = response.headers.get(REVISION_HEADER, "")
                return response.status, revision, body
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformUnavailable(f"GET {path} failed: {error!r}") from error


async def read_body(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """
    Return the body of an answer of the platform.

    :param limit: size up to which it is read, bytes.
    :raises PlatformUnavailable: if it is larger.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit:
            raise PlatformUnavailable(f"the response exceeds {limit} bytes")
    return bytes(body)
