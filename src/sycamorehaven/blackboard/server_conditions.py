"""What servers have said of themselves, by incarnation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.server_conditions import ServerConditions

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

MEMORY_SECONDS = 60.0
"""Time for which the conditions of a server are kept after its entry is gone,
since an older copy of the list may name it again."""


class ServerConditionsSection:
    """The conditions of each server that has said anything of itself."""

    def __init__(self) -> None:
        self._conditions: dict[str, ServerConditions] = {}
        self._missing_since: dict[str, float] = {}

    def find(self, incarnation: str) -> ServerConditions | None:
        """Return the conditions of a server; ``None`` if it said nothing."""
        return self._conditions.get(incarnation)

    def get(self, incarnation: str) -> ServerConditions:
        """Return the conditions of a server; create them if missing."""
        return self._conditions.setdefault(incarnation, ServerConditions())

    def items(self) -> Iterator[tuple[str, ServerConditions]]:
        """Iterate over incarnations and their conditions."""
        return iter(self._conditions.items())

    def retain(self, incarnations: Collection[str], now: float) -> None:
        """
        Remove the conditions of servers that have been gone for a while.

        :param incarnations: the registered servers.
        :param now: current time, in monotonic seconds.
        """
        for name in list(self._conditions):
            if name in incarnations:
                self._missing_since.pop(name, None)
            elif now - self._missing_since.setdefault(name, now) > MEMORY_SECONDS:
                del self._conditions[name], self._missing_since[name]
