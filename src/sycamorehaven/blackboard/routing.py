"""Published routes and servers, written by the snapshot controller."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.evacuation.evacuations import Evacuations
from sycamorehaven.decisions.evacuation.openings import find_evacuated_opening
from sycamorehaven.decisions.evacuation.snapshot_recovery import SnapshotRecovery
from sycamorehaven.decisions.server_directory import DirectoryChange, ServerDirectory
from sycamorehaven.decisions.software_versions import SoftwareVersions
from sycamorehaven.gateway_settings import DEFAULT_EVACUATION_SECONDS
from sycamorehaven.routing.table import RouteTable

if TYPE_CHECKING:
    from sycamorehaven.decisions.server_openings import Opening
    from sycamorehaven.gateway_settings import GatewaySettings
    from sycamorehaven.routing.model import (
        RoutingConfiguration,
        ServerRecord,
        Snapshot,
    )

MIN_PAUSE_SECONDS = 1.0
"""Shortest time without a look at the snapshot's age that counts as a pause of
the process. A busy event loop can delay a look, which is due every 0.2 s."""


class RoutingSection:
    """
    The newest snapshot, read from the platform's store or by a peer.

    :param copy_seconds: time for which prompts may be copied from the engines
        of a failure domain after the last snapshot without its evacuation.
    :param max_pause: longest pause of the process after which requests may be
        sent before a snapshot was read.
    """

    def __init__(
        self,
        copy_seconds: float = DEFAULT_EVACUATION_SECONDS,
        max_pause: float = math.inf,
    ) -> None:
        self._copy_seconds = copy_seconds
        self._snapshot: Snapshot | None = None
        self._configuration: RoutingConfiguration | None = None
        self._route_table = RouteTable(())
        self._directory = ServerDirectory()
        self._evacuations = Evacuations()
        self._recovery = SnapshotRecovery(max_pause)
        self._software_versions = SoftwareVersions()
        self._read_at = 0.0
        self._changed = Signal()

    @classmethod
    def from_settings(cls, settings: GatewaySettings) -> RoutingSection:
        """Return the section of a router that has read nothing."""
        timeout = settings.evacuation_timeout
        # A router that runs learns of an evacuation within half of the time,
        # so a pause of the other half does no harm.
        max_pause = max(timeout / 2, MIN_PAUSE_SECONDS)
        return cls(timeout, max_pause if settings.has_evacuations else math.inf)

    @property
    def snapshot(self) -> Snapshot | None:
        """The newest snapshot; ``None`` before the first one."""
        return self._snapshot

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The configuration in force; ``None`` before the first one."""
        return self._configuration

    @property
    def route_table(self) -> RouteTable:
        """The routes in force."""
        return self._route_table

    @property
    def revision(self) -> int:
        """Revision of the newest snapshot; 0 before the first one."""
        return self.position[1]

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision of the newest snapshot."""
        return self._snapshot.position if self._snapshot else (0, 0)

    @property
    def read_at(self) -> float:
        """When the newest snapshot was last read, in monotonic seconds."""
        return self._read_at

    @property
    def changed(self) -> Signal:
        """Notified when a snapshot has been applied."""
        return self._changed

    @property
    def is_ready(self) -> bool:
        """Whether a configuration and at least one server are known."""
        return self._configuration is not None and bool(self._directory.servers)

    @property
    def software_versions(self) -> SoftwareVersions:
        """The software versions of the servers, also of those that left."""
        return self._software_versions

    @property
    def recovery(self) -> SnapshotRecovery:
        """Whether requests have to wait for a snapshot after a pause."""
        return self._recovery

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """The failure domains to whose servers nothing may be sent."""
        return self._evacuations.domains

    def is_evacuated(self, server: ServerRecord) -> bool:
        """Return whether nothing may be sent to a server."""
        return self._evacuations.get_ordered_after(server.failure_domain) is not None

    def find_evacuated_opening(
        self, server: ServerRecord, now: float
    ) -> Opening | None:
        """Return the opening of an evacuated server, else ``None``."""
        ordered_after = self._evacuations.get_ordered_after(server.failure_domain)
        if ordered_after is None:
            return None
        return find_evacuated_opening(ordered_after, self._copy_seconds, now)

    def allows_copies_from(self, address: str, now: float) -> bool:
        """Return whether a server may be copied from, by its address."""
        if not self._evacuations.domains:
            return True
        openings = (
            self.find_evacuated_opening(server, now)
            for server in self._directory.servers.values()
            if server.address == address
        )
        return all(opening is None or opening.allows_copies for opening in openings)

    def list_servers(self) -> list[ServerRecord]:
        """Return all registered servers."""
        return list(self._directory.servers.values())

    def list_available_servers(self, service: str) -> list[ServerRecord]:
        """Return the servers of a service that accept new work."""
        return [
            server
            for server in self._directory.servers.values()
            if server.service == service and not server.draining
        ]

    def has_plain_servers(self, service: str) -> bool:
        """Return whether a service is published and runs no engines."""
        configuration = self._configuration
        return configuration is not None and configuration.has_plain_servers(service)

    def list_server_ids(self) -> set[str]:
        """Return the ids of all registered servers."""
        return set(self._directory.servers)

    def apply_snapshot(
        self, snapshot: Snapshot, read_at: float
    ) -> DirectoryChange | None:
        """
        Apply a snapshot; return what changed, or ``None`` if it is outdated.

        A configuration is never replaced by an older one, which a restored
        store may hold; a newer one is taken from an outdated snapshot, too.
        Servers that were read later than those of the snapshot are kept.
        Evacuations are merged from outdated snapshots, too.

        :param snapshot: the snapshot.
        :param read_at: when this router or a peer read it from the store, in
            seconds of the monotonic clock.
        """
        is_outdated = (snapshot.position, read_at) < (self.position, self._read_at)
        newest_read_at = max(read_at, self._read_at)
        has_changed = self._merge_operator_items(snapshot, newest_read_at)
        if is_outdated:
            if has_changed:
                self._changed.notify()
            return None
        self._read_at, known = newest_read_at, self._snapshot
        if known is not None and snapshot.servers_position < known.servers_position:
            snapshot = snapshot._replace(
                servers=known.servers,
                servers_revision=known.servers_revision,
                cold_servers=known.cold_servers,
            )
        change = self._directory.apply_snapshot(snapshot, self._read_at)
        self._software_versions.observe(self.list_servers(), self._read_at)
        snapshot = snapshot._replace(configuration=self._configuration)
        self._snapshot = self._evacuations.update_snapshot(snapshot)
        self._changed.notify()
        return change

    def _merge_operator_items(self, snapshot: Snapshot, now: float) -> bool:
        """Merge what operators have written; return whether it has changed."""
        is_merged = self._merge_configuration(snapshot.configuration)
        domains = self._evacuations.domains
        self._evacuations.merge(snapshot, now)
        known = self._snapshot
        if known is not None and known.era == snapshot.era:
            self._snapshot = self._evacuations.update_snapshot(known)
        return is_merged or self._evacuations.domains != domains

    def _merge_configuration(self, newest: RoutingConfiguration | None) -> bool:
        """Put a configuration in force and return ``True`` if it is newer."""
        known = self._configuration
        if newest is None or (known is not None and not newest.replaces(known)):
            return False
        self._configuration = newest
        self._route_table = RouteTable(newest.routes)
        if self._snapshot is not None:
            self._snapshot = self._snapshot._replace(configuration=newest)
        return True
