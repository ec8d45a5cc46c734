"""
Reports of backend servers that are leaving.

Written by the server notice controller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.decisions.server_departure import LEAVING, StateRegister

if TYPE_CHECKING:
    from collections.abc import Container

STALE_AFTER_SECONDS = 2.0
"""Seconds without an update after which the registers count as stale."""


class DeparturesSection:
    """
    The last state reported for each server by each source.

    After a pause of the process the registers are stale until its peers have
    been asked again.
    """

    def __init__(self) -> None:
        self._registers: dict[str, dict[str, StateRegister]] = {}
        self._updated_at: float | None = None
        self._is_marked_stale = False
        self._changed = Signal()

    @property
    def changed(self) -> Signal:
        """Notified when a register changes or the registers turn stale."""
        return self._changed

    def find_register(self, server: str, source: str) -> StateRegister | None:
        """Return a source's last report of a server, or ``None``."""
        return self._registers.get(server, {}).get(source)

    def list_registers(self) -> list[tuple[str, str, StateRegister]]:
        """Return every register with its server and source."""
        return [
            (server, source, register)
            for server, registers in self._registers.items()
            for source, register in registers.items()
        ]

    def put_register(self, server: str, source: str, register: StateRegister) -> None:
        """Replace the register of a server and source."""
        self._registers.setdefault(server, {})[source] = register
        self._changed.notify()

    def retain_servers(self, servers: Container[str]) -> None:
        """Remove the registers of all servers that are not in ``servers``."""
        for server in [name for name in self._registers if name not in servers]:
            del self._registers[server]

    def is_leaving(self, server: str) -> bool:
        """Return whether any source reports that a server is leaving."""
        registers = self._registers.get(server)
        if registers is None:
            return False
        return any(register.state == LEAVING for register in registers.values())

    def get_latest_version(self, server: str) -> int:
        """Return the latest version of a server's registers, or 0."""
        registers = self._registers.get(server, {})
        return max((register.version for register in registers.values()), default=0)

    def mark_updated(self, now: float) -> None:
        """Record that the registers are up to date at a monotonic time."""
        was_marked_stale, self._is_marked_stale = self._is_marked_stale, False
        self._updated_at = now
        if was_marked_stale:
            self._changed.notify()

    def mark_stale(self) -> None:
        """Mark the registers as stale until the next update."""
        self._is_marked_stale = True
        self._changed.notify()

    def is_stale(self, now: float) -> bool:
        """Return whether reports may have been missed, as after a pause."""
        if self._updated_at is None or self._is_marked_stale:
            return self._is_marked_stale
        return now - self._updated_at > STALE_AFTER_SECONDS
