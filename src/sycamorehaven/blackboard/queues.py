"""
Requests that wait at this edge.

Written by the controllers of admission, permits and unserved services.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.call import BATCH, INTERACTIVE

if TYPE_CHECKING:
    from sycamorehaven.blackboard.permits import Permit


class QueueKey(NamedTuple):
    """
    Identifies a queue of this edge.

    :ivar service: name of the service.
    :ivar workspace: workspace that the requests belong to.
    :ivar priority: priority class, ``"interactive"`` or ``"batch"``.
    """

    service: str
    workspace: str
    priority: str


class WaitingRequest:
    """
    A request that waits for a permit.

    :param key: identifies the queue of the request.
    :param arrived_at: when the request arrived, in seconds of the monotonic
        clock. It does not change when the request is queued again.
    :param cost: estimated cost, in the unit of the service.
    """

    def __init__(self, key: QueueKey, arrived_at: float, cost: float) -> None:
        self._key = key
        self._arrived_at = arrived_at
        self._cost = cost
        self._permit: asyncio.Future[Permit] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def key(self) -> QueueKey:
        """Identifies the queue of the request."""
        return self._key

    @property
    def arrived_at(self) -> float:
        """When the request arrived, in seconds of the monotonic clock."""
        return self._arrived_at

    @property
    def cost(self) -> float:
        """Estimated cost, in the unit of the service."""
        return self._cost

    @property
    def permit(self) -> asyncio.Future[Permit]:
        """Future of the permit that the request is bound to."""
        return self._permit

    @property
    def is_granted(self) -> bool:
        """Whether the request has been bound to a permit."""
        done = self._permit.done() and not self._permit.cancelled()
        return done and self._permit.exception() is None


class QueuesSection:
    """First-in, first-out queues by service, workspace and priority class."""

    def __init__(self) -> None:
        self._queues: dict[QueueKey, deque[WaitingRequest]] = {}
        self._changed = Signal()

    @property
    def changed(self) -> Signal:
        """Notified when a request is added to or removed from a queue."""
        return self._changed

    def get_length(self, key: QueueKey) -> int:
        """Return the number of requests in a queue."""
        return len(self._queues.get(key, ()))

    def count_waiting(self, service: str, workspace: str) -> int:
        """Return how many requests of a workspace wait for a service."""
        return sum(
            self.get_length(QueueKey(service, workspace, priority))
            for priority in (INTERACTIVE, BATCH)
        )

    def list(self) -> list[tuple[QueueKey, deque[WaitingRequest]]]:
        """Return all queues that are not empty."""
        return list(self._queues.items())

    def push(self, request: WaitingRequest, *, is_retry: bool = False) -> None:
        """
        Add a request at the end of its queue.

        :param request: the request.
        :param is_retry: whether to insert it before all requests that arrived
            later, as a retried request keeps its place.
        """
        queue = self._queues.setdefault(request.key, deque())
        if is_retry:
            older = itertools.takewhile(
                lambda queued: queued.arrived_at <= request.arrived_at, queue
            )
            queue.insert(sum(1 for _ in older), request)
        else:
            queue.append(request)
        self._changed.notify()

    def pop(self, key: QueueKey) -> WaitingRequest | None:
        """Remove and return the first request of a queue, or ``None``."""
        queue = self._queues.get(key)
        if not queue:
            return None
        request = queue.popleft()
        if not queue:
            del self._queues[key]
        self._changed.notify()
        return request

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request whose caller has left or whose deadline passed."""
        queue = self._queues.get(request.key)
        if queue is None or request not in queue:
            return
        queue.remove(request)
        if not queue:
            del self._queues[request.key]
        self._changed.notify()
