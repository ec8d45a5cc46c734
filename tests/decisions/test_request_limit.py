"""A router whose processor is too slow for the requests that reach it."""

from __future__ import annotations

import heapq
import itertools
import random
from typing import NamedTuple

from sycamorehaven.decisions.arrivals import ArrivalControl
from sycamorehaven.decisions.request_limit import MIN_LIMIT, RequestLimit

EVENTS = 30
"""Events of a stream."""
EVENT_SECONDS = 0.05
"""Time between two events at the engine."""
ACCEPT_SECONDS = 0.003
"""Processor time to accept a request."""
RELAY_SECONDS = 0.00035
"""Processor time to relay an event."""
REJECT_SECONDS = 0.0013
"""Processor time to reject a request."""
OBSERVATION_SECONDS = 0.05
"""Time between two measurements of the event loop."""
MAX_DELIVERY_SECONDS = 0.2
"""Time after which an event reaches its client late."""


class Relay(NamedTuple):
    """
    What the processor relayed.

    :ivar accepted: number of streams.
    :ivar on_time_ratio: fraction of their events that were on time.
    """

    accepted: int
    on_time_ratio: float


def relay_flood(rate: float, seconds: float) -> Relay:
    """
    Run a processor that handles what has arrived in order.

    :param rate: requests per second of one workspace.
    :param seconds: time for which they arrive.
    """
    arrivals, limit, rng = ArrivalControl(), RequestLimit(), random.Random(3)
    numbers = itertools.count()
    queue: list[tuple[float, int, str]] = [(OBSERVATION_SECONDS, 0, "observe")]
    arrival = rng.expovariate(rate)
    while arrival < seconds:
        heapq.heappush(queue, (arrival, next(numbers), "arrive"))
        arrival += rng.expovariate(rate)
    free_at = lag = 0.0
    in_progress = accepted = 0
    delays = []
    while queue:
        due, _, what = heapq.heappop(queue)
        now = max(due, free_at)
        if what == "observe":
            lag = now - due
            limit.observe(lag, in_progress)
            if due < seconds:
                later = now + OBSERVATION_SECONDS
                heapq.heappush(queue, (later, next(numbers), "observe"))
        elif what == "arrive":
            has_room = in_progress < limit.limit
            if not arrivals.admit("hot", lag, now, has_room=has_room):
                free_at = now + REJECT_SECONDS
                continue
            accepted += 1
            in_progress += 1
            free_at = now + ACCEPT_SECONDS
            for number in range(1, EVENTS + 1):
                kind = "end" if number == EVENTS else "event"
                at = free_at + number * EVENT_SECONDS
                heapq.heappush(queue, (at, next(numbers), kind))
        else:
            free_at = now + RELAY_SECONDS
            delays.append(free_at - due)
            in_progress -= what == "end"
    on_time = sum(delay <= MAX_DELIVERY_SECONDS for delay in delays)
    return Relay(accepted, on_time / len(delays))


def test_router_that_is_short_of_processor_time_relays_what_it_accepts_on_time() -> (
    None
):
    relay = relay_flood(rate=200.0, seconds=8.0)
    print(relay)
    assert relay.on_time_ratio >= 0.8
    # What the processor can do besides rejecting the others.
    cost = ACCEPT_SECONDS + EVENTS * RELAY_SECONDS - REJECT_SECONDS
    capacity = (1.0 - 200.0 * REJECT_SECONDS) / cost * 8.0
    assert relay.accepted >= capacity / 2


def test_limit_grows_while_the_router_is_on_time() -> None:
    limit = RequestLimit()
    before = limit.limit
    limit.observe(0.0, 3)
    assert limit.limit == before
    for _ in range(40):
        limit.observe(0.0, int(limit.limit))
    assert limit.limit > 4 * before


def test_limit_falls_while_the_router_is_late() -> None:
    limit = RequestLimit()
    for _ in range(60):
        limit.observe(0.1, 20)
    assert limit.limit == MIN_LIMIT


def test_single_late_measurement_leaves_most_of_the_limit() -> None:
    limit = RequestLimit()
    before = limit.limit
    limit.observe(0.3, 3)
    assert limit.limit >= before / 2


def test_limit_does_not_fall_while_the_router_is_late_by_rejecting() -> None:
    # Fourteen rejections in 0.05 s beside eight requests in progress.
    limit = RequestLimit()
    before = limit.limit
    for _ in range(60):
        limit.observe(0.1, 8, rejections=14)
    assert limit.limit == before
    for _ in range(60):
        limit.observe(0.1, 80, rejections=14)
    assert limit.limit == MIN_LIMIT


# A host with a third of a core is late for seconds with what a core can relay.
def test_small_host_begins_with_as_much_as_a_whole_core() -> None:
    assert RequestLimit(0.387).limit < 0.5 * RequestLimit().limit
    assert RequestLimit(2.15).limit > 2.0 * RequestLimit().limit
    assert RequestLimit(0.01).limit == MIN_LIMIT
