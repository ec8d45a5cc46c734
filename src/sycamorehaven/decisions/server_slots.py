"""
Free slots of the backend servers of one service.

Besides the permits that this scheduler knows of, a server's load report shows
requests that other schedulers have admitted: the permits of a scheduler that
has left, or of a second scheduler whose view of the fleet differs.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from sycamorehaven.decisions.foreign_load import MAX_REPORT_LAG_SECONDS, ForeignLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

LOAD_REPORT_TTL_SECONDS = 5.0
"""Time after which a load report is considered outdated."""
WARMUP_SECONDS = 2.5
"""Maximum time for which a newly assigned server gets no grants, unless its
first load report arrives earlier."""


class ServerSlots:
    """
    Slots of one server.

    :ivar limit: slot limit of the server.
    :ivar busy: number of outstanding permits for the server.
    :ivar foreign: load that other schedulers have admitted.
    :ivar warmup_until: end of the warm-up, in monotonic seconds.
    :param scheduled_since: time at which the server was assigned to this
        scheduler, in monotonic seconds.
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
        """Return the number of requests that may be admitted."""
        if now < self.warmup_until:
            return 0
        is_current = now - self._reported_at <= LOAD_REPORT_TTL_SECONDS
        foreign = self.foreign.slots if is_current else 0
        return self.limit - self.busy - foreign - len(self._lost_until)

    def record_busy(self, now: float) -> None:
        """Record the number of outstanding permits for the foreign load."""
        self.foreign.record_busy(self.busy, now)

    def record_lost(self, now: float) -> None:
        """Remove a permit whose request may still be running on the server."""
        self.busy -= 1
        self._lost_until.append(now + MAX_REPORT_LAG_SECONDS)

    def expire_lost(self, now: float) -> None:
        """Drop the lost permits that load reports must account for by now."""
        self._lost_until = [expiry for expiry in self._lost_until if expiry > now]

    def apply_load_report(self, running: int, reported_at: float, now: float) -> None:
        """
        Apply a load report; the load beyond the known permits is foreign.
        """
        if reported_at < self.scheduled_since or reported_at <= self._reported_at:
            return
        self._reported_at = reported_at
        self.record_busy(now)
        del self._lost_until[max(running - self.busy, 0) :]
        self.foreign.apply_load_report(running, self.limit, now)
        self.warmup_until = min(self.warmup_until, now)


class SlotPool:
    """Slots of all servers, ordered by the number of free slots."""

    def __init__(self) -> None:
        self._servers: dict[str, ServerSlots] = {}
        self._removed: dict[str, ServerSlots] = {}
        self._heap: list[tuple[int, str]] = []

    @property
    def limits(self) -> dict[str, int]:
        """Slot limit of each assigned server."""
        return {name: slots.limit for name, slots in self._servers.items()}

    def set_servers(self, limits: Mapping[str, int], now: float) -> None:
        """Replace the assigned servers and their slot limits."""
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
        """
        Restart the warm-up of each server, during which it gets no grants.
        """
        for slots in self._servers.values():
            slots.scheduled_since = now
            slots.foreign.reset()
            slots.warmup_until = now + WARMUP_SECONDS

    def acquire(self, server: str, now: float, *, adopted: bool = False) -> None:
        """
        Take a slot for a permit.

        :param adopted: whether the permit was granted by another scheduler,
            and thus counted as foreign load until now.
        """
        slots = self._find(server)
        slots.busy += 1
        slots.record_busy(now)
        if adopted:
            slots.foreign.record_adoption()
        self.requeue(server, now)

    def release(self, server: str, now: float, *, lost: bool = False) -> None:
        """
        Release the slot of a permit.

        :param lost: whether its request may still be running. In that case,
            the slot remains occupied until a load report shows that it is
            free, or accounts for the request as foreign load.
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
        """Apply a server's load report."""
        slots = self._servers.get(server)
        if slots is not None:
            slots.apply_load_report(running, reported_at, now)
            self.requeue(server, now)

    def requeue(self, server: str, now: float) -> None:
        """Update a server's place in the heap after its slots have changed."""
        slots = self._servers.get(server)
        if slots is not None and (free := slots.count_free(now)) > 0:
            heapq.heappush(self._heap, (-free, server))

    def rebuild(self, now: float) -> None:
        """Rebuild the heap, without lost permits that have expired."""
        for slots in self._servers.values():
            slots.expire_lost(now)
        self._heap.clear()
        for name in self._servers:
            self.requeue(name, now)

    def find_freest(self, now: float) -> str | None:
        """
        Return the server with the most free slots, ``None`` if all are taken.
        """
        while self._heap:
            negative_free, server = self._heap[0]
            slots = self._servers.get(server)
            if slots is not None and -negative_free == slots.count_free(now):
                return server
            heapq.heappop(self._heap)
        return None

    def count_free(self, now: float) -> int:
        """Return the number of free slots of all servers."""
        return sum(max(slots.count_free(now), 0) for slots in self._servers.values())

    def _find(self, server: str) -> ServerSlots:
        slots = self._servers.get(server)
        if slots is not None:
            return slots
        return self._removed.setdefault(server, ServerSlots(0.0))
