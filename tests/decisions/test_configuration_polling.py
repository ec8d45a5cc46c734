"""Tests of the reads of the configuration service by a simulated fleet."""

from __future__ import annotations

import heapq
import random

from sycamorehaven.decisions.configuration_polling import (
    COLD_START_WAIT_SECONDS,
    WATCH_SECONDS,
    ColdStart,
    ReadState,
    may_accept_revision,
    plan_read,
)
from sycamorehaven.decisions.roles import (
    READERS_PER_DOMAIN,
    choose_configuration_readers,
)
from sycamorehaven.transport.platform_client import READ_TIMEOUT_SECONDS

ROUTERS = 420
"""Number of routers in the simulated fleet."""
DOMAINS = 6
"""Number of failure domains in the simulated fleet."""
MAX_READS_PER_SECOND = 2_000
"""Rate limit of the configuration service for all routers together."""
CHANGE_DEADLINE_SECONDS = 8.0
"""Time within which a change must be in force on all routers."""


def count_reads(seconds: int, *, has_peers: bool, is_available: bool) -> list[int]:
    """
    Return the reads per second of a simulated fleet of the target size.

    :param seconds: length of the simulation.
    :param has_peers: whether the routers receive messages from each other.
    :param is_available: whether the configuration service answers.
    """
    randomness = random.Random(1)
    hosts = [f"router-{n}" for n in range(ROUTERS)]
    readers = set()
    for domain in range(DOMAINS):
        readers |= set(
            choose_configuration_readers(f"d{domain}", hosts[domain::DOMAINS])
        )
    assert len(readers) == DOMAINS * READERS_PER_DOMAIN
    counts = [0] * seconds
    states = {host: ReadState(0.0, jitter=randomness.random()) for host in hosts}
    events = [(0.0, host) for host in hosts]
    heapq.heapify(events)
    while events[0][0] < seconds:
        now, host = heapq.heappop(events)
        state = states[host]._replace(peer_heard_at=now if has_peers else 0.0)
        plan = plan_read(state, is_reader=not has_peers or host in readers, now=now)
        if plan.is_due:
            counts[int(now)] += 1
            state = state._replace(
                read_at=now,
                failure_count=0 if is_available else state.failure_count + 1,
                jitter=randomness.random(),
            )
        states[host] = state
        wait = plan.watch_seconds if plan.is_due and is_available else 0.0
        heapq.heappush(events, (now + max(wait, plan.delay_seconds, 0.01), host))
    return counts


def test_reads_stay_far_below_the_rate_limit() -> None:
    healthy_counts = count_reads(120, has_peers=True, is_available=True)
    assert sum(healthy_counts) / 120 < MAX_READS_PER_SECOND / 100
    assert max(healthy_counts) < MAX_READS_PER_SECOND / 20
    outage_counts = count_reads(60, has_peers=True, is_available=False)
    assert max(outage_counts) < MAX_READS_PER_SECOND / 10


def test_reads_stay_below_the_rate_limit_without_peers() -> None:
    for is_available in (True, False):
        counts = count_reads(60, has_peers=False, is_available=is_available)
        assert max(counts) <= MAX_READS_PER_SECOND
        assert sum(counts) / 60 < MAX_READS_PER_SECOND / 4


def test_router_that_is_no_reader_reads_only_without_peers() -> None:
    state = ReadState(started_at=0.0, peer_heard_at=10.0, jitter=0.5)
    assert not plan_read(state, is_reader=False, now=12.0).is_due
    assert plan_read(state, is_reader=False, now=13.5).is_due
    assert plan_read(state, is_reader=True, now=12.0).is_due


def test_unanswered_watch_times_out_before_the_change_deadline() -> None:
    assert WATCH_SECONDS + READ_TIMEOUT_SECONDS < CHANGE_DEADLINE_SECONDS - 2.0


def test_cold_start_asks_peers_before_it_accepts_a_revision() -> None:
    start = ColdStart(
        started_at=0.0, known_peers=0, answered_peers=0, newest_revision=0
    )
    assert not may_accept_revision(start, 5, 0.1)
    assert may_accept_revision(start, 5, COLD_START_WAIT_SECONDS)
    waiting = start._replace(known_peers=40, answered_peers=2)
    assert not may_accept_revision(waiting, 5, 0.1)
    assert may_accept_revision(waiting._replace(answered_peers=3), 5, 0.1)
    assert not may_accept_revision(
        waiting._replace(answered_peers=3, newest_revision=6), 5, 0.1
    )
    assert may_accept_revision(
        waiting._replace(known_peers=1, answered_peers=1), 5, 0.1
    )
