"""
Rejection of requests that a router has no time for.

A router that is short of time gets more requests than it can relay. To read
one through the HTTP server and reject it takes a third of the time of serving
it, and the clients come back to the same router. So a request that arrived
whole is rejected by its head alone, before the HTTP server sees it.
"""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.arrivals import ArrivalControl
from sycamorehaven.decisions.load_shedding import choose_busy_retry_after
from sycamorehaven.decisions.relay_budget import RelayBudget
from sycamorehaven.decisions.rotation import RotationControl
from sycamorehaven.exceptions.refusals import (
    InvalidWorkspaceKey,
    Refusal,
    RouterBusy,
    UnknownPath,
)
from sycamorehaven.routing.model import Route
from sycamorehaven.transport.offload.offloads import Offload
from sycamorehaven.transport.problem_details import render_refusal
from sycamorehaven.transport.request_framing import parse_arrived_request

if TYPE_CHECKING:
    from collections.abc import Callable, Sized

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.routing import RoutingSection
    from sycamorehaven.blackboard.workload import RejectionStage
    from sycamorehaven.decisions.offload.peers import OffloadPeer
    from sycamorehaven.routing.model import RoutingConfiguration
    from sycamorehaven.routing.requests import HeaderCodec, RequestHead
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.transport.offload.offloads import Offloads
    from sycamorehaven.transport.request_framing import ArrivedRequest


MAX_DISPATCH_DELAY_SECONDS = 0.04
"""Time until the dispatcher looks at a request from which arriving ones are
rejected; about one pass and its pause. Many requests are looked at twice, and
wait for a scheduler's answer in between."""


class EarlyRejection(NamedTuple):
    """
    The rejection of a request that the HTTP server has not seen.

    :ivar response: response to the client.
    :ivar remaining: bytes of the request's body that have yet to arrive.
    """

    response: bytes
    remaining: int


class RequestSender(NamedTuple):
    """
    Who sent a request, by its head.

    :ivar workspace: its workspace, "" on a public route.
    :ivar route: its route.
    :ivar attempt_id: id of the client's attempt.
    :ivar client_timeout: seconds for which the client waits.
    :ivar received_at: when it was received, in monotonic seconds.
    """

    workspace: str
    route: Route
    attempt_id: str
    client_timeout: float | None
    received_at: float


class TimeGate:
    """
    Rejects requests of the workspaces that take most of a router's time.

    :param board: shared state of this router.
    :param header_codec: reads the platform's request headers.
    :param decision_log: records when the router leaves the rotation.
    :param record_refusal: called with the id of a request that is rejected
        early, when it was received and the refusal.
    :param clock: returns monotonic time in seconds.
    :param rotation: decides when the router leaves the balancer's rotation.
    :param arriving_connections: the connections with a request that has not
        begun.
    :param max_requests: requests that may be in progress at a time, each with
        a connection to a server.
    :param offloads: finds other routers that have time; ``None`` if there are
        none.
    """

    def __init__(
        self,
        board: Blackboard,
        header_codec: HeaderCodec,
        decision_log: DecisionLog,
        record_refusal: Callable[[str, float, Refusal], None],
        clock: Callable[[], float] = time.monotonic,
        rotation: RotationControl | None = None,
        arriving_connections: Sized = (),
        max_requests: float = math.inf,
        offloads: Offloads | None = None,
    ) -> None:
        self._board = board
        self._header_codec = header_codec
        self._decision_log = decision_log
        self._record_refusal = record_refusal
        self._clock = clock
        self._arrivals = ArrivalControl()
        self._rotation = rotation or RotationControl()
        self._budget = RelayBudget(self._rotation.cores)
        self._arriving_connections = arriving_connections
        self._max_requests = max_requests
        self._offloads = offloads

    def is_short_of_time(self) -> bool:
        """Return whether new connections should go to other routers."""
        return self._rotation.is_absent

    def check_time(self, workspace: str, head: RequestHead, received_at: float) -> None:
        """
        Count a request in progress, and check that there is time for it.

        :raises RouterBusy: if there is none.
        """
        self._board.workload.count_arrival(workspace)
        event_loop = self._board.event_loop
        in_progress = self._board.lifecycle.own_requests
        is_admitted = self._arrivals.admit(
            workspace,
            event_loop.lag,
            received_at,
            has_room=in_progress <= self._get_request_limit()
            and self._has_time_for_more(received_at),
        )
        self._count(workspace, received_at, is_admitted=is_admitted)
        if not is_admitted:
            self._board.workload.count_rejection_stage("by_server")
            raise create_busy_refusal(head.client_timeout)
        self._budget.take(received_at)
        self._board.workload.accept_rate = self._budget.rate
        self._board.workload.count_accepted()

    def may_reject_early(self) -> bool:
        """Return whether requests may be rejected before they are read."""
        event_loop, lifecycle = self._board.event_loop, self._board.lifecycle
        # The request would be one more in progress.
        arriving = len(self._arriving_connections)
        has_room = (
            lifecycle.own_requests + arriving < self._get_request_limit()
            and self._has_time_for_more(self._clock(), arriving)
        )
        return not (
            self._arrivals.has_time(event_loop.lag, has_room=has_room)
            or lifecycle.is_draining
            or not self._board.routing.is_ready
        )

    def _get_request_limit(self) -> float:
        """Return how many requests may be in progress."""
        return min(self._board.event_loop.request_limit, self._max_requests)

    def _has_time_for_more(self, now: float, arriving: int = 0) -> bool:
        """
        Return whether there is time to dispatch and relay one request more.

        :param arriving: requests that will be accepted before it.
        """
        event_loop = self._board.event_loop
        if event_loop.get_dispatch_delay(now) >= MAX_DISPATCH_DELAY_SECONDS:
            return False
        return self._budget.has_room(event_loop.utilization, now, arriving)

    def find_offload(self, data: bytes) -> Offload | None:
        """
        Return how another router answers a request that there is no time for.

        :param data: what a client without a request in progress has sent.
        :returns: ``None`` if it is read here or rejected.
        """
        peer = self._find_peer()
        if peer is None or not self.may_reject_early():
            return None
        with self._board.workload.measure("rejection"):
            request = parse_arrived_request(data)
            sender = self._identify(request) if request is not None else None
            if sender is None:
                return None
            self._board.workload.count_arrival(sender.workspace)
            self._board.workload.count_offloaded()
            self._record_departure(sender.workspace, sender.received_at, accepted=False)
            timeout = min(sender.client_timeout or math.inf, sender.route.timeout)
            return Offload(peer, timeout, create_busy_refusal(sender.client_timeout))

    def _find_peer(self) -> OffloadPeer | None:
        return self._offloads.find_peer() if self._offloads is not None else None

    def reject_early(self, data: bytes) -> EarlyRejection | None:
        """
        Return the rejection of a request that the router has no time for.

        :param data: what a client without a request in progress has sent.
        :returns: ``None`` if the request has to be read as usual.
        """
        if not self.may_reject_early():
            return None
        with self._board.workload.measure("rejection"):
            request = parse_arrived_request(data)
            if request is None:
                return None
            response = self._reject(request, "by_head")
            if response is None:
                return None
            return EarlyRejection(response, request.remaining)

    def reject_arrival(self, data: bytes) -> bytes | None:
        """
        Return the last response on a connection that is not yet accepted.

        :param data: all that it has received.
        :returns: ``None`` if the connection has to be accepted.
        """
        if self._find_peer() is not None:
            return None
        with self._board.workload.measure("rejection"):
            request = parse_arrived_request(data)
            if request is None or request.remaining:
                return None
            return self._reject(request, "on_arrival")

    def _identify(self, request: ArrivedRequest) -> RequestSender | None:
        """
        Return who sent a request that may be rejected for lack of time.

        :returns: ``None`` if it has to be read as usual.
        """
        received_at = self._clock()
        configuration = self._board.routing.configuration
        if configuration is None or (
            request.remaining > configuration.limits.max_body_bytes
        ):
            return None
        try:
            identity = self._header_codec.parse_identity(request.headers)
            route, workspace = identify_request(
                self._board.routing, request.host, request.target, identity.client_key
            )
        except Refusal:
            return None
        if not self._arrivals.takes_even_part(workspace, received_at):
            return None
        return RequestSender(
            workspace, route, identity.attempt_id, identity.client_timeout, received_at
        )

    def _reject(self, request: ArrivedRequest, stage: RejectionStage) -> bytes | None:
        sender = self._identify(request)
        if sender is None:
            return None
        self._board.workload.count_arrival(sender.workspace)
        self._count(sender.workspace, sender.received_at, is_admitted=False)
        self._board.workload.count_rejection_stage(stage)
        refusal = create_busy_refusal(sender.client_timeout)
        self._record_refusal(sender.attempt_id, sender.received_at, refusal)
        return render_refusal(
            refusal, sender.attempt_id, closes_connection=stage == "on_arrival"
        )

    def _count(self, workspace: str, received_at: float, *, is_admitted: bool) -> None:
        event_loop = self._board.event_loop
        if not is_admitted:
            event_loop.count_rejection()
            self._board.workload.count_rejection(workspace, RouterBusy.code)
        self._record_departure(workspace, received_at, accepted=is_admitted)

    def _record_departure(
        self, workspace: str, received_at: float, *, accepted: bool
    ) -> None:
        """Count a request for the decision to leave the rotation."""
        event_loop = self._board.event_loop
        departure = self._rotation.record(workspace, received_at, accepted=accepted)
        if departure is not None:
            self._decision_log.record(
                "rotation_left" if departure == "left" else "rotation_kept",
                reason=departure,
                workspaces=self._rotation.flooding,
                carried=round(self._rotation.carried_rate, 1),
                overloaded_for=round(self._rotation.measure_overload(received_at), 2),
                requests_in_progress=self._board.lifecycle.requests_in_progress,
                request_limit=round(event_loop.request_limit, 1),
                lag=round(event_loop.lag, 3),
            )


def create_busy_refusal(client_timeout: float | None) -> RouterBusy:
    """
    Return the refusal of a request that the router has no time for.

    :param client_timeout: seconds for which the client waits.
    """
    return RouterBusy(
        "the router has more requests than it has time to relay",
        retry_after=choose_busy_retry_after(client_timeout),
    )


def identify_request(
    routing: RoutingSection, host: str, target: str, client_key: str
) -> tuple[Route, str]:
    """
    Return the route of a request and its workspace, "" on a public route.

    :param host: the host that the client named.
    :param target: path and query.
    :param client_key: key that authenticates the client, or "".
    :raises UnknownPath: if it has no route.
    :raises InvalidWorkspaceKey: if its key belongs to no workspace.
    """
    route = routing.route_table.find_route(host, target.partition("?")[0])
    if route is None or routing.configuration is None:
        raise UnknownPath("no route matches the host and path of the request")
    return route, find_workspace(routing.configuration, route, client_key)


def find_workspace(
    configuration: RoutingConfiguration, route: Route, client_key: str
) -> str:
    """
    Return the workspace whose key a request carries, "" on a public route.

    :raises InvalidWorkspaceKey: if the key belongs to no workspace.
    """
    if route.public or configuration.workspaces_by_key is None:
        return ""
    workspace = configuration.workspaces_by_key.get(client_key)
    if workspace is None:
        raise InvalidWorkspaceKey("the key belongs to no workspace")
    return workspace
