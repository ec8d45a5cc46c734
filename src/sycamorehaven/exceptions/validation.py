"""Faults in operators' texts: settings, configuration and load plans."""

from __future__ import annotations

from typing import NamedTuple

from sycamorehaven.exceptions.base import SycamorehavenError


class ValidationFault(NamedTuple):
    """
    One fault in a text written by an operator.

    :ivar path: dotted path of the faulty key, as in
        ``services.assistant.kind``.
    :ivar code: stable identifier of the kind of fault.
    :ivar detail: what is wrong with the key or its value.
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
    A text has one or more faults.

    :param faults: every fault found, in the order of the checks.
    """

    code = "invalid_text"
    remedy = "correct each key that is named"

    def __init__(self, faults: list[ValidationFault]) -> None:
        super().__init__("; ".join(fault.format() for fault in faults))
        self._faults = faults

    @property
    def faults(self) -> list[ValidationFault]:
        """Every fault found, in the order of the checks."""
        return self._faults


class SettingsError(TextError):
    """The settings of a process are invalid."""

    code = "invalid_settings"


class ConfigurationError(TextError):
    """The configuration text is invalid; it never comes into force."""

    code = "invalid_configuration"
