"""A router of published routes: its sections, controllers and connections."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from mode import Service
from zmq import ZMQError

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.fleet_state import FleetStateController
from sycamorehaven.controllers.forwarding import ForwardingContext, ForwardingController
from sycamorehaven.controllers.membership import MembershipController
from sycamorehaven.controllers.routing_snapshots import RoutingSnapshotController
from sycamorehaven.exceptions.startup import StartFailed
from sycamorehaven.platform.header_codec import PlatformHeaderCodec
from sycamorehaven.platform.store_client import PlatformStoreClient
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.frontend_listener import FrontendListener
from sycamorehaven.transport.health_listener import HealthListener
from sycamorehaven.transport.routed_backend_client import RoutedBackendClient
from sycamorehaven.transport.zmq_peer_link import ZmqPeerLink

if TYPE_CHECKING:
    from mode.types import ServiceT

    from sycamorehaven.gateway_settings import GatewaySettings
    from sycamorehaven.settings import RouterSettings


class Gateway(Service):
    """
    All services of one router of published routes.

    :param settings: settings of this process.
    :param gateway: its ``[gateway]`` table.
    :param log: takes decisions and changes of belief.
    """

    def __init__(
        self, settings: RouterSettings, gateway: GatewaySettings, log: DecisionLog
    ) -> None:
        super().__init__()
        self._settings = settings
        self._gateway = gateway
        self._decisions = log
        self._board = Blackboard.from_settings(settings)
        self._store = PlatformStoreClient.from_settings(settings)
        self._header_codec = PlatformHeaderCodec()
        self._backends = RoutedBackendClient(self._header_codec)
        self._metrics = GatewayMetrics()
        self._frontend: FrontendListener | None = None
        self._forwarding: ForwardingController | None = None

    @classmethod
    def from_settings(
        cls, settings: RouterSettings, gateway: GatewaySettings
    ) -> Gateway:
        """Return a router that has not started, logging to standard output."""
        log = DecisionLog.for_standard_output(settings.host)
        return cls(settings, gateway, log)

    @property
    def board(self) -> Blackboard:
        """The state of this router."""
        return self._board

    @property
    def decisions(self) -> DecisionLog:
        """Takes decisions and changes of belief."""
        return self._decisions

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
        """Return the services, in the order in which they start."""
        board, log, metrics = self._board, self._decisions, self._metrics
        peers = ZmqPeerLink(board, self._settings)
        dispatcher = Dispatcher(board, log, metrics)
        tools = ForwardingContext(
            dispatcher, self._backends, log, metrics, time.monotonic
        )
        forwarding = ForwardingController(board, peers, self._gateway, tools)
        front = FrontendListener(
            board, self._settings, forwarding, self._header_codec, log, metrics
        )
        self._frontend, self._forwarding = front, forwarding
        return [
            HealthListener(board, self._gateway, log, metrics),
            peers,
            MembershipController(board, peers, self._settings),
            RoutingSnapshotController(board, peers, self._store, log, metrics),
            FleetStateController(board, peers),
            dispatcher,
            front,
        ]

    async def hand_over(self) -> bool:
        """Take no further requests; nothing of this router outlives it."""
        self.stop_accepting()
        return True

    def stop_accepting(self) -> None:
        """Take no further requests; those in progress end by themselves."""
        if self._frontend is not None:
            self._frontend.close_idle()

    def reload(self, settings: RouterSettings) -> None:
        """Take over what may change while the router runs."""
        changed = [
            name
            for name, value in settings._asdict().items()
            if value != getattr(self._settings, name)
        ]
        self._board.seeds.replace(settings.seeds)
        if settings.gateway is not None and self._forwarding is not None:
            self._forwarding.reconfigure(settings.gateway)
        self._settings = settings
        self._decisions.record("reloaded", changed=changed)

    async def on_shutdown(self) -> None:
        """Close the connections that services share."""
        await self._backends.close()
        await self._store.close()
