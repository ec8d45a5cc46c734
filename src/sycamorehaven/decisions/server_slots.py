"""
Which slots of the backend servers are free.

Beside the permits that are known here, a server's reported load shows what
others have admitted: permits of a scheduler that is gone, or of a second one
whose view differs.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from sycamorehaven.decisions.foreign_load import MAX_REPORT_LAG_SECONDS, ForeignLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

LOAD_REPORT_TTL_SECONDS = 5.0
"""Seconds after which a reported load is no longer believed."""
WARMUP_SECONDS = 2.5
"""Longest time, in seconds, for which a server new here gets no grants."""


class ServerSlots:
    """
    Slots of one server.

    :param scheduled_since: when it was first scheduled here, monotonic
        seconds.
    """

    def __init__(self, scheduled_since: float) -> None:
        self.limit = 0
        self.busy = 0
        self.foreign = ForeignLoad()
        self.warmup_until = scheduled_since + WARMUP_SECONDS
        self.scheduled_since = scheduled_since
        self._reported_at = scheduled_since
        self._lost_until: list[float] = []

    def count_free(self, now: float) -> int:
        """Return how many requests may be admitted."""
        if now < self.warmup_until:
            return 0
        known = now - self._reported_at <= LOAD_REPORT_TTL_SECONDS
        foreign = self.foreign.slots if known else 0
        return self.limit - self.busy - foreign - len(self._lost_until)

    def record_busy(self, now: float) -> None:
        """Note how many permits are out."""
        self.foreign.record_busy(self.busy, now)

    def record_lost(self, now: float) -> None:
        """Note that a permit is out no longer whose request may still run."""
        self.busy -= 1
        self._lost_until.append(now + MAX_REPORT_LAG_SECONDS)

    def expire_lost(self, now: float) -> None:
        """Believe no longer that lost permits run; the load shows others'."""
        self._lost_until = [expiry for expiry in self._lost_until if expiry > now]

    def apply_load_report(self, running: int, reported_at: float, now: float) -> None:
        """Take a load report; what it shows beyond own permits is foreign."""
        if reported_at < self.scheduled_since or reported_at <= self._reported_at:
            return
        self._reported_at = reported_at
        self.record_busy(now)
        del self._lost_until[max(running - self.busy, 0) :]
        self.foreign.apply_report(running, self.limit, now)
        self.warmup_until = min(self.warmup_until, now)


class SlotPool:
    """Slots by backend server, the freest first."""

    def __init__(self) -> None:
        self._servers: dict[str, ServerSlots] = {}
        self._removed: dict[str, ServerSlots] = {}
        self._heap: list[tuple[int, str]] = []

    @property
    def limits(self) -> dict[str, int]:
        """Slots by server that is scheduled here."""
        return {name: slots.limit for name, slots in self._servers.items()}

    def set_servers(self, limits: Mapping[str, int], now: float) -> None:
        """Take over the servers that are scheduled here and their slots."""
        for name in [name for name in self._servers if name not in limits]:
            self._removed[name] = self._servers.pop(name)
        for name, limit in limits.items():
            slots = self._servers.get(name)
            if slots is None:
                slots = ServerSlots(now)
                slots.busy = self._removed.pop(name, slots).busy
                self._servers[name] = slots
            slots.limit = limit
            self.requeue(name, now)

    def restart_warmup(self, now: float) -> None:
        """Admit nothing until each server's load is known afresh."""
        for slots in self._servers.values():
            slots.scheduled_since = now
            slots.foreign.reset()
            slots.warmup_until = now + WARMUP_SECONDS

    def acquire(self, server: str, now: float, *, adopted: bool = False) -> None:
        """Count a permit in; an adopted one was foreign load until now."""
        slots = self._find(server)
        slots.busy += 1
        slots.record_busy(now)
        if adopted:
            slots.foreign.record_adoption()
        self.requeue(server, now)

    def release(self, server: str, now: float, *, lost: bool = False) -> None:
        """
        Count a permit out.

        :param lost: whether its request may still run; the slot is free when
            the server's load says so.
        """
        slots = self._find(server)
        slots.record_busy(now)
        if lost:
            slots.record_lost(now)
        else:
            slots.busy -= 1
        self.requeue(server, now)
        if server in self._removed and slots.busy <= 0:
            del self._removed[server]

    def apply_load_report(
        self, server: str, running: int, reported_at: float, now: float
    ) -> None:
        """Take a server's reported load."""
        slots = self._servers.get(server)
        if slots is not None:
            slots.apply_load_report(running, reported_at, now)
            self.requeue(server, now)

    def requeue(self, server: str, now: float) -> None:
        """Consider a server for grants, now that its slots have changed."""
        slots = self._servers.get(server)
        if slots is not None and (free := slots.count_free(now)) > 0:
            heapq.heappush(self._heap, (-free, server))

    def rebuild(self, now: float) -> None:
        """Consider every server, and drop outdated entries."""
        for slots in self._servers.values():
            slots.expire_lost(now)
        self._heap.clear()
        for name in self._servers:
            self.requeue(name, now)

    def find_freest(self, now: float) -> str | None:
        """Return the server with the most free slots, or ``None``."""
        while self._heap:
            value, server = self._heap[0]
            slots = self._servers.get(server)
            if slots is not None and -value == slots.count_free(now):
                return server
            heapq.heappop(self._heap)
        return None

    def count_free(self, now: float) -> int:
        """Return the free slots of all servers."""
        return sum(max(slots.count_free(now), 0) for slots in self._servers.values())

    def _find(self, server: str) -> ServerSlots:
        slots = self._servers.get(server)
        if slots is not None:
            return slots
        return self._removed.setdefault(server, ServerSlots(0.0))
