"""Refuses calls that the queues of this router cannot serve in time."""

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
    from sycamorehaven.blackboard.queues import WaitingRequest
    from sycamorehaven.call import Call
    from sycamorehaven.decisions.admission import DrainRate

REFUSALS_BY_CODE = {
    kind.code: kind for kind in (QueueFull, QueueMemoryFull, DeadlineUnreachable)
}
"""Refusal class for each rejection code of ``decisions.admission``."""


class QueueLimits:
    """
    Measures the drain rate of each queue and checks new calls against it.

    :param board: shared state of this router.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self, board: Blackboard, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._board = board
        self._clock = clock

    def check_call(self, call: Call) -> None:
        """
        Check that a call may be queued.

        :raises Refusal: if its queue is full, if the memory for queued bodies
            is exhausted, or if its deadline cannot be met.
        """
        key, now = get_queue_key(call), self._clock()
        section, queues = self._board.admission, self._board.queues
        workspace_name = call.workspace.name
        request = AdmissionRequest(
            queues.get_length(key),
            call.deadline - now,
            section.service_times.get(key).get_lower_bound(now),
            len(call.body),
        )
        state = QueueState(
            queues.count_waiting(call.service.name, workspace_name),
            get_class_queue_limit(call.workspace.queue_limit, call.priority),
            section.get_waiting_bytes(workspace_name),
            section.total_waiting_bytes,
            self._get_drain_rate(key, now),
        )
        rejection = check_admission(request, state)
        if rejection is not None:
            raise REFUSALS_BY_CODE[rejection.code](
                f"{state.waiting} requests of the workspace {workspace_name!r} are "
                "already waiting for the service",
                retry_after=rejection.retry_after,
            )

    def track_request(self, call: Call, waiting: WaitingRequest) -> None:
        """
        Account for a request from its queueing until its wait ends.

        The wait ends with a permit, a refusal or a cancellation.
        """
        now = self._clock()
        section, key = self._board.admission, waiting.key
        was_empty = self._board.queues.get_length(key) <= 1
        section.drain_rates.put(
            key, section.drain_rates.get(key).advance(now, waiting=not was_empty)
        )
        body_bytes = len(call.body)
        section.add_waiting_bytes(key.workspace, body_bytes)
        waiting.permit.add_done_callback(
            functools.partial(self._handle_permit_done, key, body_bytes)
        )

    def record_service_time(self, call: Call, seconds: float) -> None:
        """
        Record how long a call took.

        :param call: the call.
        :param seconds: time from sending the call to the end of its answer.
        """
        key, times = get_queue_key(call), self._board.admission.service_times
        times.put(key, times.get(key).observe(seconds, self._clock()))

    def estimate_retry_seconds(self, call: Call) -> float:
        """Return the estimated time until a call's queue has drained."""
        key = get_queue_key(call)
        rate = self._get_drain_rate(key, self._clock())
        return estimate_retry_after(self._board.queues.get_length(key), rate)

    def _get_drain_rate(self, key: QueueKey, now: float) -> DrainRate:
        waiting = self._board.queues.get_length(key) > 0
        return self._board.admission.drain_rates.get(key).advance(now, waiting=waiting)

    def _handle_permit_done(
        self, key: QueueKey, body_bytes: int, permit: asyncio.Future[Permit]
    ) -> None:
        """Account for the end of a wait, with or without a permit."""
        section, now = self._board.admission, self._clock()
        section.add_waiting_bytes(key.workspace, -body_bytes)
        rate = section.drain_rates.get(key)
        was_granted = not permit.cancelled() and permit.exception() is None
        update = rate.add_grant if was_granted else rate.advance
        section.drain_rates.put(key, update(now, waiting=True))


def get_queue_key(call: Call) -> QueueKey:
    """Return the key of the queue that a call waits in."""
    return QueueKey(call.service.name, call.workspace.name, call.priority)
