"""A router that serves the operators' configuration."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from mode import Service
from zmq import ZMQError

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.controllers.adopted_tokens import AdoptedTokenResponder
from sycamorehaven.controllers.calls import CallController
from sycamorehaven.controllers.configuration import ConfigurationController
from sycamorehaven.controllers.counters import CounterController
from sycamorehaven.controllers.engine_orders import EngineOrderController
from sycamorehaven.controllers.host_list import HostListController
from sycamorehaven.controllers.membership import MembershipController
from sycamorehaven.controllers.permits import PermitController
from sycamorehaven.controllers.quarantine import QuarantineController
from sycamorehaven.controllers.relay_sessions import RelaySessionController
from sycamorehaven.controllers.relays import RelayController
from sycamorehaven.controllers.scheduling import SchedulingController
from sycamorehaven.controllers.server_health import (
    HttpLoadSource,
    ServerHealthController,
)
from sycamorehaven.controllers.server_notices import ServerNoticeController
from sycamorehaven.controllers.token_guard import TokenGuard
from sycamorehaven.controllers.token_handover import HandoverController
from sycamorehaven.controllers.tokens import TokenController
from sycamorehaven.controllers.unserved_services import UnservedServiceController
from sycamorehaven.exceptions.startup import StartFailed
from sycamorehaven.telemetry.client_cuts import LoggedCutReporter
from sycamorehaven.telemetry.monitor import Monitor
from sycamorehaven.telemetry.tracing import SpanBuffer
from sycamorehaven.transport.admin_listener import AdminListener
from sycamorehaven.transport.backend_client import HttpBackendClient
from sycamorehaven.transport.caller_listener import CallerListener
from sycamorehaven.transport.client_limits.guard import ClientGuard
from sycamorehaven.transport.engine_control import HttpEngineControl
from sycamorehaven.transport.fault_injection import FaultFileFilter
from sycamorehaven.transport.filtered_clients import (
    FilteredBackendClient,
    FilteredLoadSource,
    FilteredPlatformClient,
)
from sycamorehaven.transport.peer_link import PassThroughFilter
from sycamorehaven.transport.platform_client import HttpPlatformClient
from sycamorehaven.transport.token_endpoints import TokenEndpoints
from sycamorehaven.transport.zmq_peer_link import ZmqPeerLink

if TYPE_CHECKING:
    from mode.types import ServiceT

    from sycamorehaven.settings import RouterSettings
    from sycamorehaven.transport.peer_link import PeerFilter


def create_peer_filter(settings: RouterSettings) -> PeerFilter:
    """Create the filter of peer messages; only tests inject faults."""
    if not settings.peer_faults:
        return PassThroughFilter()
    return FaultFileFilter(Path(settings.peer_faults), settings.peers_address)


class Router(Service):
    """
    All services of one router.

    :param settings: settings of this process.
    :param spans: buffer of finished spans, which operators can query.
    """

    def __init__(
        self, settings: RouterSettings, spans: SpanBuffer | None = None
    ) -> None:
        super().__init__()
        self._spans = spans or SpanBuffer()
        self._settings = settings
        self._board = Blackboard.from_settings(settings)
        self._platform_client = HttpPlatformClient.from_settings(settings)
        self._load_source = HttpLoadSource()
        self._engine_control = HttpEngineControl()
        self._backend_client = HttpBackendClient()
        self._peer_filter = create_peer_filter(settings)

    @classmethod
    def from_settings(
        cls, settings: RouterSettings, spans: SpanBuffer | None = None
    ) -> Router:
        """Create a router, which must still be started."""
        return cls(settings, spans)

    @property
    def board(self) -> Blackboard:
        """The blackboard, which holds the state of this router."""
        return self._board

    async def start(self) -> None:
        """
        Start every service.

        :raises StartFailed: if a listener cannot be opened.
        """
        try:
            await super().start()
        except (OSError, ZMQError) as error:
            await self.stop()
            raise StartFailed(f"the router cannot start: {error}") from error

    def on_init_dependencies(self) -> list[ServiceT]:
        """Create the services in the order in which they start."""
        board, settings, own_member = (
            self._board,
            self._settings,
            self._board.members.own,
        )
        platform = FilteredPlatformClient(
            self._platform_client, self._peer_filter, settings
        )
        backends = FilteredBackendClient(
            self._backend_client, self._peer_filter, own_member.address
        )
        load_source = FilteredLoadSource(
            self._load_source, self._peer_filter, own_member.address
        )
        peers = ZmqPeerLink(board, settings, self._peer_filter)
        notices = ServerNoticeController(board, peers)
        server_health = ServerHealthController(board, load_source, peers, notices)
        permits = PermitController(board, peers)
        quarantine = QuarantineController(board, peers)
        token_guard = TokenGuard(board, backends)
        calls = CallController(board, permits, token_guard, quarantine, server_health)
        adopted_tokens = AdoptedTokenResponder(board)
        relays = RelayController(board, peers, adopted_tokens)
        tokens = TokenController(board, calls, relays)
        self._token_handover = HandoverController(board, peers)
        monitor = Monitor(board, peers)
        guard = ClientGuard(LoggedCutReporter(board.clients), settings.memory)
        return [
            guard,
            monitor,
            AdminListener(board, settings, monitor, self._spans, guard),
            peers,
            MembershipController(board, peers, settings),
            ConfigurationController(board, peers, platform, settings.seeds),
            HostListController(board, platform, notices),
            notices,
            server_health,
            EngineOrderController(board, self._engine_control),
            SchedulingController(board, peers),
            CounterController(board, peers),
            permits,
            quarantine,
            UnservedServiceController(board, peers),
            relays,
            tokens,
            RelaySessionController(board, peers, tokens, adopted_tokens),
            self._token_handover,
            CallerListener(
                board, settings, tokens, [TokenEndpoints(board, tokens)], guard=guard
            ),
        ]

    async def hand_over(self) -> bool:
        """
        Hand over used idempotency tokens to other routers.

        :return: whether all tokens were accepted.
        """
        return await self._token_handover.hand_over()

    async def on_shutdown(self) -> None:
        """Close the connections that the services share."""
        await self._backend_client.close()
        await self._load_source.close()
        await self._engine_control.close()
        await self._platform_client.close()
