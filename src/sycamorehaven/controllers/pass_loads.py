"""The estimated load of services during one dispatcher pass."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sycamorehaven.controllers.candidates import CandidateFinder
    from sycamorehaven.controllers.service_load import ServiceLoad
    from sycamorehaven.routing.model import ServerRecord


class LoadKey(NamedTuple):
    """
    What one observation of a service covers.

    :ivar service: name of the service.
    :ivar software_version: version of the servers; ``None`` for any.
    :ivar limit_factor: factor applied to the concurrency limits of engines.
    """

    service: str
    software_version: str | None = None
    limit_factor: float = 1.0


class PassLoads:
    """
    The loads of the services that a pass has looked at.

    :param finder: observes the servers.
    :param now: time of the pass, in monotonic seconds.
    """

    def __init__(self, finder: CandidateFinder, now: float) -> None:
        self._finder = finder
        self._now = now
        self._loads: dict[LoadKey, ServiceLoad] = {}
        self._waiting: Counter[str] = Counter()

    def get(self, key: LoadKey) -> ServiceLoad:
        """Return the load of a service."""
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = self._finder.observe_service(
                key.service, self._now, key.software_version, key.limit_factor
            )
        return load

    def count_waiting(self, service: str) -> int:
        """
        Return how many requests wait for closed servers before this one.

        Each call counts one request more.
        """
        count = self._waiting[service]
        self._waiting[service] += 1
        return count

    def update(self, server: ServerRecord) -> None:
        """Update the state of a server that a request was assigned to."""
        versions = (None, server.software_version)
        opening = self._finder.find_opening(server, self._now)
        for key, load in self._loads.items():
            if key.service == server.service and key.software_version in versions:
                load.update(server.id, opening)
