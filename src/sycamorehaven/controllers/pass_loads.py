"""The estimated load of services during one dispatcher pass."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorehaven.controllers.candidates import CandidateFinder
    from sycamorehaven.controllers.service_load import ServiceLoad
    from sycamorehaven.routing.model import ServerRecord


class PassLoads:
    """
    The loads of the services that a pass has looked at.

    :param finder: observes the servers.
    :param now: time of the pass, in monotonic seconds.
    """

    def __init__(self, finder: CandidateFinder, now: float) -> None:
        self._finder = finder
        self._now = now
        self._loads: dict[tuple[str, str | None], ServiceLoad] = {}

    def get(self, service: str, software_version: str | None = None) -> ServiceLoad:
        """
        Return the load of a service.

        :param software_version: leave out servers of other versions.
        """
        key = service, software_version
        if key not in self._loads:
            self._loads[key] = self._finder.observe_service(
                service, self._now, software_version
            )
        return self._loads[key]

    def update(self, server: ServerRecord) -> None:
        """Update the state of a server that a request was assigned to."""
        for version in (None, server.software_version):
            if load := self._loads.get((server.service, version)):
                load.update(server.id)
