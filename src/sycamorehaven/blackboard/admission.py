"""How this edge's queues drain; written by the queue limits."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Generic, TypeVar

from sycamorehaven.decisions.admission import DrainRate, ServiceTime

if TYPE_CHECKING:
    from sycamorehaven.blackboard.queues import QueueKey

MOST_QUEUES = 4_096
"""Queues that are remembered; the one unused for longest is dropped."""

T = TypeVar("T")


class QueueMemory(Generic[T]):
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
        if len(self._values) > MOST_QUEUES:
            self._values.popitem(last=False)


class AdmissionSection:
    """Drain rates, service times and the bytes of bodies that wait."""

    def __init__(self) -> None:
        self._drains = QueueMemory(DrainRate())
        self._service_times = QueueMemory(ServiceTime())
        self._bytes: Counter[str] = Counter()
        self._all_bytes = 0

    @property
    def drains(self) -> QueueMemory[DrainRate]:
        """Grants to each queue while something waited in it."""
        return self._drains

    @property
    def service_times(self) -> QueueMemory[ServiceTime]:
        """Seconds that a request of each queue needs once granted."""
        return self._service_times

    @property
    def all_bytes(self) -> int:
        """Bytes of all bodies that wait."""
        return self._all_bytes

    def get_bytes(self, workspace: str) -> int:
        """Return the bytes of a workspace's bodies that wait."""
        return self._bytes[workspace]

    def add_bytes(self, workspace: str, change: int) -> None:
        """Count bytes of a body in, or out if negative."""
        self._bytes[workspace] += change
        self._all_bytes += change
        if not self._bytes[workspace]:
            del self._bytes[workspace]
