"""Queued requests that receive their permit without an event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from benchmarks.fleet_plan import SERVICE
from sycamorehaven.blackboard.queues import QueueKey, WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.workload import Request
    from sycamorehaven.blackboard.permits import Permit


class SynchronousPermitFuture:
    """
    Stands in for the future that resolves to a request's permit.

    It needs no event loop: it calls back as soon as its result is set.
    """

    def __init__(self, on_permit: Callable[[Permit], None]) -> None:
        self._on_permit = on_permit
        self._done = False

    def done(self) -> bool:
        """Return whether the permit has been set."""
        return self._done

    def set_result(self, permit: Permit) -> None:
        """Set the permit and call back with it."""
        self._done = True
        self._on_permit(permit)


class QueuedRequest(WaitingRequest):
    """A request in a router's queue."""

    def __init__(self, request: Request, on_permit: Callable[[Permit], None]) -> None:
        self._key = QueueKey(SERVICE, request.workspace, "interactive")
        self._arrived_at = request.arrived_at
        self._cost = request.cost_hint
        self.request = request
        self._future: Any = SynchronousPermitFuture(on_permit)

    @property
    def permit(self) -> Any:
        """The stand-in for the future that resolves to the permit."""
        return self._future
