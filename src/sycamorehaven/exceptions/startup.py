"""Exceptions that prevent a process from starting."""

from __future__ import annotations

from sycamorehaven.exceptions.base import SycamorehavenError


class StartFailed(SycamorehavenError):
    """A listener could not be opened, or a key file could not be read."""

    code = "start_failed"
    remedy = "free the address or the file, or name another in the settings"
