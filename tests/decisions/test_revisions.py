"""When routers read the configuration service."""

from __future__ import annotations

import heapq
import random

from sycamorehaven.decisions.revisions import (
    COLD_START_WAIT,
    WATCH,
    ColdStart,
    ReadState,
    may_believe,
    plan_read,
)
from sycamorehaven.decisions.roles import READERS_PER_DOMAIN, choose_readers
from sycamorehaven.transport.platform_client import READ_TIMEOUT_SECONDS

ROUTERS = 420
DOMAINS = 6
READS_PER_SECOND = 2_000
"""Limit of the configuration service, all readers together."""
IN_FORCE = 8.0
"""Seconds in which a change is in force everywhere."""


def count_reads(seconds: int, *, heard: bool, up: bool) -> list[int]:
    """
    Return the service's reads in each second of a fleet of the target's size.

    :param heard: whether peers hear each other.
    :param up: whether the service answers.
    """
    drawn = random.Random(1)
    hosts = [f"router-{n}" for n in range(ROUTERS)]
    readers = set()
    for domain in range(DOMAINS):
        readers |= set(choose_readers(f"d{domain}", hosts[domain::DOMAINS]))
    assert len(readers) == DOMAINS * READERS_PER_DOMAIN
    counts = [0] * seconds
    states = {host: ReadState(0.0, jitter=drawn.random()) for host in hosts}
    events = [(0.0, host) for host in hosts]
    heapq.heapify(events)
    while events[0][0] < seconds:
        now, host = heapq.heappop(events)
        state = states[host]._replace(heard_at=now if heard else 0.0)
        plan = plan_read(state, is_reader=not heard or host in readers, now=now)
        if plan.due:
            counts[int(now)] += 1
            state = state._replace(
                read_at=now,
                failures=0 if up else state.failures + 1,
                jitter=drawn.random(),
            )
        states[host] = state
        wait = plan.wait if plan.due and up else 0.0
        heapq.heappush(events, (now + max(wait, plan.delay, 0.01), host))
    return counts


def test_reads_stay_a_small_part_of_the_services_limit() -> None:
    quiet = count_reads(120, heard=True, up=True)
    assert sum(quiet) / 120 < READS_PER_SECOND / 100
    assert max(quiet) < READS_PER_SECOND / 20
    down = count_reads(60, heard=True, up=False)
    assert max(down) < READS_PER_SECOND / 10


def test_reads_stay_below_the_limit_when_no_peer_is_heard() -> None:
    for up in (True, False):
        counts = count_reads(60, heard=False, up=up)
        assert max(counts) <= READS_PER_SECOND
        assert sum(counts) / 60 < READS_PER_SECOND / 4


def test_a_router_reads_by_itself_only_when_peers_are_silent() -> None:
    state = ReadState(started_at=0.0, heard_at=10.0, jitter=0.5)
    assert not plan_read(state, is_reader=False, now=12.0).due
    assert plan_read(state, is_reader=False, now=13.5).due
    assert plan_read(state, is_reader=True, now=12.0).due


def test_a_watch_that_goes_silent_is_noticed_in_time() -> None:
    assert WATCH + READ_TIMEOUT_SECONDS < IN_FORCE - 2.0


def test_a_cold_start_asks_peers_before_it_believes_the_service() -> None:
    alone = ColdStart(started_at=0.0, candidates=0, heard=0, newest=0)
    assert not may_believe(alone, 5, 0.1)
    assert may_believe(alone, 5, COLD_START_WAIT)
    asked = alone._replace(candidates=40, heard=2)
    assert not may_believe(asked, 5, 0.1)
    assert may_believe(asked._replace(heard=3), 5, 0.1)
    assert not may_believe(asked._replace(heard=3, newest=6), 5, 0.1)
    assert may_believe(asked._replace(candidates=1, heard=1), 5, 0.1)
