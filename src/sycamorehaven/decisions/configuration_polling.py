"""
When a router reads the configuration service and which answers it accepts.

``now`` is monotonic seconds. Each request to the service counts against its
rate limit, including a watch, which waits for a change. Therefore only a few
routers in each failure domain watch the service while the routers can reach
each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

    from sycamorehaven.configuration.model import ConfigurationVersion

WATCH_SECONDS = 4.0
"""Time that one watch waits for a change."""
PEER_SILENCE_SECONDS = 3.0
"""Time without a message from any peer after which a router is isolated."""
FALLBACK_INTERVAL_SECONDS = 60.0
"""Mean interval of reads by a router that learns of changes from its peers."""
MIN_INTERVAL_SECONDS = 0.25
"""Shortest time between the starts of two reads."""
INITIAL_RETRY_SECONDS = 0.5
"""Mean delay after the first failed read; doubles with each further one."""
MAX_RETRY_SECONDS = 4.0
"""Longest mean delay between retries while the service is unavailable."""
HOST_LIST_INTERVAL_SECONDS = 1.0
"""Interval at which readers read the host list, which can't be watched."""
ISOLATED_HOST_LIST_INTERVAL_SECONDS = 2.0
"""Mean interval at which an isolated router reads the host list."""
COLD_START_WAIT_SECONDS = 2.0
"""Time for which a new router asks peers before it accepts a revision."""
COLD_START_PEERS = 3
"""Number of answers from peers that end this wait early."""
GOSSIP_FANOUT = 6
"""Members that are sent a new configuration in each of two rounds."""


class ReadState(NamedTuple):
    """
    State that determines the next read.

    Times are in monotonic seconds.

    :ivar started_at: when the process started.
    :ivar peer_heard_at: when a peer last sent its revision, 0 for never.
    :ivar read_at: when the last read was started, ``None`` for never.
    :ivar failure_count: number of consecutive failed reads.
    :ivar jitter: random number from 0 to 1, drawn anew for each read.
    """

    started_at: float
    peer_heard_at: float = 0.0
    read_at: float | None = None
    failure_count: int = 0
    jitter: float = 0.5


class ReadPlan(NamedTuple):
    """
    What a router does next.

    :ivar is_due: whether to read now.
    :ivar watch_seconds: time for which the read waits for a change.
    :ivar delay_seconds: time after which to plan again, if no read is due.
    """

    is_due: bool
    watch_seconds: float
    delay_seconds: float


def plan_read(state: ReadState, *, is_reader: bool, now: float) -> ReadPlan:
    """
    Decide whether to read the configuration service now.

    :param state: state of the reads so far.
    :param is_reader: whether this router reads for its failure domain.
    :param now: monotonic seconds.
    """
    is_isolated = (
        now - max(state.peer_heard_at, state.started_at) > PEER_SILENCE_SECONDS
    )
    should_watch = is_reader or is_isolated
    due_at = _compute_due_at(state, should_watch=should_watch)
    if now < due_at:
        return ReadPlan(False, 0.0, min(due_at - now, INITIAL_RETRY_SECONDS))
    return ReadPlan(True, WATCH_SECONDS if should_watch else 0.0, 0.0)


def plan_host_list_read(state: ReadState, *, is_reader: bool, now: float) -> ReadPlan:
    """
    Decide whether to read the host list now.

    :param state: state of the reads so far.
    :param is_reader: whether this router reads for its failure domain.
    :param now: monotonic seconds.
    """
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
    What a router without a configuration has learned from its peers.

    :ivar started_at: when the process started, monotonic seconds.
    :ivar known_peers: number of known peer addresses, without its own.
    :ivar answered_peers: number of peers that have sent their revision.
    :ivar newest_revision: largest revision that a peer has sent.
    """

    started_at: float
    known_peers: int
    answered_peers: int
    newest_revision: int


def may_accept_revision(cold_start: ColdStart, revision: int, now: float) -> bool:
    """
    Return whether a new router may accept a revision from the service.

    The service may answer from a stale replica. The router therefore asks its
    peers first, for a limited time.
    """
    if now - cold_start.started_at >= COLD_START_WAIT_SECONDS:
        return True
    has_enough_answers = (
        0 < min(cold_start.known_peers, COLD_START_PEERS) <= cold_start.answered_peers
    )
    return has_enough_answers and revision >= cold_start.newest_revision


def is_conflict(received: ConfigurationVersion, current: ConfigurationVersion) -> bool:
    """
    Return whether two configurations share one revision but differ in text.

    All routers then use the text with the larger digest, as versions are
    ordered by revision and digest.

    :param received: version received from a peer.
    :param current: version that this router has.
    """
    return (
        received.revision == current.revision > 0 and received.digest != current.digest
    )


def choose_gossip_targets(hosts: list[str], fanout: int, random: Random) -> list[str]:
    """Return up to ``fanout`` members to send to, drawn without repeats."""
    return random.sample(hosts, min(fanout, len(hosts)))
