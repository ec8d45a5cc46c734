"""
Which slots of the backend servers are free.

Beside the permits that are known here, a server's reported load shows what
others have admitted: permits of a scheduler that is gone, or of a second one
whose view differs.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from sycamorehaven.decisions.foreign_load import REPORT_LAG, ForeignLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

LOAD_LIFETIME = 5.0
"""Seconds after which a reported load is no longer believed."""
LEARNING = 2.5
"""Longest time, in seconds, for which a server new here gets no grants."""


class ServerSlots:
    """
    Slots of one server.

    :param since: when it was first scheduled here, monotonic seconds.
    """

    def __init__(self, since: float) -> None:
        self.limit = 0
        self.busy = 0
        self.foreign = ForeignLoad()
        self.learning_until = since + LEARNING
        self.since = since
        self._reported_at = since
        self._lost: list[float] = []

    def free(self, now: float) -> int:
        """Return how many requests may be admitted."""
        if now < self.learning_until:
            return 0
        known = now - self._reported_at <= LOAD_LIFETIME
        foreign = self.foreign.slots if known else 0
        return self.limit - self.busy - foreign - len(self._lost)

    def note_busy(self, now: float) -> None:
        """Note how many permits are out."""
        self.foreign.note_busy(self.busy, now)

    def note_lost(self, now: float) -> None:
        """Note that a permit is out no longer whose request may still run."""
        self.busy -= 1
        self._lost.append(now + REPORT_LAG)

    def expire(self, now: float) -> None:
        """Believe no longer that lost permits run; the load shows others'."""
        self._lost = [expiry for expiry in self._lost if expiry > now]

    def learn_load(self, running: int, reported_at: float, now: float) -> None:
        """Take a load report; what it shows beyond own permits is foreign."""
        if reported_at < self.since or reported_at <= self._reported_at:
            return
        self._reported_at = reported_at
        self.note_busy(now)
        del self._lost[max(running - self.busy, 0) :]
        self.foreign.take_report(running, self.limit, now)
        self.learning_until = min(self.learning_until, now)


class Occupancy:
    """Slots by backend server, the freest first."""

    def __init__(self) -> None:
        self._servers: dict[str, ServerSlots] = {}
        self._gone: dict[str, ServerSlots] = {}
        self._heap: list[tuple[int, str]] = []

    @property
    def limits(self) -> dict[str, int]:
        """Slots by server that is scheduled here."""
        return {name: slots.limit for name, slots in self._servers.items()}

    def replace(self, limits: Mapping[str, int], now: float) -> None:
        """Take over the servers that are scheduled here and their slots."""
        for name in [name for name in self._servers if name not in limits]:
            self._gone[name] = self._servers.pop(name)
        for name, limit in limits.items():
            slots = self._servers.get(name)
            if slots is None:
                slots = ServerSlots(now)
                slots.busy = self._gone.pop(name, slots).busy
                self._servers[name] = slots
            slots.limit = limit
            self.offer(name, now)

    def relearn(self, now: float) -> None:
        """Admit nothing until each server's load is known afresh."""
        for slots in self._servers.values():
            slots.since = now
            slots.foreign.forget()
            slots.learning_until = now + LEARNING

    def occupy(self, server: str, now: float, *, adopted: bool = False) -> None:
        """Count a permit in; an adopted one was foreign load until now."""
        slots = self._find(server)
        slots.busy += 1
        slots.note_busy(now)
        if adopted:
            slots.foreign.adopt()
        self.offer(server, now)

    def vacate(self, server: str, now: float, *, lost: bool = False) -> None:
        """
        Count a permit out.

        :param lost: whether its request may still run; the slot is free when
            the server's load says so.
        """
        slots = self._find(server)
        slots.note_busy(now)
        if lost:
            slots.note_lost(now)
        else:
            slots.busy -= 1
        self.offer(server, now)
        if server in self._gone and slots.busy <= 0:
            del self._gone[server]

    def learn_load(
        self, server: str, running: int, reported_at: float, now: float
    ) -> None:
        """Take a server's reported load."""
        slots = self._servers.get(server)
        if slots is not None:
            slots.learn_load(running, reported_at, now)
            self.offer(server, now)

    def offer(self, server: str, now: float) -> None:
        """Consider a server for grants, now that its slots have changed."""
        slots = self._servers.get(server)
        if slots is not None and (free := slots.free(now)) > 0:
            heapq.heappush(self._heap, (-free, server))

    def offer_all(self, now: float) -> None:
        """Consider every server, and drop outdated entries."""
        for slots in self._servers.values():
            slots.expire(now)
        self._heap.clear()
        for name in self._servers:
            self.offer(name, now)

    def find_free(self, now: float) -> str | None:
        """Return the server with the most free slots, or ``None``."""
        while self._heap:
            value, server = self._heap[0]
            slots = self._servers.get(server)
            if slots is not None and -value == slots.free(now):
                return server
            heapq.heappop(self._heap)
        return None

    def count_free(self, now: float) -> int:
        """Return the free slots of all servers."""
        return sum(max(slots.free(now), 0) for slots in self._servers.values())

    def _find(self, server: str) -> ServerSlots:
        slots = self._servers.get(server)
        if slots is not None:
            return slots
        return self._gone.setdefault(server, ServerSlots(0.0))
