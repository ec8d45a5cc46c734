"""The configuration in force, written by the configuration controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.configuration.model import ConfigurationVersion

if TYPE_CHECKING:
    from sycamorehaven.configuration.model import Configuration
    from sycamorehaven.exceptions.validation import ConfigurationError


class ConfigurationSection:
    """The accepted configuration, and the latest one that was refused."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._latest_refusal: tuple[int, ConfigurationError] | None = None
        self._conflicts = 0
        self._missing_reason = "no configuration yet"
        self._changed = Signal()

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; ``None`` before the first one."""
        return self._current

    @property
    def revision(self) -> int:
        """Revision of the configuration in force; 0 before the first one."""
        return self._current.revision if self._current else 0

    @property
    def version(self) -> ConfigurationVersion:
        """Revision and digest of the configuration in force."""
        return self._current.version if self._current else ConfigurationVersion(0, "")

    @property
    def conflicts(self) -> int:
        """How often two different texts had the same revision."""
        return self._conflicts

    @property
    def missing_reason(self) -> str:
        """Why no configuration is in force; "" if one is."""
        return "" if self._current else self._missing_reason

    @property
    def latest_refusal(self) -> tuple[int, ConfigurationError] | None:
        """Revision and faults of the latest refused text, if it is newer."""
        return self._latest_refusal

    @property
    def changed(self) -> Signal:
        """Notified when another configuration comes into force."""
        return self._changed

    def replace(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; return whether it is newer."""
        if configuration.version <= self.version:
            return False
        self._current = configuration
        if self._latest_refusal and self._latest_refusal[0] <= configuration.revision:
            self._latest_refusal = None
        self._changed.notify()
        return True

    def count_conflict(self) -> None:
        """Count two different texts that have the same revision."""
        self._conflicts += 1

    def set_missing_reason(self, reason: str) -> None:
        """Set the reason why no configuration is in force."""
        self._missing_reason = reason

    def record_refusal(self, revision: int, error: ConfigurationError) -> None:
        """Store the faults of a refused text, for operators to read."""
        if revision > self.revision:
            self._latest_refusal = (revision, error)
