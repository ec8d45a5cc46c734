"""One router: its blackboard, its controllers and its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.controllers.adoption import Adoption
from sycamorehaven.controllers.calls import CallController
from sycamorehaven.controllers.configuration import ConfigurationController
from sycamorehaven.controllers.handover import HandoverController
from sycamorehaven.controllers.membership import MembershipController
from sycamorehaven.controllers.permits import PermitController
from sycamorehaven.controllers.relay_sessions import RelaySessions
from sycamorehaven.controllers.relays import RelayController
from sycamorehaven.controllers.scheduling import SchedulingController
from sycamorehaven.controllers.servers import HttpLoadSource, ServerController
from sycamorehaven.controllers.token_guard import TokenGuard
from sycamorehaven.controllers.tokens import TokenController
from sycamorehaven.transport.admin import AdminListener
from sycamorehaven.transport.backends import HttpBackends
from sycamorehaven.transport.callers import CallerListener
from sycamorehaven.transport.peers import ZmqPeers
from sycamorehaven.transport.platform import HttpPlatform
from sycamorehaven.transport.tokens import TokenRoutes

if TYPE_CHECKING:
    from mode.types import ServiceT

    from sycamorehaven.settings import RouterSettings


class Router(Service):
    """
    All services of one router.

    :param settings: settings of this process.
    """

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self._settings = settings
        self._board = Blackboard.from_settings(settings)
        self._platform = HttpPlatform.from_settings(settings)
        self._loads = HttpLoadSource()
        self._backends = HttpBackends()

    @classmethod
    def from_settings(cls, settings: RouterSettings) -> Router:
        """Return a router that has not started."""
        return cls(settings)

    @property
    def board(self) -> Blackboard:
        """The state of this router."""
        return self._board

    def on_init_dependencies(self) -> list[ServiceT]:
        """Return the services, in the order in which they start."""
        board, settings = self._board, self._settings
        peers = ZmqPeers(board, settings)
        permits = PermitController(board, peers)
        calls = CallController(board, permits, TokenGuard(board, self._backends))
        adoption = Adoption(board)
        relays = RelayController(board, peers, adoption)
        tokens = TokenController(board, calls, relays)
        self._handover = HandoverController(board, peers)
        return [
            AdminListener(board, settings),
            peers,
            MembershipController(board, peers, settings),
            ConfigurationController(board, peers, self._platform),
            ServerController(board, self._loads),
            SchedulingController(board, peers),
            permits,
            relays,
            tokens,
            RelaySessions(board, peers, tokens, adoption),
            self._handover,
            CallerListener(board, settings, tokens, [TokenRoutes(board, tokens)]),
        ]

    async def hand_over(self) -> bool:
        """Hand used tokens over; return whether all were taken."""
        return await self._handover.hand_over()

    async def on_shutdown(self) -> None:
        """Close the connections that services share."""
        await self._backends.close()
        await self._loads.close()
        await self._platform.close()
