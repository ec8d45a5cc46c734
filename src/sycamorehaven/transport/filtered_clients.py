"""
The platform and backend servers as far as a ``PeerFilter`` reaches them.

Each class wraps an adapter and asks the filter before a call, with the
``ip:port`` of the other side. Answers that have begun run to their end.
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
    The platform, unless it is cut off.

    :param inner: the adapters.
    :param peer_filter: says what is cut.
    :param settings: settings of this process.
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
        """Return the text, ``None`` if none is published."""
        self._check_reachable()
        return await self._inner.read()

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """Return a text newer than ``revision``, ``None`` after ``wait`` s."""
        self._check_reachable()
        text = await self._inner.watch(revision, wait)
        self._check_reachable()
        return text

    async def list_hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform knows of."""
        self._check_reachable()
        return await self._inner.list_hosts()

    async def close(self) -> None:
        """Close the connections."""
        await self._inner.close()

    def _check_reachable(self) -> None:
        if not self._filter.can_reach(self._own_address, self._platform_address):
            raise PlatformUnavailable("the platform is cut off")


class FilteredBackendClient:
    """
    Backend servers, unless they are cut off.

    :param inner: sends calls.
    :param peer_filter: says what is cut.
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
        """Send a call and return the answer once its headers are read."""
        if not self._filter.can_reach(self._own_address, server.address):
            raise ConnectFailed("the server is cut off", sent=False)
        return await self._inner.send(server, call, resume_from=resume_from)


class FilteredLoadSource:
    """
    Load reports, unless their server is cut off.

    :param inner: reads loads.
    :param peer_filter: says what is cut.
    :param own_address: this router's peer address.
    """

    def __init__(
        self, inner: LoadSource, peer_filter: PeerFilter, own_address: str
    ) -> None:
        self._inner = inner
        self._filter = peer_filter
        self._own_address = own_address

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return a server's report, ``None`` if it gives none."""
        if not self._filter.can_reach(self._own_address, server.address):
            return None
        return await self._inner.read_load(server)
