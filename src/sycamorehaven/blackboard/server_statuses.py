"""Status of the backend servers, written by the health controller."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.blackboard.departures import DeparturesSection
from sycamorehaven.blackboard.signal import Signal


class ServerStatus(NamedTuple):
    """
    The state of a backend server as this router sees it.

    :ivar leaving: whether the server accepts no new work. It is read-only:
        the departures section supplies it.
    :ivar departure_version: version of the notice that says so, in
        milliseconds since the epoch; 0 if the server is not leaving.
    :ivar running_requests: requests in progress by the server's last load
        report.
    :ivar reported_slots: slots by that report; 0 if unknown.
    :ivar reported_at: when that report arrived, in seconds of the monotonic
        clock; 0 if there was none.
    :ivar down_until: until when no work is sent to the server after failures,
        in seconds of the monotonic clock.
    """

    leaving: bool = False
    departure_version: int = 0
    running_requests: int = 0
    reported_slots: int = 0
    reported_at: float = 0.0
    down_until: float = 0.0


UNKNOWN_STATUS = ServerStatus()
"""Status of a server that nothing is known of."""


class ServerStatusesSection:
    """
    The status of each backend server, by name.

    :param departures: section that knows which servers are leaving.
    """

    def __init__(self, departures: DeparturesSection | None = None) -> None:
        self._departures = departures or DeparturesSection()
        self._statuses: dict[str, ServerStatus] = {}
        self._changed = Signal()
        self._departures.changed.subscribe(self._changed.notify)

    @property
    def changed(self) -> Signal:
        """Notified when a status or the departures change."""
        return self._changed

    def get(self, server: str) -> ServerStatus:
        """Return the status of a server, by default ``UNKNOWN_STATUS``."""
        status = self._statuses.get(server, UNKNOWN_STATUS)
        if not self._departures.is_leaving(server):
            return status
        version = self._departures.get_latest_version(server)
        return status._replace(leaving=True, departure_version=version)

    def put(self, server: str, status: ServerStatus) -> None:
        """Replace the status of a server."""
        if self._statuses.get(server) == status:
            return
        self._statuses[server] = status
        self._changed.notify()

    def takes_work(self, server: str, now: float) -> bool:
        """Return whether new work may be sent to a server."""
        status = self.get(server)
        if status.leaving or self._departures.is_stale(now):
            return False
        return status.down_until <= now
