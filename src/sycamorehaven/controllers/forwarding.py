"""Forwards requests on published routes to backend servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.controllers.client_limits.answer_memory import AnswerMemory
from sycamorehaven.controllers.dispatch import Dispatcher
from sycamorehaven.controllers.gone_servers import GoneServerExchange
from sycamorehaven.controllers.plain_servers.load_reports import LoadReportRecorder
from sycamorehaven.controllers.routed_run import RoutedRun
from sycamorehaven.controllers.stream_origins import StreamOriginExchange
from sycamorehaven.controllers.strike_exchange import StrikeExchange
from sycamorehaven.decisions.event_buffers import EventBuffers
from sycamorehaven.decisions.retry_window import RetryWindow
from sycamorehaven.telemetry.decision_log import DecisionLog
from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics
from sycamorehaven.transport.routed_backend_client import RoutedBackendClient

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.workload import WorkloadSection
    from sycamorehaven.call import Answer
    from sycamorehaven.gateway_settings import GatewaySettings
    from sycamorehaven.routing.requests import RoutedRequest
    from sycamorehaven.transport.peer_link import PeerLink


class ForwardingContext(NamedTuple):
    """
    Objects that all requests on published routes share.

    :ivar dispatcher: assigns requests to servers.
    :ivar backends: sends requests to servers.
    :ivar decision_log: records decisions.
    :ivar metrics: records outcomes.
    :ivar clock: returns monotonic time in seconds.
    """

    dispatcher: Dispatcher
    backends: RoutedBackendClient
    decision_log: DecisionLog
    metrics: GatewayMetrics
    clock: Callable[[], float]


class ForwardingController:
    """
    Runs requests and keeps the retry budgets.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param settings: limits of the retry budgets.
    :param context: objects that all requests share.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        settings: GatewaySettings,
        context: ForwardingContext,
    ) -> None:
        self._board = board
        self._settings = settings
        self._context = context
        self._retry_windows: dict[str, RetryWindow] = {}
        self._strikes = StrikeExchange(
            board, link, context.decision_log, context.metrics, context.clock
        )
        self._stream_origins = StreamOriginExchange(board, link, context.clock)
        self._gone_servers = GoneServerExchange(
            board, link, context.decision_log, context.clock
        )
        self._load_reports = LoadReportRecorder(
            board, context.decision_log, context.clock
        )
        self._event_buffers = EventBuffers()
        self._answer_memory = AnswerMemory()
        self._max_known_routers = 1

    @property
    def workload(self) -> WorkloadSection:
        """Counts of each workspace's requests."""
        return self._board.workload

    @property
    def event_buffers(self) -> EventBuffers:
        """Memory for events that are not complete."""
        return self._event_buffers

    @property
    def load_reports(self) -> LoadReportRecorder:
        """What plain servers say of their load."""
        return self._load_reports

    @property
    def answer_memory(self) -> AnswerMemory:
        """Memory for answers that are read before they are passed on."""
        return self._answer_memory

    @property
    def strikes(self) -> StrikeExchange:
        """Strikes against requests that seem to crash servers."""
        return self._strikes

    @property
    def gone_servers(self) -> GoneServerExchange:
        """Servers whose process has ended."""
        return self._gone_servers

    @property
    def stream_origins(self) -> StreamOriginExchange:
        """The servers at which streams began."""
        return self._stream_origins

    def reconfigure(self, settings: GatewaySettings) -> None:
        """
        Replace the limits of the retry budgets.

        The budgets start anew if the limits have changed.
        """
        if settings != self._settings:
            self._settings = settings
            self._retry_windows.clear()

    @property
    def context(self) -> ForwardingContext:
        """Objects that all requests share."""
        return self._context

    async def answer(self, request: RoutedRequest) -> Answer:
        """
        Return the answer to a request as soon as its first bytes are there.

        :raises Refusal: if the request is refused or its last attempt failed.
        """
        now = self._context.clock()
        self._get_retry_window(request.service).record_request(now)
        return await RoutedRun(self, request).start()

    def try_consume_retry(self, service: str) -> bool:
        """
        Consume one retry of a service's budget, if it has one.

        :returns: whether the retry is allowed.
        """
        members = self._board.members.count()
        # The budget is divided by the largest number of routers seen so far,
        # because a router that is unreachable may still consume its part.
        self._max_known_routers = max(self._max_known_routers, members)
        return self._get_retry_window(service).try_spend(
            self._max_known_routers, self._context.clock()
        )

    def _get_retry_window(self, service: str) -> RetryWindow:
        window = self._retry_windows.get(service)
        if window is None:
            window = self._retry_windows[service] = RetryWindow(
                self._settings.retry_ratio,
                self._settings.retry_slack,
                self._settings.retry_window,
            )
        return window
