"""Admits calls to the queues and waits for their permits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from opentelemetry import trace

from sycamorehaven.blackboard.queues import QueueKey, Waiting
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
"""Seconds a refused caller is asked to wait if nothing better is known."""

tracer = trace.get_tracer("sycamorehaven")


class PermitReleaser(Protocol):
    """Takes permits back."""

    def release(self, permit: Permit) -> None:
        """Give a permit back to its scheduler."""
        ...


class AdmissionController:
    """
    Refuses what cannot be served and queues the rest.

    :param board: the state of this router.
    :param permits: takes permits back.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        permits: PermitReleaser,
        clock: Callable[[], float],
    ) -> None:
        self._board = board
        self._permit_releaser = permits
        self._clock = clock
        self._queue_limits = QueueLimits(board, clock)

    @property
    def queue_limits(self) -> QueueLimits:
        """What the queues can serve."""
        return self._queue_limits

    def admit(self, call: Call) -> None:
        """
        Check that a call may be queued.

        :raises Refusal: if it may not.
        """
        configuration = self._board.configuration.current
        if configuration is None:
            raise NotReady("no configuration yet", retry_after=RETRY_AFTER_SECONDS)
        for name in call.service.depends_on:
            if not self._is_served(name, configuration):
                raise DependencyUnavailable(
                    f"{name!r} has no serving backend server",
                    retry_after=RETRY_AFTER_SECONDS,
                )
        if not self._is_served(call.service.name, configuration):
            raise NoBackendServer(
                f"{call.service.name!r} has no serving backend server",
                retry_after=RETRY_AFTER_SECONDS,
            )
        self._queue_limits.check_call(call)

    async def wait_for_permit(
        self, call: Call, *, at_front: bool, arrived_at: float
    ) -> Permit:
        """
        Queue a call and return the permit that it is bound to.

        Whatever ends the wait, a permit that it does not return is released.

        :param first: whether the call goes before younger ones.
        :param since: when the call came in, monotonic seconds.
        :raises DeadlineUnreachable: if the call's deadline passes.
        :raises NoBackendServer: if nothing serves the service for a while.
        """
        key = QueueKey(call.service.name, call.workspace.name, call.priority)
        cost = call.cost_hint or call.service.expected_cost
        waiting = Waiting(key, arrived_at, cost)
        self._board.queues.push(waiting, first=at_front)
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
                "no permit before the deadline",
                retry_after=self._queue_limits.estimate_retry_seconds(call),
            ) from error
        finally:
            self._board.queues.remove(waiting)
            if not is_bound:
                self._discard_permit(waiting)

    def _discard_permit(self, waiting: Waiting) -> None:
        if not waiting.permit.done():
            waiting.permit.cancel()
        elif waiting.is_granted:
            self._permit_releaser.release(waiting.permit.result())

    def _is_served(self, service: str, configuration: Configuration) -> bool:
        if service in self._board.unserved.services:
            return False
        now = self._clock()
        return any(
            self._board.servers.takes_work(server.name, now)
            for server in configuration.list_servers(service)
        )
