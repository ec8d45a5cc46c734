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


class ForwardingContext(NamedTuple):
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
    decision_log: DecisionLog
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
        context: ForwardingContext,
    ) -> None:
        self._board = board
        self._link = link
        self._settings = settings
        self._context = context
        self._retry_windows: dict[str, RetryWindow] = {}
        self._strike_table = StrikeTable()
        self._max_known_routers = 1
        link.subscribe(Strike, self._handle_strike)
        link.subscribe(Acquittal, self._handle_acquittal)

    def reconfigure(self, settings: GatewaySettings) -> None:
        """Count repeats by new bounds from now on."""
        if settings != self._settings:
            self._settings = settings
            self._retry_windows.clear()

    @property
    def context(self) -> ForwardingContext:
        """What runs work with."""
        return self._context

    async def answer(self, request: RoutedRequest) -> Answer:
        """
        Return the answer to a request once its first bytes are there.

        :raises Refusal: if there is none.
        """
        now = self._context.clock()
        self._get_retry_window(request.service).record_request(now)
        return await RoutedRun(self, request).start()

    def try_consume_retry(self, service: str) -> bool:
        """Take one repeat off a service's budget, if it has one."""
        members = len(self._board.members.list())
        # A router that is not heard of may still spend its part.
        self._max_known_routers = max(self._max_known_routers, members)
        return self._get_retry_window(service).try_spend(
            self._max_known_routers, self._context.clock()
        )

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request has crashed too many servers."""
        return self._strike_table.is_blocked(fingerprint, self._context.clock())

    def report_server_loss(
        self, fingerprint: bytes, server_life: str, run_seconds: float
    ) -> None:
        """
        Note that a server was lost while it ran a request.

        :param server: one life of the server; a crash is its end.
        """
        self._strike_table.add_strike(fingerprint, server_life, self._context.clock())
        server_number = xxhash.xxh3_64_intdigest(server_life.encode())
        strike = Strike(
            fingerprint, server_number, 0.0, server_life, run_seconds, alone=False
        )
        self._link.broadcast(strike)

    def report_success(self, fingerprint: bytes) -> None:
        """Note that a request was served."""
        if self._strike_table.clear_strikes(fingerprint):
            self._link.broadcast(Acquittal(fingerprint, 0.0))

    def _handle_strike(self, delivery: Delivery) -> None:
        strike: Strike = delivery.message
        now = self._context.clock() - strike.age
        self._strike_table.add_strike(strike.fingerprint, strike.server, now)

    def _handle_acquittal(self, delivery: Delivery) -> None:
        acquittal: Acquittal = delivery.message
        self._strike_table.clear_strikes(acquittal.fingerprint)

    def _get_retry_window(self, service: str) -> RetryWindow:
        window = self._retry_windows.get(service)
        if window is None:
            window = self._retry_windows[service] = RetryWindow(
                self._settings.retry_ratio,
                self._settings.retry_slack,
                self._settings.retry_window,
            )
        return window
