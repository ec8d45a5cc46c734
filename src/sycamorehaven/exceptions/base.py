"""The base class of the project's exceptions."""

from __future__ import annotations

from typing import ClassVar


class SycamorehavenError(Exception):
    """
    An error with a stable code and a remedy.

    :cvar code: stable identifier on which programs may match.
    :cvar remedy: what the reader of the message can do about the error.
    :param detail: what went wrong, without the remedy.
    :param remedy: remedy of this occurrence, ``None`` for the class's remedy.
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
        """The remedy of this occurrence."""
        return self._remedy

    def __str__(self) -> str:
        return f"{self._detail} [{self.code}]; remedy: {self._remedy}"
