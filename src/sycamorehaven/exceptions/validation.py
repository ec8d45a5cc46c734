"""Errors in what operators write: settings and the configuration text."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.exceptions.base import SycamorehavenError


class ValidationFault(NamedTuple):
    """
    One fault in an operators' text.

    :ivar path: dotted path of the key, as in ``services.assistant.kind``.
    :ivar code: stable identifier of the kind of fault.
    :ivar detail: what is wrong.
    :ivar remedy: what to write instead.
    """

    path: str
    code: str
    detail: str
    remedy: str

    def format(self) -> str:
        """Return the fault as one line of text."""
        return f"{self.path}: {self.detail} [{self.code}]; remedy: {self.remedy}"


class TextError(SycamorehavenError):
    """
    A text with one or more faults.

    :param faults: every fault found, in the order of the text's checks.
    """

    code = "invalid_text"
    remedy = "correct each key that is named"

    def __init__(self, faults: list[ValidationFault]) -> None:
        super().__init__("; ".join(fault.format() for fault in faults))
        self._faults = faults

    @property
    def faults(self) -> list[ValidationFault]:
        """Every fault found."""
        return self._faults


class SettingsError(TextError):
    """A process's settings are wrong."""

    code = "invalid_settings"


class ConfigurationError(TextError):
    """The operators' configuration text is wrong; it never takes force."""

    code = "invalid_configuration"
