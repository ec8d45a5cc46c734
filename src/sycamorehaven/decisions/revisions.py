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

    from sycamorehaven.configuration.model import Version

WATCH = 4.0
"""Seconds that one watch waits for a change."""
PEER_SILENCE = 3.0
"""Seconds without any peer after which a router reads by itself."""
SLOW_READ = 60.0
"""Seconds between reads of a router that hears of changes from peers."""
SHORTEST_GAP = 0.25
"""Seconds between the starts of two reads."""
FIRST_RETRY = 0.5
"""Seconds to the first try after a failed read; doubles with each."""
LONGEST_RETRY = 4.0
"""Seconds between tries while the service stays down."""
LISTING_GAP = 1.0
"""Seconds between a reader's reads of the host list, which cannot wait."""
LONELY_LISTING_GAP = 2.0
"""Seconds between reads of the host list while no peer is heard."""
COLD_START_WAIT = 2.0
"""Seconds in which a new router asks peers before it believes the service."""
PEERS_ASKED = 3
"""Answers of peers that end this wait early."""
FANOUT = 6
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
    heard_at: float = 0.0
    read_at: float | None = None
    failures: int = 0
    jitter: float = 0.5


class ReadPlan(NamedTuple):
    """
    What to do next.

    :ivar due: whether to read now.
    :ivar wait: seconds that the read waits for a change.
    :ivar delay: seconds until the next look at the plan.
    """

    due: bool
    wait: float
    delay: float


def plan_read(state: ReadState, *, is_reader: bool, now: float) -> ReadPlan:
    """Return whether to read the service now."""
    silent = now - max(state.heard_at, state.started_at) > PEER_SILENCE
    watches = is_reader or silent
    due = _find_due(state, watches=watches)
    if now < due:
        return ReadPlan(False, 0.0, min(due - now, FIRST_RETRY))
    return ReadPlan(True, WATCH if watches else 0.0, 0.0)


def plan_listing(state: ReadState, *, is_reader: bool, now: float) -> ReadPlan:
    """Return whether to read the host list now."""
    silent = now - max(state.heard_at, state.started_at) > PEER_SILENCE
    gap = SLOW_READ * (0.5 + state.jitter)
    if is_reader:
        gap = LISTING_GAP
    elif silent:
        gap = LONELY_LISTING_GAP * (0.5 + state.jitter)
    due = state.started_at if state.read_at is None else state.read_at + gap
    if state.failures:
        due = max(due, _find_due(state, watches=True))
    if now < due:
        return ReadPlan(False, 0.0, min(due - now, FIRST_RETRY))
    return ReadPlan(True, 0.0, 0.0)


def _find_due(state: ReadState, *, watches: bool) -> float:
    spread = 0.5 + state.jitter
    if state.read_at is None:
        return state.started_at if watches else state.started_at + SLOW_READ * spread
    if state.failures:
        delay = FIRST_RETRY * 2.0 ** min(state.failures - 1, 8)
        return state.read_at + min(delay, LONGEST_RETRY) * spread
    return state.read_at + (SHORTEST_GAP if watches else SLOW_READ * spread)


class ColdStart(NamedTuple):
    """
    What a router without a configuration has heard.

    :ivar started_at: when the process started.
    :ivar candidates: peer addresses that it knows, its own not counted.
    :ivar heard: peers that have told their revision.
    :ivar newest: the largest revision that they told.
    """

    started_at: float
    candidates: int
    heard: int
    newest: int


def may_believe(start: ColdStart, revision: int, now: float) -> bool:
    """
    Return whether a new router may take a text from the service.

    The service may be a stale replica, so peers are asked first, for a
    bounded time.
    """
    if now - start.started_at >= COLD_START_WAIT:
        return True
    enough = 0 < min(start.candidates, PEERS_ASKED) <= start.heard
    return enough and revision >= start.newest


def is_conflict(told: Version, held: Version) -> bool:
    """
    Return whether one revision stands for two texts.

    All routers take the text with the larger digest, the order of versions.
    """
    return told.revision == held.revision > 0 and told.digest != held.digest


def choose_targets(hosts: list[str], fanout: int, random: Random) -> list[str]:
    """Return members to tell some news, drawn without repeats."""
    return random.sample(hosts, min(fanout, len(hosts)))
