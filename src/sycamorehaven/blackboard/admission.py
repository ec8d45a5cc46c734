"""How this edge's queues drain; written by the queue limits."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Generic, TypeVar

from sycamorehaven.decisions.admission import DrainRate, ServiceTime

if TYPE_CHECKING:
    from sycamorehaven.blackboard.queues import QueueKey

MAX_QUEUES = 4_096
"""Queues that are remembered; the one unused for longest is dropped."""

T = TypeVar("T")


class LruQueueMap(Generic[T]):
    """
    Something learned of each queue, of bounded number.

    :param default: what holds for a queue that is not known.
    """

    def __init__(self, default: T) -> None:
        self._default = default
        self._values: OrderedDict[QueueKey, T] = OrderedDict()

    def __len__(self) -> int:
        return len(self._values)

    def get(self, key: QueueKey) -> T:
        """Return what is known of a queue."""
        return self._values.get(key, self._default)

    def put(self, key: QueueKey, value: T) -> None:
        """Replace what is known of a queue."""
        self._values[key] = value
        self._values.move_to_end(key)
        if len(self._values) > MAX_QUEUES:
            self._values.popitem(last=False)


class AdmissionSection:
    """Drain rates, service times and the bytes of bodies that wait."""

    def __init__(self) -> None:
        self._drain_rates = LruQueueMap(DrainRate())
        self._service_times = LruQueueMap(ServiceTime())
        self._waiting_bytes: Counter[str] = Counter()
        self._total_waiting_bytes = 0

    @property
    def drain_rates(self) -> LruQueueMap[DrainRate]:
        """Grants to each queue while something waited in it."""
        return self._drain_rates

    @property
    def service_times(self) -> LruQueueMap[ServiceTime]:
        """Seconds that a request of each queue needs once granted."""
        return self._service_times

    @property
    def total_waiting_bytes(self) -> int:
        """Bytes of all bodies that wait."""
        return self._total_waiting_bytes

    def get_waiting_bytes(self, workspace: str) -> int:
        """Return the bytes of a workspace's bodies that wait."""
        return self._waiting_bytes[workspace]

    def add_waiting_bytes(self, workspace: str, delta: int) -> None:
        """Count bytes of a body in, or out if negative."""
        self._waiting_bytes[workspace] += delta
        self._total_waiting_bytes += delta
        if not self._waiting_bytes[workspace]:
            del self._waiting_bytes[workspace]
