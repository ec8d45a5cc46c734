"""
Which registered backend servers are believed.

While the platform's store is away, servers lapse from it that live on. They
are back within two seconds of its return; until then a server that was known
before stays.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.routing.model import ServerRecord

if TYPE_CHECKING:
    from sycamorehaven.routing.model import Snapshot

STORE_OUTAGE_SECONDS = 1.5
"""Seconds without a read after which the store counts as away."""
RECOVERY_GRACE_SECONDS = 2.3
"""Seconds after its return in which a lapsed server stays."""


class DirectoryChange(NamedTuple):
    """
    What a snapshot changed.

    :ivar joined: servers that are new or have started again.
    :ivar left: servers that are gone.
    :ivar draining: servers that take no new work from now on.
    """

    joined: tuple[ServerRecord, ...]
    left: tuple[ServerRecord, ...]
    draining: tuple[ServerRecord, ...]


class ServerDirectory:
    """Servers by id, from one snapshot to the next."""

    def __init__(self) -> None:
        self._servers: dict[str, ServerRecord] = {}
        self._last_read_at: float | None = None
        self._keep_expired_until = 0.0

    @property
    def servers(self) -> dict[str, ServerRecord]:
        """Servers by id."""
        return self._servers

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> DirectoryChange:
        """Take in a snapshot that is not older than the last one."""
        if (
            self._last_read_at is not None
            and now - self._last_read_at > STORE_OUTAGE_SECONDS
        ):
            self._keep_expired_until = now + RECOVERY_GRACE_SECONDS
        self._last_read_at = now
        current = {server.id: server for server in snapshot.servers}
        if now < self._keep_expired_until:
            addresses = {server.address for server in current.values()}
            for server in self._servers.values():
                if server.id not in current and server.address not in addresses:
                    current[server.id] = server
        before, self._servers = self._servers, current
        return compare_servers(before, current)


def compare_servers(
    before: dict[str, ServerRecord], after: dict[str, ServerRecord]
) -> DirectoryChange:
    """Return what changed between two views."""
    joined, draining = [], []
    for server in after.values():
        known = before.get(server.id)
        if known is None or known.started_at_ms != server.started_at_ms:
            joined.append(server)
        elif server.draining and not known.draining:
            draining.append(server)
    left = [server for server in before.values() if server.id not in after]
    return DirectoryChange(tuple(joined), tuple(left), tuple(draining))
