"""Requests in routers' queues, bound without an event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from benchmarks.fleet_plan import SERVICE
from sycamorehaven.blackboard.queues import QueueKey, WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.workload import Request
    from sycamorehaven.blackboard.permits import Permit


class SynchronousPermitFuture:
    """What a waiting request is bound through, without an event loop."""

    def __init__(self, on_permit: Callable[[Permit], None]) -> None:
        self._on_permit = on_permit
        self._done = False

    def done(self) -> bool:
        """Return whether the request is bound."""
        return self._done

    def set_result(self, permit: Permit) -> None:
        """Bind the request."""
        self._done = True
        self._on_permit(permit)


class QueuedRequest(WaitingRequest):
    """A request in a router's queue."""

    def __init__(self, request: Request, on_permit: Callable[[Permit], None]) -> None:
        self._key = QueueKey(SERVICE, request.workspace, "interactive")
        self._since = request.arrived_at
        self._cost = request.cost_hint
        self.request = request
        self._future: Any = SynchronousPermitFuture(on_permit)

    @property
    def permit(self) -> Any:
        """What binds it."""
        return self._future
