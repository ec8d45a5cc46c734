"""
Which plain servers a request may go to while some of them fail.

Load: a server fails half of its requests for seconds while its health checks
pass. A request that may run only once cannot be retried, so the choice of its
server is all that protects it. The servers that fail least get as many
requests as they can run, those that may run only once first. The others get
what is left, and a few requests that can be retried, to see when they work
again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

from sycamorehaven.decisions.plain_servers.results import FailureEstimate

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

TRIAL_RATE = 2.0
"""Requests per second that all routers together send to an avoided server."""
MAX_UTILIZATION_RATIO = 0.9
"""Fraction of the slots of the servers that fail least that is used at most.
Above it the queues at the servers grow long."""

QUEUE_WEIGHT = 0.1
"""Slots that are left unused for each queued request, so that a queue ends."""
HASH_RANGE = 2**64
OVERLOAD_RATIO = 2.0
"""Requests for each slot above which routers wait for a free slot and reject.
Below it the average includes short queues, which routers cause that send to
the same server at once."""


class ServerState(NamedTuple):
    """
    A plain server that takes requests.

    :ivar estimate: what its pooled results say.
    :ivar slots: number of requests that it runs at a time.
    :ivar requests: average number of requests of all routers.
    :ivar busy_slots: average number of slots in use.
    """

    estimate: FailureEstimate
    slots: int
    requests: float
    busy_slots: float


class Preference(NamedTuple):
    """
    Which requests the servers that fail least are preferred for.

    :ivar single_run: fraction of the requests that may run only once.
    :ivar repeatable: fraction of the requests that can be retried.
    """

    single_run: float
    repeatable: float


def find_best_servers(states: Mapping[str, ServerState]) -> set[str]:
    """Return the ids of the servers that fail least, of those with an id."""
    best = min(state.estimate.failure_class for state in states.values())
    return {
        name for name, state in states.items() if state.estimate.failure_class == best
    }


def are_overloaded(states: Iterable[ServerState]) -> bool:
    """Return whether the servers have far more requests than slots."""
    return sum(state.requests - OVERLOAD_RATIO * state.slots for state in states) > 0.0


def compute_preference(
    states: Mapping[str, ServerState], best: Collection[str], single_run_ratio: float
) -> Preference:
    """
    Return which requests the servers that fail least can run.

    :param best: ids of the servers that fail least.
    :param single_run_ratio: fraction of all requests that may run only once.
    """
    slots = sum(_count_usable_slots(states[name]) for name in best)
    busy_slots = sum(state.busy_slots for state in states.values())
    part = min(slots / max(busy_slots, 1e-9), 1.0)
    if part >= 1.0:
        return Preference(1.0, 1.0)
    if part <= single_run_ratio:
        return Preference(part / single_run_ratio, 0.0)
    return Preference(1.0, (part - single_run_ratio) / (1.0 - single_run_ratio))


def _count_usable_slots(state: ServerState) -> float:
    """Return how many slots of a server to use, fewer while it has a queue."""
    queued = max(state.requests - state.slots, 0.0)
    usable = MAX_UTILIZATION_RATIO * state.slots - QUEUE_WEIGHT * queued
    return max(usable, 0.0)


class TrialSchedule:
    """
    Times at which one router tries one avoided server.

    The first trial of each router is at another time, so that all of them
    together try the server at an even rate.

    :param host: host of the router.
    :param server: id of the server.
    :param members: number of routers that try the server.
    :param now: when the server is first avoided, in monotonic seconds.
    """

    def __init__(self, host: str, server: str, members: int, now: float) -> None:
        digest = xxhash.xxh3_64_intdigest(f"{server}\0{host}\0{now}".encode())
        self._next_at = now + digest / HASH_RANGE * members / TRIAL_RATE

    def is_due(self, now: float) -> bool:
        """Return whether the router may try the server."""
        return now >= self._next_at

    def take(self, members: int, now: float) -> None:
        """
        Record that the router tries the server.

        :param members: number of routers that try the server now.
        """
        self._next_at = now + members / TRIAL_RATE
