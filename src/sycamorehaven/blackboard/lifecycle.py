"""
The lifecycle of this process.

Written by the graceful shutdown, the listeners, and the controllers that run
or relay calls with idempotency tokens. A listener calls ``begin_request``
before the first step of a request and ``end_request`` after the last byte of
the response, and such a controller does so around a call, so that a graceful
shutdown knows how many requests are in progress.
"""

from __future__ import annotations

import math

from sycamorehaven.blackboard.signal import Signal


class LifecycleSection:
    """Whether the router is draining, and its requests in progress."""

    def __init__(self) -> None:
        self._is_listening = False
        self._is_draining = False
        self._ends_at = math.inf
        self._requests_in_progress = 0
        self._offloaded_requests = 0
        self._changed = Signal()

    @property
    def is_listening(self) -> bool:
        """Whether the router accepts connections of callers."""
        return self._is_listening

    @property
    def is_draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._is_draining

    @property
    def ends_at(self) -> float:
        """When the process ends at the latest, in monotonic seconds."""
        return self._ends_at

    @property
    def requests_in_progress(self) -> int:
        """Number of received requests that are not completely answered yet."""
        return self._requests_in_progress

    @property
    def offloaded_requests(self) -> int:
        """Number of those that another router answers."""
        return self._offloaded_requests

    @property
    def own_requests(self) -> int:
        """Number of those that this router answers."""
        return self._requests_in_progress - self._offloaded_requests

    @property
    def changed(self) -> Signal:
        """Notified when draining begins and when a request ends."""
        return self._changed

    def mark_listening(self) -> None:
        """Record that the router accepts connections of callers."""
        self._is_listening = True

    def begin_draining(self, ends_at: float = math.inf) -> None:
        """
        Record that a graceful shutdown has begun; idempotent.

        :param ends_at: when the process ends at the latest, monotonic seconds.
        """
        if self._is_draining:
            return
        self._is_draining = True
        self._ends_at = ends_at
        self._changed.notify()

    def begin_request(self) -> None:
        """Record that a request is in progress."""
        self._requests_in_progress += 1

    def begin_offload(self) -> None:
        """Record that another router answers a request."""
        self._offloaded_requests += 1
        self.begin_request()

    def end_offload(self) -> None:
        """Record that a request that another router answers has ended."""
        self._offloaded_requests -= 1
        self.end_request()

    def end_request(self) -> None:
        """Record that a request has ended."""
        self._requests_in_progress -= 1
        self._changed.notify()
