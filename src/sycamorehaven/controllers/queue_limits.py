"""Refuses at once what this edge's queues cannot serve."""

from __future__ import annotations

import functools
import time
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.queues import QueueKey
from sycamorehaven.decisions.admission import (
    AdmissionRequest,
    QueueState,
    check_admission,
    estimate_retry_after,
    get_class_queue_limit,
)
from sycamorehaven.exceptions.refusals import (
    DeadlineUnreachable,
    QueueFull,
    QueueMemoryFull,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.blackboard.queues import Waiting
    from sycamorehaven.call import Call
    from sycamorehaven.decisions.admission import DrainRate

REFUSALS = {
    kind.code: kind for kind in (QueueFull, QueueMemoryFull, DeadlineUnreachable)
}


class QueueLimits:
    """
    Measures how the queues drain and checks calls against it.

    :param board: the state of this router.
    :param clock: monotonic seconds.
    """

    def __init__(
        self, board: Blackboard, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._board = board
        self._clock = clock

    def check(self, call: Call) -> None:
        """
        Check that a call may be queued.

        :raises Refusal: if its queue is full, the router's memory for queued
            bodies is, or its deadline cannot be met.
        """
        key, now = find_queue(call), self._clock()
        section, queues = self._board.admission, self._board.queues
        name = call.workspace.name
        request = AdmissionRequest(
            queues.measure(key),
            call.deadline - now,
            section.service_times.get(key).get_lower_bound(now),
            len(call.body),
        )
        state = QueueState(
            queues.count(call.service.name, name),
            get_class_queue_limit(call.workspace.queue_limit, call.priority),
            section.get_bytes(name),
            section.all_bytes,
            self._measure_drain(key, now),
        )
        rejection = check_admission(request, state)
        if rejection is not None:
            raise REFUSALS[rejection.code](
                f"{state.waiting} requests of {name!r} wait",
                retry_after=rejection.retry_after,
            )

    def watch(self, call: Call, waiting: Waiting) -> None:
        """Account for a request from its queueing to its permit."""
        now = self._clock()
        section, key = self._board.admission, waiting.key
        alone = self._board.queues.measure(key) <= 1
        section.drains.put(key, section.drains.get(key).advance(now, waiting=not alone))
        size = len(call.body)
        section.add_bytes(key.workspace, size)
        waiting.permit.add_done_callback(functools.partial(self._settle, key, size))

    def learn_service_time(self, call: Call, seconds: float) -> None:
        """Take the time from the grant to the end of an answer."""
        key, times = find_queue(call), self._board.admission.service_times
        times.put(key, times.get(key).observe(seconds, self._clock()))

    def estimate_retry(self, call: Call) -> float:
        """Return seconds after which the queue of a call will have drained."""
        key = find_queue(call)
        rate = self._measure_drain(key, self._clock())
        return estimate_retry_after(self._board.queues.measure(key), rate)

    def _measure_drain(self, key: QueueKey, now: float) -> DrainRate:
        waiting = self._board.queues.measure(key) > 0
        return self._board.admission.drains.get(key).advance(now, waiting=waiting)

    def _settle(self, key: QueueKey, size: int, permit: asyncio.Future[Permit]) -> None:
        section, now = self._board.admission, self._clock()
        section.add_bytes(key.workspace, -size)
        rate = section.drains.get(key)
        granted = not permit.cancelled() and permit.exception() is None
        move = rate.add_grant if granted else rate.advance
        section.drains.put(key, move(now, waiting=True))


def find_queue(call: Call) -> QueueKey:
    """Return the queue that a call waits in."""
    return QueueKey(call.service.name, call.workspace.name, call.priority)
