"""
The software versions of the servers of each service.

Servers of several versions may serve side by side. What two versions write
does not fit together, so a stream goes on only at the version that began it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorehaven.routing.model import ServerRecord

VERSION_MEMORY_SECONDS = 60.0
"""Time for which a version counts after its last server has left; longer than
clients take to come back for a stream."""


MAX_OBSERVATION_AGE_SECONDS = 2.0
"""Age from which an observation is too old to tell that no version was added;
in a large fleet a router waits 1.5 s for the news of those that read."""


class SoftwareVersions:
    """Versions by service, with the time at which each was last seen."""

    def __init__(self) -> None:
        self._last_seen: dict[str, dict[str, float]] = {}
        self._observed_since: float | None = None
        self._observed_at = 0.0

    def observe(self, servers: Iterable[ServerRecord], now: float) -> None:
        """Record the versions of all registered servers."""
        if self._observed_since is None:
            self._observed_since = now
        self._observed_at = now
        for server in servers:
            versions = self._last_seen.setdefault(server.service, {})
            versions[server.software_version] = now

    def list_recent(self, service: str, now: float) -> set[str]:
        """Return the versions that serve or have recently served a service."""
        return {
            version
            for version, seen_at in self._last_seen.get(service, {}).items()
            if now - seen_at < VERSION_MEMORY_SECONDS
        }

    def is_current(self, now: float) -> bool:
        """Return whether the servers have been observed just now."""
        return now - self._observed_at < MAX_OBSERVATION_AGE_SECONDS

    def is_observed_since(self, time: float) -> bool:
        """Return whether the servers have been observed at a time or later."""
        return self._observed_since is not None and self._observed_at >= time

    def is_observed_for(self, seconds: float, now: float) -> bool:
        """Return whether the servers have been observed for some time."""
        return (
            self._observed_since is not None
            and now - self._observed_since >= seconds
            and self.is_current(now)
        )

    def is_settled(self, service: str, now: float) -> bool:
        """
        Return whether a service has certainly had a single version recently.

        This takes longer observation than a version is remembered for.
        """
        return (
            self.is_observed_for(VERSION_MEMORY_SECONDS, now)
            and len(self.list_recent(service, now)) <= 1
        )
