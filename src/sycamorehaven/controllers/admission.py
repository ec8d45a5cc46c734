"""Admission control: refuse calls early, or queue them for a permit."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from opentelemetry import trace

from sycamorehaven.blackboard.queues import QueueKey, WaitingRequest
from sycamorehaven.controllers.queue_limits import QueueLimits
from sycamorehaven.exceptions.refusals import (
    DeadlineUnreachable,
    DependencyUnavailable,
    NoBackendServer,
    NotReady,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import Configuration

RETRY_AFTER_SECONDS = 1.0
"""``Retry-After`` of a refusal when no better estimate is known."""

tracer = trace.get_tracer("sycamorehaven")


class PermitReleaser(Protocol):
    """Receives permits that are no longer needed."""

    def release(self, permit: Permit) -> None:
        """Release a permit for reuse or return it to its scheduler."""
        ...


class AdmissionController:
    """
    Refuses calls that cannot be served and queues the others.

    :param board: shared state of this router.
    :param permit_releaser: receives permits that a call does not use.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        permit_releaser: PermitReleaser,
        clock: Callable[[], float],
    ) -> None:
        self._board = board
        self._permit_releaser = permit_releaser
        self._clock = clock
        self._queue_limits = QueueLimits(board, clock)

    @property
    def queue_limits(self) -> QueueLimits:
        """The limits that each call is checked against before it is queued."""
        return self._queue_limits

    def admit(self, call: Call) -> None:
        """
        Check that a call may be queued.

        :raises Refusal: if the router has no configuration, if the service or
            one of its dependencies has no serving backend server, or if a
            queue limit is exceeded.
        """
        configuration = self._board.configuration.current
        if configuration is None:
            raise NotReady(
                "this router has not received a configuration yet",
                retry_after=RETRY_AFTER_SECONDS,
            )
        for name in call.service.depends_on:
            if not self._is_served(name, configuration):
                raise DependencyUnavailable(
                    f"the dependency {name!r} has no serving backend server",
                    retry_after=RETRY_AFTER_SECONDS,
                )
        if not self._is_served(call.service.name, configuration):
            raise NoBackendServer(
                f"the service {call.service.name!r} has no serving backend server",
                retry_after=RETRY_AFTER_SECONDS,
            )
        self._queue_limits.check_call(call)

    async def wait_for_permit(
        self, call: Call, *, at_front: bool, arrived_at: float
    ) -> Permit:
        """
        Queue a call and return the permit that is bound to it.

        If the wait ends in any other way, including cancellation, a permit
        that was already bound to the call is released.

        :param at_front: whether to queue the call ahead of calls that arrived
            later, as is done for retries.
        :param arrived_at: when the call arrived, in monotonic seconds.
        :raises DeadlineUnreachable: if the deadline of the call passes first.
        :raises NoBackendServer: if the service has no serving backend server
            for longer than the limit in ``unserved_services``.
        """
        key = QueueKey(call.service.name, call.workspace.name, call.priority)
        cost = call.cost_hint or call.service.expected_cost
        waiting = WaitingRequest(key, arrived_at, cost)
        self._board.queues.push(waiting, is_retry=at_front)
        self._queue_limits.track_request(call, waiting)
        is_bound = False
        try:
            with tracer.start_as_current_span("queue wait"):
                async with asyncio.timeout(call.deadline - self._clock()):
                    permit = await asyncio.shield(waiting.permit)
                    is_bound = True
                    return permit
        except TimeoutError as error:
            raise DeadlineUnreachable(
                "no permit was granted before the deadline",
                retry_after=self._queue_limits.estimate_retry_seconds(call),
            ) from error
        finally:
            self._board.queues.remove(waiting)
            if not is_bound:
                self._discard_permit(waiting)

    def _discard_permit(self, waiting: WaitingRequest) -> None:
        """Cancel the wait for a permit, or release one granted meanwhile."""
        if not waiting.permit.done():
            waiting.permit.cancel()
        elif waiting.is_granted:
            self._permit_releaser.release(waiting.permit.result())

    def _is_served(self, service: str, configuration: Configuration) -> bool:
        if service in self._board.unserved_services.services:
            return False
        now = self._clock()
        return any(
            self._board.server_statuses.takes_work(server.name, now)
            for server in configuration.list_servers(service)
        )
