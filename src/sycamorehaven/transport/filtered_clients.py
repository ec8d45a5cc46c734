"""
Fault injection for connections to the platform and to backend servers.

Each class wraps a client and asks a ``PeerFilter``, by the ``ip:port`` of
both sides, whether a request reaches the other side. A backend server's
response that has begun is read to its end, even if a cut starts meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.exceptions.backends import ConnectFailed
from sycamorehaven.transport.platform_client import PlatformUnavailable

if TYPE_CHECKING:
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.controllers.server_health import LoadReport, LoadSource
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.backend_client import BackendClient
    from sycamorehaven.transport.peer_link import PeerFilter
    from sycamorehaven.transport.platform_client import (
        ConfigurationText,
        HttpPlatformClient,
        ListedHost,
    )
    from sycamorehaven.transport.responses import BackendResponse


class FilteredPlatformClient:
    """
    A client of the platform that fails while the platform is cut off.

    :param inner: the client that sends the requests.
    :param peer_filter: decides which addresses are cut off.
    :param settings: the settings of this process.
    """

    def __init__(
        self,
        inner: HttpPlatformClient,
        peer_filter: PeerFilter,
        settings: RouterSettings,
    ) -> None:
        self._inner = inner
        self._filter = peer_filter
        self._own_address = settings.peers_address
        self._platform_address = settings.platform_url.partition("://")[2]

    async def read(self) -> ConfigurationText | None:
        """Return the published text, ``None`` if there is none."""
        self._check_reachable()
        return await self._inner.read()

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """
        Wait for a text that is newer than ``revision``.

        :param wait: seconds after which to return ``None``.
        :raises PlatformUnavailable: also if a cut starts while it waits.
        """
        self._check_reachable()
        text = await self._inner.watch(revision, wait)
        self._check_reachable()
        return text

    async def list_hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform lists."""
        self._check_reachable()
        return await self._inner.list_hosts()

    async def close(self) -> None:
        """Close the connections to the platform."""
        await self._inner.close()

    def _check_reachable(self) -> None:
        if not self._filter.can_reach(self._own_address, self._platform_address):
            raise PlatformUnavailable("injected faults cut off the platform")


class FilteredBackendClient:
    """
    A client of backend servers that fails for servers that are cut off.

    :param inner: the client that sends the calls.
    :param peer_filter: decides which addresses are cut off.
    :param own_address: this router's peer address.
    """

    def __init__(
        self, inner: BackendClient, peer_filter: PeerFilter, own_address: str
    ) -> None:
        self._inner = inner
        self._filter = peer_filter
        self._own_address = own_address

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> BackendResponse:
        """Send a call and return the response once its headers are read."""
        if not self._filter.can_reach(self._own_address, server.address):
            raise ConnectFailed("injected faults cut off the server", was_sent=False)
        return await self._inner.send(server, call, resume_from=resume_from)


class FilteredLoadSource:
    """
    A source of load reports that has none of servers that are cut off.

    :param inner: the source that reads the reports.
    :param peer_filter: decides which addresses are cut off.
    :param own_address: this router's peer address.
    """

    def __init__(
        self, inner: LoadSource, peer_filter: PeerFilter, own_address: str
    ) -> None:
        self._inner = inner
        self._filter = peer_filter
        self._own_address = own_address

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return a server's load report, ``None`` if there is none."""
        if not self._filter.can_reach(self._own_address, server.address):
            return None
        return await self._inner.read_load(server)
