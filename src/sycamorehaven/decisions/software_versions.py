"""
The software versions of the servers of each service.

Servers of several versions may serve side by side. What two versions write
does not fit together, so a stream goes on only at the version that began it.
"""

from __future__ import annotations

import math
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
        self._complete_since: float | None = None
        self._observed_at = 0.0
        self._is_first_start = False

    def assume_first_start(self) -> None:
        """
        Take it that the fleet starts for the first time.

        Then no stream began before the first observation.
        """
        self._is_first_start = True

    def observe(self, servers: Iterable[ServerRecord], now: float) -> None:
        """Record the versions of all registered servers."""
        if self._complete_since is None:
            self._complete_since = -math.inf if self._is_first_start else now
        elif now - self._observed_at >= MAX_OBSERVATION_AGE_SECONDS:
            # A version may have come and gone since the last observation.
            self._complete_since = now
        self._observed_at = max(now, self._observed_at)
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

    def is_observed_since(self, time: float) -> bool:
        """Return whether the servers have been observed at a time or later."""
        return self._complete_since is not None and self._observed_at >= time

    def is_complete(self, now: float) -> bool:
        """
        Return whether every version that has recently served is known.

        It is if the servers have been observed without a gap for as long as a
        version is remembered, or since the first stream could begin.
        """
        return (
            self._complete_since is not None
            and now - self._complete_since >= VERSION_MEMORY_SECONDS
            and now - self._observed_at < MAX_OBSERVATION_AGE_SECONDS
        )

    def is_settled(self, service: str, now: float) -> bool:
        """Return whether a service has certainly had one version recently."""
        return self.is_complete(now) and len(self.list_recent(service, now)) <= 1
