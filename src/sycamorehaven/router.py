"""One router: its blackboard, its controllers and its connections."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.controllers.calls import CallController
from sycamorehaven.controllers.configuration import ConfigurationController
from sycamorehaven.controllers.membership import MembershipController
from sycamorehaven.controllers.permits import PermitController
from sycamorehaven.controllers.scheduling import SchedulingController
from sycamorehaven.controllers.servers import HttpLoadSource, ServerController
from sycamorehaven.controllers.suspects import SuspectController
from sycamorehaven.telemetry.monitor import Monitor
from sycamorehaven.telemetry.traces import SpanBuffer
from sycamorehaven.transport.admin import AdminListener
from sycamorehaven.transport.backends import HttpBackends
from sycamorehaven.transport.callers import CallerListener
from sycamorehaven.transport.faults import FileFilter
from sycamorehaven.transport.filters import (
    FilteredBackends,
    FilteredLoads,
    FilteredPlatform,
)
from sycamorehaven.transport.links import OpenFilter
from sycamorehaven.transport.peers import ZmqPeers
from sycamorehaven.transport.platform import HttpPlatform

if TYPE_CHECKING:
    from mode.types import ServiceT

    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.links import PeerFilter


def create_filter(settings: RouterSettings) -> PeerFilter:
    """Return what decides what passes: everything, but in tests."""
    if not settings.peer_faults:
        return OpenFilter()
    return FileFilter(Path(settings.peer_faults), settings.peers_address)


class Router(Service):
    """
    All services of one router.

    :param settings: settings of this process.
    :param spans: finished spans to show to operators.
    """

    def __init__(
        self, settings: RouterSettings, spans: SpanBuffer | None = None
    ) -> None:
        super().__init__()
        self._spans = spans or SpanBuffer()
        self._settings = settings
        self._board = Blackboard.from_settings(settings)
        self._platform = HttpPlatform.from_settings(settings)
        self._loads = HttpLoadSource()
        self._backends = HttpBackends()
        self._filter = create_filter(settings)

    @classmethod
    def from_settings(
        cls, settings: RouterSettings, spans: SpanBuffer | None = None
    ) -> Router:
        """Return a router that has not started."""
        return cls(settings, spans)

    @property
    def board(self) -> Blackboard:
        """The state of this router."""
        return self._board

    def on_init_dependencies(self) -> list[ServiceT]:
        """Return the services, in the order in which they start."""
        board, settings, own = self._board, self._settings, self._board.members.own
        platform = FilteredPlatform(self._platform, self._filter, settings)
        backends = FilteredBackends(self._backends, self._filter, own.address)
        loads = FilteredLoads(self._loads, self._filter, own.address)
        peers = ZmqPeers(board, settings, self._filter)
        permits = PermitController(board, peers)
        suspects = SuspectController(board, peers)
        calls = CallController(board, permits, backends, suspects)
        monitor = Monitor(board)
        return [
            monitor,
            AdminListener(board, settings, monitor, self._spans),
            peers,
            MembershipController(board, peers, settings),
            ConfigurationController(board, peers, platform, settings.seeds),
            ServerController(board, loads),
            SchedulingController(board, peers),
            permits,
            suspects,
            CallerListener(board, settings, calls),
        ]

    async def on_shutdown(self) -> None:
        """Close the connections that services share."""
        await self._backends.close()
        await self._loads.close()
        await self._platform.close()
