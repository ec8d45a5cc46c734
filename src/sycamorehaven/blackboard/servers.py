"""What is known of backend servers; written by the server controller."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.blackboard.leaving import LeavingSection
from sycamorehaven.blackboard.signal import Signal


class ServerStatus(NamedTuple):
    """
    A backend server as this router sees it.

    :ivar leaving: whether it takes no new work; read only, it comes from
        the leaving section.
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
    """
    Statuses by backend server name.

    :param leaving: which servers are leaving.
    """

    def __init__(self, leaving: LeavingSection | None = None) -> None:
        self._leaving = leaving or LeavingSection()
        self._statuses: dict[str, ServerStatus] = {}
        self._changed = Signal()
        self._leaving.changed.subscribe(self._changed.notify)

    @property
    def changed(self) -> Signal:
        """Raised when a status changes."""
        return self._changed

    def get(self, server: str) -> ServerStatus:
        """Return the status of a server, the default if nothing is known."""
        status = self._statuses.get(server, UNKNOWN)
        if not self._leaving.is_leaving(server):
            return status
        version = self._leaving.find_version(server)
        return status._replace(leaving=True, version=version)

    def put(self, server: str, status: ServerStatus) -> None:
        """Replace the status of a server."""
        if self._statuses.get(server) == status:
            return
        self._statuses[server] = status
        self._changed.notify()

    def takes_work(self, server: str, now: float) -> bool:
        """Return whether new work may be sent to a server."""
        status = self.get(server)
        if status.leaving or self._leaving.is_old(now):
            return False
        return status.down_until <= now
