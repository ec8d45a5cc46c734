"""What is known of backend servers; written by the server controller."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.blackboard.signal import Signal


class ServerStatus(NamedTuple):
    """
    A backend server as this router sees it.

    :ivar leaving: whether it takes no new work.
    :ivar version: version of that news, milliseconds since the epoch.
    :ivar running: requests that it last reported as running.
    :ivar capacity: slots that it last reported, 0 if unknown.
    :ivar reported_at: monotonic time of that report, 0 for none.
    :ivar down_until: monotonic time until which it is avoided.
    """

    leaving: bool = False
    version: int = 0
    running: int = 0
    capacity: int = 0
    reported_at: float = 0.0
    down_until: float = 0.0


UNKNOWN = ServerStatus()


class ServersSection:
    """Statuses by backend server name."""

    def __init__(self) -> None:
        self._statuses: dict[str, ServerStatus] = {}
        self._changed = Signal()

    @property
    def changed(self) -> Signal:
        """Raised when a status changes."""
        return self._changed

    def get(self, server: str) -> ServerStatus:
        """Return the status of a server, the default if nothing is known."""
        return self._statuses.get(server, UNKNOWN)

    def put(self, server: str, status: ServerStatus) -> None:
        """Replace the status of a server."""
        if self._statuses.get(server) == status:
            return
        self._statuses[server] = status
        self._changed.notify()

    def takes_work(self, server: str, now: float) -> bool:
        """Return whether new work may be sent to a server."""
        status = self.get(server)
        return not status.leaving and status.down_until <= now
