"""The base of every error that the project raises on purpose."""

from __future__ import annotations

from typing import ClassVar


class SycamorehavenError(Exception):
    """
    An error with a stable code and a remedy.

    :cvar code: stable identifier, safe to match on.
    :cvar remedy: what the reader of the message can do about it.
    """

    code: ClassVar[str] = "internal_error"
    remedy: ClassVar[str] = "report the log line with its request id"

    def __init__(self, detail: str, *, remedy: str | None = None) -> None:
        super().__init__(detail)
        self._detail = detail
        self._remedy = remedy or self.remedy

    @property
    def detail(self) -> str:
        """What went wrong, without the remedy."""
        return self._detail

    @property
    def effective_remedy(self) -> str:
        """The remedy for this occurrence."""
        return self._remedy

    def __str__(self) -> str:
        return f"{self._detail} [{self.code}]; remedy: {self._remedy}"
