"""
Drain rates and memory use of the queues at this edge.

Written by the queue limits in the controllers package.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Generic, TypeVar

from sycamorehaven.decisions.admission import DrainRate, ServiceTime

if TYPE_CHECKING:
    from sycamorehaven.blackboard.queues import QueueKey

MAX_QUEUES = 4_096
"""Entries of a map; beyond that the least recently written one is evicted."""

T = TypeVar("T")


class LruQueueMap(Generic[T]):
    """
    A map of bounded size from a queue to a value measured for it.

    :param default: value that is returned for a queue without an entry.
    """

    def __init__(self, default: T) -> None:
        self._default = default
        self._values: OrderedDict[QueueKey, T] = OrderedDict()

    def __len__(self) -> int:
        return len(self._values)

    def get(self, key: QueueKey) -> T:
        """Return the value of a queue, or the default."""
        return self._values.get(key, self._default)

    def put(self, key: QueueKey, value: T) -> None:
        """Replace the value of a queue."""
        self._values[key] = value
        self._values.move_to_end(key)
        if len(self._values) > MAX_QUEUES:
            self._values.popitem(last=False)


class AdmissionSection:
    """Drain rates, service times and the size of waiting request bodies."""

    def __init__(self) -> None:
        self._drain_rates = LruQueueMap(DrainRate())
        self._service_times = LruQueueMap(ServiceTime())
        self._waiting_bytes: Counter[str] = Counter()
        self._total_waiting_bytes = 0

    @property
    def drain_rates(self) -> LruQueueMap[DrainRate]:
        """Rate of the permits granted to each queue while requests waited."""
        return self._drain_rates

    @property
    def service_times(self) -> LruQueueMap[ServiceTime]:
        """Seconds that requests of each queue take once they have a permit."""
        return self._service_times

    @property
    def total_waiting_bytes(self) -> int:
        """Size of the bodies of all waiting requests, in bytes."""
        return self._total_waiting_bytes

    def get_waiting_bytes(self, workspace: str) -> int:
        """Return the size of a workspace's waiting bodies, in bytes."""
        return self._waiting_bytes[workspace]

    def add_waiting_bytes(self, workspace: str, delta: int) -> None:
        """Add bytes of a body that waits; a negative number removes them."""
        self._waiting_bytes[workspace] += delta
        self._total_waiting_bytes += delta
        if not self._waiting_bytes[workspace]:
            del self._waiting_bytes[workspace]
