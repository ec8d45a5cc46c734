"""Asks other routers for the load that made this one leave the rotation."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from mode import Service

from sycamorehaven.decisions.rotation import RotationReport
from sycamorehaven.transport.messages.rotation import (
    RotationReply,
    RotationRequest,
    WorkspaceRate,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.decisions.rotation import RotationControl
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.transport.codec import Delivery
    from sycamorehaven.transport.peer_link import PeerLink

UPDATE_PERIOD_SECONDS = 0.1
"""Time between two looks at whether the router is overloaded or may return."""
MIN_REQUEST_PERIOD_SECONDS = 0.5
"""Shortest time between two requests to the other routers."""
REQUEST_PERIOD_PER_ROUTER_SECONDS = 0.02
"""The same time for each router of the failure domain."""


class RotationController(Service):
    """
    Exchanges the load of overloaded routers within a failure domain.

    Nothing is sent while no router of the failure domain is overloaded.

    :param board: shared state of this router.
    :param link: connection to the other routers.
    :param rotation: decides when this router leaves and returns.
    :param decision_log: records when this router returns.
    :param clock: returns monotonic time in seconds.
    :param callers_address: where this router accepts requests, ``ip:port``.
    """

    def __init__(
        self,
        board: Blackboard,
        link: PeerLink,
        rotation: RotationControl,
        decision_log: DecisionLog,
        clock: Callable[[], float] = time.monotonic,
        callers_address: str = "",
    ) -> None:
        super().__init__()
        self._board = board
        self._link = link
        self._rotation = rotation
        self._decision_log = decision_log
        self._clock = clock
        self._callers_address = callers_address
        self._asked_at = float("-inf")
        link.subscribe(RotationRequest, self._handle_request)
        link.subscribe(RotationReply, self._handle_reply)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            self.update()
            await asyncio.sleep(UPDATE_PERIOD_SECONDS)

    def update(self) -> None:
        """Ask the others if that is needed, and return if the load allows."""
        now = self._clock()
        if not self._rotation.needs_reports(now):
            return
        self._ask_others(now)
        if self._rotation.try_return(now):
            self._decision_log.record(
                "rotation_entered",
                workspaces=self._rotation.flooding,
                rate=round(self._rotation.measure_flood(now), 1),
                carried=round(self._rotation.carried_rate, 1),
            )

    def _ask_others(self, now: float) -> None:
        """Ask the routers of the failure domain, unless they just were."""
        own = self._board.members.own
        addresses = [
            member.address
            for member in self._board.members.list()
            if member.failure_domain == own.failure_domain and member != own
        ]
        period = len(addresses) * REQUEST_PERIOD_PER_ROUTER_SECONDS
        if now - self._asked_at < max(period, MIN_REQUEST_PERIOD_SECONDS):
            return
        self._asked_at = now
        request = RotationRequest(list(self._rotation.flooding))
        self._link.send_to_all(addresses, request)

    def _handle_request(self, delivery: Delivery) -> None:
        request: RotationRequest = delivery.message
        rates = self._rotation.measure_rates(request.workspaces, self._clock())
        reply = RotationReply(
            [WorkspaceRate(name, rate) for name, rate in rates.items()],
            self._rotation.cores,
            self._rotation.is_absent or not self._takes_connections(),
            self._callers_address,
            self._measure_spare_cores(),
        )
        self._link.send(delivery.sender.host, reply)

    def _takes_connections(self) -> bool:
        lifecycle = self._board.lifecycle
        return self._board.routing.is_ready and not lifecycle.is_draining

    def _measure_spare_cores(self) -> float:
        idle_ratio = max(1.0 - self._board.event_loop.utilization, 0.0)
        return self._rotation.cores * idle_ratio

    def _handle_reply(self, delivery: Delivery) -> None:
        reply: RotationReply = delivery.message
        report = RotationReport(
            {rate.workspace: rate.rate for rate in reply.rates},
            reply.cores,
            reply.is_absent,
            self._clock(),
            reply.callers_address,
            reply.spare_cores,
        )
        self._rotation.record_report(delivery.sender.host, report)
