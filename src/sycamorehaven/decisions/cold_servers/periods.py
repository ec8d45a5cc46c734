"""
For how long a server counts as cold.

What tells that a server has started is late, incomplete and says so more than
once. The latest end that any source gives is kept, so a source that lags never
ends a period early.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Set as AbstractSet

    from sycamorehaven.routing.model import ColdServer

ColdSource = Literal["entry", "joined", "gone", "evacuation", "response"]
"""What showed that a server is cold."""

INCARNATION_MEMORY_SECONDS = 60.0
"""Time for which a server that left the directory is remembered. An entry that
lapsed and comes back is not a server that has started."""


class ColdPeriod(NamedTuple):
    """
    The time in which a server counts as cold.

    :ivar since: when it was first known to be cold, in monotonic seconds.
    :ivar until: when it is no longer cold.
    :ivar source: what gave the end.
    """

    since: float
    until: float
    source: ColdSource


def extend_period(
    period: ColdPeriod | None, until: float, source: ColdSource, now: float
) -> ColdPeriod | None:
    """
    Return a server's period after one source has given an end.

    :param period: the period so far, if any.
    :returns: ``None`` if the server is not cold.
    """
    if period is not None and now >= period.until:
        period = None
    if until <= now or (period is not None and until <= period.until):
        return period
    return ColdPeriod(period.since if period else now, until, source)


class EntryReading(NamedTuple):
    """
    What the entry of a server says of it.

    :ivar until: when the server is no longer cold, in monotonic seconds.
    :ivar is_malformed: whether the entry gives no valid time.
    """

    until: float
    is_malformed: bool


class ColdEntries:
    """
    Reads the entries that say that a server is cold, each change once.

    An entry is read again and again while it stays the same, and counts the
    time from when it was written. So only its first reading gives an end.
    """

    def __init__(self) -> None:
        self._read: dict[str, tuple[int, int]] = {}
        self._malformed: set[str] = set()

    def read(
        self, entry: ColdServer, era: int, read_at: float, start_seconds: float
    ) -> EntryReading | None:
        """
        Return what a new or changed entry says.

        A malformed entry counts once for each incarnation of its server. It is
        written anew every second, so the server would never cease to be cold.

        :param era: era of the store, in which revisions only grow.
        :param read_at: when the entry was read, in monotonic seconds.
        :param start_seconds: how long a server is cold after it has started.
        :returns: ``None`` if it says nothing new.
        """
        name, position = entry.incarnation_id, (era, entry.revision)
        if position <= self._read.get(name, (-1, -1)):
            return None
        self._read[name] = position
        if math.isfinite(entry.seconds):
            return EntryReading(read_at + entry.seconds, is_malformed=False)
        if name in self._malformed:
            return None
        self._malformed.add(name)
        return EntryReading(read_at + start_seconds, is_malformed=True)

    def retain(self, incarnations: Collection[str]) -> None:
        """Forget the entries of other servers."""
        self._read = {
            name: position
            for name, position in self._read.items()
            if name in incarnations
        }
        self._malformed.intersection_update(incarnations)


class JoinedServers:
    """Tells which servers join a directory that was already known."""

    def __init__(self) -> None:
        self._present: AbstractSet[str] | None = None
        self._left_at: dict[str, float] = {}

    def observe(self, incarnations: AbstractSet[str], now: float) -> list[str]:
        """
        Return the servers that have started since the first call.

        :param incarnations: the servers that the directory holds now.
        """
        present, self._present = self._present, incarnations
        if present is None or present == incarnations:
            return []
        remembered = {
            name
            for name, left_at in self._left_at.items()
            if now - left_at < INCARNATION_MEMORY_SECONDS
        }
        self._left_at = {name: self._left_at[name] for name in remembered}
        self._left_at.update(dict.fromkeys(present - incarnations, now))
        return sorted(incarnations - present - remembered)

    def clear(self) -> None:
        """Take the next directory for the first one."""
        self._present = None
        self._left_at = {}
