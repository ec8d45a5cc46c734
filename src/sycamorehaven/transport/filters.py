"""
The platform and backend servers as far as a ``PeerFilter`` reaches them.

Each class wraps an adapter and asks the filter before a call, with the
``ip:port`` of the other side. Answers that have begun run to their end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.exceptions.backends import ConnectFailed
from sycamorehaven.transport.platform import PlatformUnavailable

if TYPE_CHECKING:
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.controllers.server_health import LoadReport, LoadSource
    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.answers import BackendAnswer
    from sycamorehaven.transport.backends import Backends
    from sycamorehaven.transport.links import PeerFilter
    from sycamorehaven.transport.platform import (
        ConfigurationText,
        HttpPlatform,
        ListedHost,
    )


class FilteredPlatform:
    """
    The platform, unless it is cut off.

    :param inner: the adapters.
    :param peer_filter: says what is cut.
    :param settings: settings of this process.
    """

    def __init__(
        self, inner: HttpPlatform, peer_filter: PeerFilter, settings: RouterSettings
    ) -> None:
        self._inner = inner
        self._filter = peer_filter
        self._own = settings.peers_address
        self._platform = settings.platform_url.partition("://")[2]

    async def read(self) -> ConfigurationText | None:
        """Return the text, ``None`` if none is published."""
        self._check()
        return await self._inner.read()

    async def watch(self, revision: int, wait: float) -> ConfigurationText | None:
        """Return a text newer than ``revision``, ``None`` after ``wait`` s."""
        self._check()
        text = await self._inner.watch(revision, wait)
        self._check()
        return text

    async def list_hosts(self) -> list[ListedHost]:
        """Return the hosts that the platform knows of."""
        self._check()
        return await self._inner.list_hosts()

    async def close(self) -> None:
        """Close the connections."""
        await self._inner.close()

    def _check(self) -> None:
        if not self._filter.reaches(self._own, self._platform):
            raise PlatformUnavailable("the platform is cut off")


class FilteredBackends:
    """
    Backend servers, unless they are cut off.

    :param inner: sends calls.
    :param peer_filter: says what is cut.
    :param own: this router's peer address.
    """

    def __init__(self, inner: Backends, peer_filter: PeerFilter, own: str) -> None:
        self._inner = inner
        self._filter = peer_filter
        self._own = own

    async def send(
        self, server: BackendServer, call: Call, *, resume_from: int = 0
    ) -> BackendAnswer:
        """Send a call and return the answer once its headers are read."""
        if not self._filter.reaches(self._own, server.address):
            raise ConnectFailed("the server is cut off", sent=False)
        return await self._inner.send(server, call, resume_from=resume_from)


class FilteredLoads:
    """
    Load reports, unless their server is cut off.

    :param inner: reads loads.
    :param peer_filter: says what is cut.
    :param own: this router's peer address.
    """

    def __init__(self, inner: LoadSource, peer_filter: PeerFilter, own: str) -> None:
        self._inner = inner
        self._filter = peer_filter
        self._own = own

    async def read_load(self, server: BackendServer) -> LoadReport | None:
        """Return a server's report, ``None`` if it gives none."""
        if not self._filter.reaches(self._own, server.address):
            return None
        return await self._inner.read_load(server)
