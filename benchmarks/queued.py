"""Requests in routers' queues, bound without an event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from benchmarks.plan import SERVICE
from sycamorehaven.blackboard.queues import QueueKey, WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from benchmarks.workload import Request
    from sycamorehaven.blackboard.permits import Permit


class Outcome:
    """What a waiting request is bound through, without an event loop."""

    def __init__(self, bind: Callable[[Permit], None]) -> None:
        self._bind = bind
        self._done = False

    def done(self) -> bool:
        """Return whether the request is bound."""
        return self._done

    def set_result(self, permit: Permit) -> None:
        """Bind the request."""
        self._done = True
        self._bind(permit)


class QueuedRequest(WaitingRequest):
    """A request in a router's queue."""

    def __init__(self, request: Request, bind: Callable[[Permit], None]) -> None:
        self._key = QueueKey(SERVICE, request.workspace, "interactive")
        self._since = request.since
        self._cost = request.hint
        self.request = request
        self._outcome: Any = Outcome(bind)

    @property
    def permit(self) -> Any:
        """What binds it."""
        return self._outcome
