"""The configuration in force; written by the configuration controller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.blackboard.signal import Signal
from sycamorehaven.configuration.model import ConfigurationVersion

if TYPE_CHECKING:
    from sycamorehaven.configuration.model import Configuration
    from sycamorehaven.exceptions.validation import ConfigurationError


class ConfigurationSection:
    """The accepted configuration and the last refused one."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._latest_refusal: tuple[int, ConfigurationError] | None = None
        self._conflicts = 0
        self._missing_reason = "no configuration yet"
        self._changed = Signal()

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, ``None`` before the first."""
        return self._current

    @property
    def revision(self) -> int:
        """Its revision, 0 before the first."""
        return self._current.revision if self._current else 0

    @property
    def version(self) -> ConfigurationVersion:
        """Its revision and digest."""
        return self._current.version if self._current else ConfigurationVersion(0, "")

    @property
    def conflicts(self) -> int:
        """Times that one revision was seen to stand for two texts."""
        return self._conflicts

    @property
    def missing_reason(self) -> str:
        """Why there is no configuration in force, "" if there is one."""
        return "" if self._current else self._missing_reason

    @property
    def latest_refusal(self) -> tuple[int, ConfigurationError] | None:
        """Revision and faults of the newest text that was refused."""
        return self._latest_refusal

    @property
    def changed(self) -> Signal:
        """Raised when another configuration takes force."""
        return self._changed

    def replace(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; an older one is ignored."""
        if configuration.version <= self.version:
            return False
        self._current = configuration
        if self._latest_refusal and self._latest_refusal[0] <= configuration.revision:
            self._latest_refusal = None
        self._changed.notify()
        return True

    def count_conflict(self) -> None:
        """Count a revision that stands for two texts."""
        self._conflicts += 1

    def set_missing_reason(self, reason: str) -> None:
        """Note why there is no configuration in force."""
        self._missing_reason = reason

    def record_refusal(self, revision: int, error: ConfigurationError) -> None:
        """Keep the faults of a refused text for operators."""
        if revision > self.revision:
            self._latest_refusal = (revision, error)
