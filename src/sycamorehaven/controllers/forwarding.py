"""Carries requests on published routes to backend servers and back."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.routed_run import RoutedRun
from sycamorehaven.decisions.retry_window import RetryWindow
from sycamorehaven.decisions.strikes import StrikeTable
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.messages.suspects import Acquittal, Strike
from sycamorehaven.transport.routed_backend_client import RoutedBackendClient

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Answer
    from sycamorehaven.gateway_settings import GatewaySettings
    from sycamorehaven.routing.requests import RoutedRequest
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink


class ForwardingTools(NamedTuple):
    """
    What a run of a request works with.

    :ivar dispatcher: finds servers.
    :ivar backends: sends to them.
    :ivar log: takes decisions.
    :ivar metrics: takes outcomes.
    :ivar clock: monotonic seconds.
    """

    dispatcher: Dispatcher
    backends: RoutedBackendClient
    log: DecisionLog
    metrics: GatewayMetrics
    clock: Callable[[], float]


class ForwardingController:
    """
    Runs requests; keeps the budget of repeats and the strikes.

    :param board: the state of this router.
    :param link: connection to other routers.
    :param settings: bounds of the budget of repeats.
    :param tools: what runs work with.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        settings: GatewaySettings,
        tools: ForwardingTools,
    ) -> None:
        self._board = board
        self._link = link
        self._settings = settings
        self._tools = tools
        self._windows: dict[str, RetryWindow] = {}
        self._strikes = StrikeTable()
        self._most_routers = 1
        link.subscribe(Strike, self._take_strike)
        link.subscribe(Acquittal, self._take_acquittal)

    def reconfigure(self, settings: GatewaySettings) -> None:
        """Count repeats by new bounds from now on."""
        if settings != self._settings:
            self._settings = settings
            self._windows.clear()

    @property
    def tools(self) -> ForwardingTools:
        """What runs work with."""
        return self._tools

    async def answer(self, request: RoutedRequest) -> Answer:
        """
        Return the answer to a request once its first bytes are there.

        :raises Refusal: if there is none.
        """
        now = self._tools.clock()
        self._find_window(request.service).add_fresh(now)
        return await RoutedRun(self, request).start()

    def take_repeat(self, service: str) -> bool:
        """Take one repeat off a service's budget, if it has one."""
        members = len(self._board.members.list())
        # A router that is not heard of may still spend its part.
        self._most_routers = max(self._most_routers, members)
        return self._find_window(service).take(self._most_routers, self._tools.clock())

    def is_banned(self, fingerprint: bytes) -> bool:
        """Return whether a request has crashed too many servers."""
        return self._strikes.is_banned(fingerprint, self._tools.clock())

    def strike(self, fingerprint: bytes, server: str, ran: float) -> None:
        """
        Note that a server was lost while it ran a request.

        :param server: one life of the server; a crash is its end.
        """
        self._strikes.add(fingerprint, server, self._tools.clock())
        number = xxhash.xxh3_64_intdigest(server.encode())
        strike = Strike(fingerprint, number, 0.0, server, ran, alone=False)
        self._link.broadcast(strike)

    def acquit(self, fingerprint: bytes) -> None:
        """Note that a request was served."""
        if self._strikes.clear(fingerprint):
            self._link.broadcast(Acquittal(fingerprint, 0.0))

    def _take_strike(self, delivery: Delivery) -> None:
        strike: Strike = delivery.message
        now = self._tools.clock() - strike.age
        self._strikes.add(strike.fingerprint, strike.server, now)

    def _take_acquittal(self, delivery: Delivery) -> None:
        acquittal: Acquittal = delivery.message
        self._strikes.clear(acquittal.fingerprint)

    def _find_window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = RetryWindow(
                self._settings.retry_ratio,
                self._settings.retry_slack,
                self._settings.retry_window,
            )
        return window
