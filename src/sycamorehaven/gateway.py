"""A gateway: a router that serves the routes published by the platform."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service
from zmq import ZMQError

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.controllers.admissions import AdmissionController
from sycamorehaven.controllers.cold_servers.recorder import ColdServerRecorder
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.engine_queues import EngineQueueController
from sycamorehaven.controllers.event_loop import EventLoopMonitor
from sycamorehaven.controllers.fleet_state import FleetStateController
from sycamorehaven.controllers.forwarding import ForwardingContext, ForwardingController
from sycamorehaven.controllers.membership import MembershipController
from sycamorehaven.controllers.news_link import NewsLink
from sycamorehaven.controllers.plain_servers.monitor import PlainServerMonitor
from sycamorehaven.controllers.rotation import RotationController
from sycamorehaven.controllers.routing_snapshots import RoutingSnapshotController
from sycamorehaven.controllers.server_conditions import ServerConditionRecorder
from sycamorehaven.controllers.workload import WorkloadMonitor
from sycamorehaven.decisions.rotation import RotationControl
from sycamorehaven.exceptions.startup import StartFailed
from sycamorehaven.platform.header_codec import PlatformHeaderCodec
from sycamorehaven.platform.store_client import PlatformStoreClient
from sycamorehaven.telemetry.client_cuts import GatewayCutReporter
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.client_limits.guard import ClientGuard
from sycamorehaven.transport.frontend_listener import FrontendListener
from sycamorehaven.transport.health_listener import HealthListener
from sycamorehaven.transport.routed_backend_client import RoutedBackendClient
from sycamorehaven.transport.zmq_peer_link import ZmqPeerLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from mode.types import ServiceT

    from sycamorehaven.gateway_settings import GatewaySettings
    from sycamorehaven.settings import RouterSettings


class Gateway(Service):
    """
    All services of one gateway.

    :param settings: settings of this process.
    :param gateway_settings: the ``[gateway]`` table of the settings.
    :param decision_log: records decisions and changes of the fleet's state.
    """

    def __init__(
        self,
        settings: RouterSettings,
        gateway_settings: GatewaySettings,
        decision_log: DecisionLog,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._gateway_settings = gateway_settings
        self._decision_log = decision_log
        self._board = Blackboard.from_settings(settings)
        self._board.seeds.replace(settings.seeds)
        self._store = PlatformStoreClient.from_settings(settings)
        self._header_codec = PlatformHeaderCodec()
        self._metrics = GatewayMetrics()
        self._condition_recorder = ServerConditionRecorder(
            self._board, decision_log, self._metrics
        )
        # Before the controllers, so that they find what it has marked.
        self._cold_recorder = ColdServerRecorder(
            self._board, decision_log, self._metrics
        )
        self._backends = RoutedBackendClient(
            self._header_codec, self._condition_recorder
        )
        self._guard = ClientGuard(
            GatewayCutReporter(decision_log, self._metrics), gateway_settings.memory
        )
        self._frontend: FrontendListener | None = None
        self._forwarding: ForwardingController | None = None

    @classmethod
    def from_settings(
        cls, settings: RouterSettings, gateway_settings: GatewaySettings
    ) -> Gateway:
        """Create a gateway that logs its decisions to standard output."""
        decision_log = DecisionLog.for_standard_output(settings.host)
        return cls(settings, gateway_settings, decision_log)

    @property
    def board(self) -> Blackboard:
        """The blackboard, which holds the state of this router."""
        return self._board

    @property
    def condition_recorder(self) -> ServerConditionRecorder:
        """Records what servers say, and checks requests before sending."""
        return self._condition_recorder

    @property
    def decision_log(self) -> DecisionLog:
        """The log of decisions and of changes of the fleet's state."""
        return self._decision_log

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
        board, decision_log, metrics = self._board, self._decision_log, self._metrics
        peers = ZmqPeerLink(board, self._settings)
        news = NewsLink(board, peers)
        admissions = AdmissionController(board, peers, decision_log, metrics)
        dispatcher = Dispatcher(board, decision_log, metrics, admissions=admissions)
        context = ForwardingContext(
            dispatcher, self._backends, decision_log, metrics, time.monotonic
        )
        forwarding = ForwardingController(board, peers, self._gateway_settings, context)
        rotation = RotationControl(self._gateway_settings.cores)
        frontend = FrontendListener(
            board,
            self._settings,
            forwarding,
            self._header_codec,
            decision_log,
            metrics,
            descriptors=self._gateway_settings.descriptors,
            rotation=rotation,
            guard=self._guard,
        )
        self._frontend, self._forwarding = frontend, forwarding
        return [
            *self._create_monitors(frontend.is_short_of_time),
            peers,
            MembershipController(board, peers, self._settings),
            RotationController(
                board,
                peers,
                rotation,
                decision_log,
                callers_address=self._settings.callers_address,
            ),
            news,
            RoutingSnapshotController(
                board,
                news,
                self._store,
                decision_log,
                metrics,
                evacuation_observer=self._cold_recorder,
            ),
            FleetStateController(board, news, self._condition_recorder),
            EngineQueueController(board, peers, decision_log=decision_log),
            admissions,
            dispatcher,
            forwarding.strikes,
            frontend,
        ]

    def _create_monitors(self, is_short_of_time: Callable[[], bool]) -> list[ServiceT]:
        """
        Create the services that measure and report.

        :param is_short_of_time: returns whether the router has left the load
            balancer's rotation.
        """
        board, log, metrics = self._board, self._decision_log, self._metrics
        settings = self._gateway_settings
        cores = settings.cores
        return [
            EventLoopMonitor(board, log, metrics, cores=cores),
            PlainServerMonitor(board, log, metrics),
            WorkloadMonitor(board, log, metrics, is_short_of_time, cores=cores),
            self._guard,
            HealthListener(
                board,
                settings,
                log,
                metrics,
                is_short_of_time=is_short_of_time,
                guard=self._guard,
            ),
        ]

    async def hand_over(self) -> bool:
        """
        Stop accepting requests.

        :return: ``True``, because a gateway has no state to hand over.
        """
        self.stop_accepting()
        return True

    def stop_accepting(self) -> None:
        """Stop accepting requests; those in progress are still answered."""
        if self._frontend is not None:
            self._frontend.close_idle()

    def reload(self, settings: RouterSettings) -> None:
        """
        Apply changed settings that take effect while the router runs.

        These are the seeds of the fleet and the limits of the retry budgets.

        :param settings: the new settings.
        """
        changed = [
            name
            for name, value in settings._asdict().items()
            if value != getattr(self._settings, name)
        ]
        self._board.seeds.replace(settings.seeds)
        if settings.gateway is not None and self._forwarding is not None:
            self._forwarding.reconfigure(settings.gateway)
        self._settings = settings
        self._decision_log.record("reloaded", changed=changed)

    async def on_shutdown(self) -> None:
        """Close the connections that the services share."""
        await self._backends.close()
        await self._store.close()
