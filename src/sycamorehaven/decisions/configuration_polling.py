"""
When a router reads the configuration service and what it believes.

``now`` is monotonic seconds. Every call of the service counts against its
limit, a waiting watch as one, so only a few routers of each failure domain
watch it while peers are heard.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

    from sycamorehaven.configuration.model import ConfigurationVersion

WATCH_SECONDS = 4.0
"""Seconds that one watch waits for a change."""
PEER_SILENCE_SECONDS = 3.0
"""Seconds without any peer after which a router reads by itself."""
FALLBACK_INTERVAL_SECONDS = 60.0
"""Seconds between reads of a router that hears of changes from peers."""
MIN_INTERVAL_SECONDS = 0.25
"""Seconds between the starts of two reads."""
INITIAL_RETRY_SECONDS = 0.5
"""Seconds to the first try after a failed read; doubles with each."""
MAX_RETRY_SECONDS = 4.0
"""Seconds between tries while the service stays down."""
HOST_LIST_INTERVAL_SECONDS = 1.0
"""Seconds between a reader's reads of the host list, which cannot wait."""
ISOLATED_HOST_LIST_INTERVAL_SECONDS = 2.0
"""Seconds between reads of the host list while no peer is heard."""
COLD_START_WAIT_SECONDS = 2.0
"""Seconds in which a new router asks peers before it believes the service."""
COLD_START_PEERS = 3
"""Answers of peers that end this wait early."""
GOSSIP_FANOUT = 6
"""Members told of a new configuration in each of two rounds."""


class ReadState(NamedTuple):
    """
    What decides the next read.

    :ivar started_at: when the process started.
    :ivar heard_at: when a peer last told its revision, 0 for never.
    :ivar read_at: when the last read started, ``None`` for never.
    :ivar failures: reads that failed since the last that did not.
    :ivar jitter: random number from 0 to 1, drawn anew for each read.
    """

    started_at: float
    peer_heard_at: float = 0.0
    read_at: float | None = None
    failure_count: int = 0
    jitter: float = 0.5


class ReadPlan(NamedTuple):
    """
    What to do next.

    :ivar due: whether to read now.
    :ivar wait: seconds that the read waits for a change.
    :ivar delay: seconds until the next look at the plan.
    """

    is_due: bool
    watch_seconds: float
    delay_seconds: float


def plan_read(state: ReadState, *, is_reader: bool, now: float) -> ReadPlan:
    """Return whether to read the service now."""
    is_isolated = (
        now - max(state.peer_heard_at, state.started_at) > PEER_SILENCE_SECONDS
    )
    should_watch = is_reader or is_isolated
    due_at = _compute_due_at(state, should_watch=should_watch)
    if now < due_at:
        return ReadPlan(False, 0.0, min(due_at - now, INITIAL_RETRY_SECONDS))
    return ReadPlan(True, WATCH_SECONDS if should_watch else 0.0, 0.0)


def plan_host_list_read(state: ReadState, *, is_reader: bool, now: float) -> ReadPlan:
    """Return whether to read the host list now."""
    is_isolated = (
        now - max(state.peer_heard_at, state.started_at) > PEER_SILENCE_SECONDS
    )
    interval = FALLBACK_INTERVAL_SECONDS * (0.5 + state.jitter)
    if is_reader:
        interval = HOST_LIST_INTERVAL_SECONDS
    elif is_isolated:
        interval = ISOLATED_HOST_LIST_INTERVAL_SECONDS * (0.5 + state.jitter)
    due_at = state.started_at if state.read_at is None else state.read_at + interval
    if state.failure_count:
        due_at = max(due_at, _compute_due_at(state, should_watch=True))
    if now < due_at:
        return ReadPlan(False, 0.0, min(due_at - now, INITIAL_RETRY_SECONDS))
    return ReadPlan(True, 0.0, 0.0)


def _compute_due_at(state: ReadState, *, should_watch: bool) -> float:
    jitter_factor = 0.5 + state.jitter
    if state.read_at is None:
        return (
            state.started_at
            if should_watch
            else state.started_at + FALLBACK_INTERVAL_SECONDS * jitter_factor
        )
    if state.failure_count:
        delay = INITIAL_RETRY_SECONDS * 2.0 ** min(state.failure_count - 1, 8)
        return state.read_at + min(delay, MAX_RETRY_SECONDS) * jitter_factor
    return state.read_at + (
        MIN_INTERVAL_SECONDS
        if should_watch
        else FALLBACK_INTERVAL_SECONDS * jitter_factor
    )


class ColdStart(NamedTuple):
    """
    What a router without a configuration has heard.

    :ivar started_at: when the process started.
    :ivar candidates: peer addresses that it knows, its own not counted.
    :ivar heard: peers that have told their revision.
    :ivar newest: the largest revision that they told.
    """

    started_at: float
    known_peers: int
    answered_peers: int
    newest_revision: int


def may_accept_revision(start: ColdStart, revision: int, now: float) -> bool:
    """
    Return whether a new router may take a text from the service.

    The service may be a stale replica, so peers are asked first, for a
    bounded time.
    """
    if now - start.started_at >= COLD_START_WAIT_SECONDS:
        return True
    enough = 0 < min(start.known_peers, COLD_START_PEERS) <= start.answered_peers
    return enough and revision >= start.newest_revision


def is_conflict(told: ConfigurationVersion, held: ConfigurationVersion) -> bool:
    """
    Return whether one revision stands for two texts.

    All routers take the text with the larger digest, the order of versions.
    """
    return told.revision == held.revision > 0 and told.digest != held.digest


def choose_gossip_targets(hosts: list[str], fanout: int, random: Random) -> list[str]:
    """Return members to tell some news, drawn without repeats."""
    return random.sample(hosts, min(fanout, len(hosts)))
