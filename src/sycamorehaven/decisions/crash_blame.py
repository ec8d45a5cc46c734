"""
Which suspects explain the losses of several backend servers.

A bad part of a prompt is there at every crash that it causes. So are the parts
that always come with it, and some that were there by chance. The suspect that
explains the most crashes is blamed first. They count less against others, and
not at all against those that were there only beside it.

Servers that are lost at the same moment have one crash in common. A suspect
that was there at less than half of them does not explain it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from itertools import pairwise
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection

    RunId = tuple[str, int]

MIN_CRASHES = 3
"""Number of crashes from which a suspect is blamed."""
EXPLAINED_WEIGHT = 0.6
"""Weight of a crash that another suspect explains."""
SAME_MOMENT_SECONDS = 0.1
"""Time between two losses that are taken for one crash."""
FIRST_BLOCK_SECONDS = 5.0
"""Time for which a suspect is blocked at first."""
BLOCK_GROWTH = 5.0
"""Factor by which the block grows if the request that is tried after it
crashes a server."""
MAX_BLOCK_SECONDS = 600.0
"""Longest block, after which one request is tried."""


class Culprit(NamedTuple):
    """
    What is blamed for the loss of servers.

    :ivar keys: hashes of the suspects. If there are several, none of the
        losses tells them apart, and only requests with all of them are blamed.
    :ivar is_request: whether it is a request as a whole.
    :ivar losses: when each server was lost, in monotonic seconds.
    """

    keys: frozenset[int]
    is_request: bool
    losses: Mapping[str, float]

    @property
    def name(self) -> str:
        """Name in logs, the same on all routers."""
        return f"{min(self.keys):016x}"

    @property
    def blocked_until(self) -> float:
        """When one request may be tried, in monotonic seconds."""
        moments = sorted(self.losses.values())
        # Servers are lost at such intervals only to requests that are tried.
        tried = sum(
            later - earlier >= FIRST_BLOCK_SECONDS
            for earlier, later in pairwise(moments)
        )
        block = min(FIRST_BLOCK_SECONDS * BLOCK_GROWTH**tried, MAX_BLOCK_SECONDS)
        return moments[-1] + block


class Suspicion(NamedTuple):
    """
    What speaks against a suspect.

    :ivar runs: lost runs with it, each the id of the server and the request.
    :ivar losses: when each server was lost that it may have crashed, in
        monotonic seconds.
    :ivar crashes: numbers of the crashes that it explains. For a request as a
        whole, each lost server is a crash of its own, because a request runs
        at one server at a time.
    """

    runs: frozenset[RunId]
    losses: dict[str, float]
    crashes: tuple[int, ...]


def find_culprits(
    runs_by_suspect: Mapping[int, Collection[RunId]],
    requests: Collection[int],
    lost_servers: Mapping[str, float],
) -> tuple[Culprit, ...]:
    """
    Return the suspects that explain the losses.

    Of suspects that explain the same number of crashes, a request goes first:
    its parts are in others, too.

    :param runs_by_suspect: the lost runs with each suspect.
    :param requests: the suspects that are requests as a whole.
    :param lost_servers: when each server was lost, in monotonic seconds.
    """
    suspicions = _list_suspicions(runs_by_suspect, requests, lost_servers)
    culprits: list[Culprit] = []
    explained: set[int] = set()
    while suspicions:
        best = max(
            suspicions,
            key=lambda suspect: (
                _weigh(suspicions[suspect], explained),
                suspect in requests,
                suspect,
            ),
        )
        suspicion = suspicions[best]
        if _weigh(suspicion, explained) < MIN_CRASHES:
            break
        is_request = best in requests
        keys = {best} if is_request else _list_inseparable(suspicions, best, requests)
        culprits.append(Culprit(frozenset(keys), is_request, suspicion.losses))
        explained.update(suspicion.crashes)
        suspicions = {
            suspect: other
            for suspect, other in suspicions.items()
            if not other.runs <= suspicion.runs
        }
    return tuple(culprits)


def _list_suspicions(
    runs_by_suspect: Mapping[int, Collection[RunId]],
    requests: Collection[int],
    lost_servers: Mapping[str, float],
) -> dict[int, Suspicion]:
    """Return what speaks against each suspect that may be blamed."""
    often = {
        suspect: runs
        for suspect, runs in runs_by_suspect.items()
        if len(runs) >= MIN_CRASHES
    }
    crash_numbers = _number_crashes(lost_servers) if often else {}
    sizes = Counter(crash_numbers.values())
    suspicions = {}
    for suspect, runs in often.items():
        servers = {server for server, _ in runs}
        counts = Counter(crash_numbers[server] for server in servers)
        likely = {
            server: lost_servers[server]
            for server in servers
            if 2 * counts[crash_numbers[server]] >= sizes[crash_numbers[server]]
        }
        crashes = [crash_numbers[server] for server in likely]
        if suspect not in requests:
            crashes = sorted(set(crashes))
        suspicions[suspect] = Suspicion(frozenset(runs), likely, tuple(crashes))
    return suspicions


def _number_crashes(lost_servers: Mapping[str, float]) -> dict[str, int]:
    """Return for each server the number of the crash that it was lost in."""
    numbers: dict[str, int] = {}
    number, began_at = 0, float("-inf")
    for server in sorted(lost_servers, key=lost_servers.__getitem__):
        if lost_servers[server] - began_at > SAME_MOMENT_SECONDS:
            number, began_at = number + 1, lost_servers[server]
        numbers[server] = number
    return numbers


def _weigh(suspicion: Suspicion, explained: Collection[int]) -> float:
    already = sum(crash in explained for crash in suspicion.crashes)
    return len(suspicion.crashes) - already * (1.0 - EXPLAINED_WEIGHT)


def _list_inseparable(
    suspicions: Mapping[int, Suspicion], best: int, requests: Collection[int]
) -> set[int]:
    """Return the parts that were in the same lost runs as ``best``."""
    runs = suspicions[best].runs
    return {
        suspect
        for suspect, suspicion in suspicions.items()
        if suspicion.runs == runs and suspect not in requests
    }
