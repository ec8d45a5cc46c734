"""
Directory of the backend servers that are registered with the platform.

While the platform's store is unavailable, registrations of running servers
expire. These servers are registered again within two seconds after the store
has recovered. Until then the directory keeps each server that it knew before.

A store that was restored from an older copy of itself has lost what was
written since. Until the servers have written it again, what the directory knew
goes before what the copy says of the same servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.routing.model import ServerRecord

if TYPE_CHECKING:
    from sycamorehaven.routing.model import Snapshot

STORE_OUTAGE_SECONDS = 1.5
"""Seconds without a snapshot after which the store counts as unavailable."""
RECOVERY_GRACE_SECONDS = 2.3
"""Seconds after the recovery for which unregistered servers are kept."""
DEPARTURE_MEMORY_SECONDS = 60.0
"""Seconds for which servers that left are remembered, in case that an older
copy of the store lists them again."""


class DirectoryChange(NamedTuple):
    """
    Difference between two consecutive states of the directory.

    :ivar joined: servers that are new or have restarted.
    :ivar left: servers that are no longer registered.
    :ivar draining: servers that have begun to drain and take no new requests.
    """

    joined: tuple[ServerRecord, ...]
    left: tuple[ServerRecord, ...]
    draining: tuple[ServerRecord, ...]


class ServerDirectory:
    """Registered servers by id, updated from successive snapshots."""

    def __init__(self) -> None:
        self._servers: dict[str, ServerRecord] = {}
        self._departures: dict[str, float] = {}
        self._era = 0
        self._last_read_at: float | None = None
        self._keep_expired_until = 0.0
        self._distrust_copy_until = 0.0

    @property
    def servers(self) -> dict[str, ServerRecord]:
        """Servers by id."""
        return self._servers

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> DirectoryChange:
        """
        Update the servers from a snapshot and return what has changed.

        :param snapshot: a snapshot that is not older than the previous one.
        :param now: time of the snapshot, monotonic seconds.
        """
        if (
            self._last_read_at is not None
            and now - self._last_read_at > STORE_OUTAGE_SECONDS
        ):
            self._keep_expired_until = now + RECOVERY_GRACE_SECONDS
        if self._last_read_at is not None and snapshot.era > self._era:
            self._keep_expired_until = now + RECOVERY_GRACE_SECONDS
            self._distrust_copy_until = now + RECOVERY_GRACE_SECONDS
        self._last_read_at, self._era = now, snapshot.era
        current = {server.id: server for server in snapshot.servers}
        if now < self._distrust_copy_until:
            current = self._correct_copy(current)
        if now < self._keep_expired_until:
            addresses = {server.address for server in current.values()}
            for server in self._servers.values():
                if server.id not in current and server.address not in addresses:
                    current[server.id] = server
        previous, self._servers = self._servers, current
        change = compare_servers(previous, current)
        self._remember_departures(change.left, now)
        return change

    def _correct_copy(self, copied: dict[str, ServerRecord]) -> dict[str, ServerRecord]:
        """
        Replace what a restored copy says by what has become known since.

        Servers that have left stay away, restarted ones are not taken for
        their former processes, and draining ones go on draining.
        """
        corrected = {}
        for server in copied.values():
            known = self._servers.get(server.id)
            if known is None and server.incarnation_id in self._departures:
                continue
            if known is not None and (
                known.started_at_ms > server.started_at_ms
                or (known.incarnation_id == server.incarnation_id and known.draining)
            ):
                corrected[server.id] = known
                continue
            corrected[server.id] = server
        return corrected

    def _remember_departures(
        self, departed: tuple[ServerRecord, ...], now: float
    ) -> None:
        self._departures = {
            incarnation: left_at
            for incarnation, left_at in self._departures.items()
            if now - left_at < DEPARTURE_MEMORY_SECONDS
        }
        self._departures.update({server.incarnation_id: now for server in departed})


def compare_servers(
    previous: dict[str, ServerRecord], current: dict[str, ServerRecord]
) -> DirectoryChange:
    """Return the difference between two states of the directory."""
    joined, draining = [], []
    for server in current.values():
        known = previous.get(server.id)
        if known is None or known.started_at_ms != server.started_at_ms:
            joined.append(server)
        elif server.draining and not known.draining:
            draining.append(server)
    left = [server for server in previous.values() if server.id not in current]
    return DirectoryChange(tuple(joined), tuple(left), tuple(draining))
