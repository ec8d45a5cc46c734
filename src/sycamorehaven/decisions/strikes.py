"""
Strikes against requests, and parts of prompts, that crash backend servers.

A crash ends all requests that a server runs, and a request has parts of its
prompt in common with others. So one lost server proves nothing. A suspect, the
request as a whole or one of the parts, is blamed once it was there at the loss
of several servers that no other suspect explains.

A part on which a server has begun an answer is sound: servers crash as soon as
they begin to answer on a bad one.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import xxhash

from sycamorehaven.decisions.crash_blame import Culprit, find_culprits

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sycamorehaven.routing.requests import RoutedRequest

STRIKE_LIFETIME_SECONDS = 3_600.0
"""Time after which a lost run is forgotten. Longer than the longest block."""
SOUND_LIFETIME_SECONDS = 60.0
"""Time after its last begun answer for which a part is not suspected."""
SURVIVOR_LIFETIME_SECONDS = 60.0
"""Time for which reports of the loss of a server that lives are ignored."""
MAX_RUNS = 2_048
"""Limit on the lost runs that are remembered."""
MAX_SUSPECTS = 16_384
"""Limit on the requests and parts that are suspected."""
MAX_BLAMED_RUNS = 128
"""Limit on the runs of what is blamed that are kept when the limits are
reached."""
MAX_PARTS_PER_RUN = 64
"""Limit on the parts of a prompt that are suspected."""
MAX_SOUND_SUSPECTS = 8_192
"""Limit on the parts that are known to be sound."""
MAX_SURVIVORS = 256
"""Limit on the servers that are known to live."""


class SuspectKeys(NamedTuple):
    """
    What of a request may crash a server.

    :ivar request: hash of the workspace, method, target and body.
    :ivar parts: hash of each part of its prompt together with the service.
    """

    request: int
    parts: tuple[int, ...] = ()

    @classmethod
    def from_request(cls, request: RoutedRequest) -> SuspectKeys:
        """Return the keys of a request."""
        digest = xxhash.xxh3_64()
        for text in (request.workspace, request.method, request.target):
            digest.update(text.encode() + b"\0")
        digest.update(request.body)
        parts = request.head.prompt_parts[:MAX_PARTS_PER_RUN]
        return cls(
            digest.intdigest() >> 1,
            tuple(hash_part(request.service, part.key) for part in parts),
        )

    def list_all(self) -> tuple[int, ...]:
        """Return all keys."""
        return self.request, *self.parts


class LostRun(NamedTuple):
    """
    A run that ended because its server was lost.

    :ivar server: id of the server together with its start, so that all runs
        lost in one crash count once and a crash after a restart counts again.
    :ivar lost_at: monotonic seconds.
    :ivar keys: what the request consists of; no parts if the server had begun
        its answer.
    """

    server: str
    lost_at: float
    keys: SuspectKeys


class StrikeTable:
    """
    Lost runs and what is blamed for them, in bounded memory.

    :param generator: chooses the runs that are told to other routers.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        self._random = generator or random.Random()
        self._runs: OrderedDict[tuple[str, int], LostRun] = OrderedDict()
        self._losses: dict[int, set[tuple[str, int]]] = {}
        self._requests: set[int] = set()
        self._lost_servers: dict[str, float] = {}
        self._sound_until: OrderedDict[int, float] = OrderedDict()
        self._survivors: OrderedDict[str, float] = OrderedDict()
        self._culprits: tuple[Culprit, ...] | None = ()

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def culprits(self) -> tuple[Culprit, ...]:
        """Everything that is blamed."""
        if self._culprits is None:
            self._culprits = find_culprits(
                self._losses, self._requests, self._lost_servers
            )
        return self._culprits

    def add_run(self, run: LostRun, now: float) -> bool:
        """
        Record a lost run unless it is known, or known not to count.

        :param now: monotonic seconds.
        :returns: whether it was recorded.
        """
        self._expire(now)
        suspects = [key for key in run.keys.list_all() if not self._is_sound(key, now)]
        key = run.server, run.keys.request
        is_expired = now - run.lost_at >= STRIKE_LIFETIME_SECONDS
        has_survived = self._survivors.get(run.server, now) > now
        if key in self._runs or not suspects or is_expired or has_survived:
            return False
        if len(self._runs) >= MAX_RUNS or len(self._losses) >= MAX_SUSPECTS:
            self._evict_runs()
        self._runs[key] = run
        self._index_run(run, suspects)
        return True

    def find_lost_at(self, server: str) -> float | None:
        """Return when a server was lost, ``None`` if it was not."""
        return self._lost_servers.get(server)

    def find_culprits(self, keys: SuspectKeys) -> list[Culprit]:
        """Return what of a request is blamed."""
        if not self.culprits:
            return []
        all_keys = frozenset(keys.list_all())
        return [culprit for culprit in self.culprits if culprit.keys <= all_keys]

    def record_sound(self, suspects: Iterable[int], now: float) -> list[int]:
        """
        Record that suspects crash no server.

        :param suspects: hashes of requests or parts.
        :param now: monotonic seconds.
        :returns: those that had strikes.
        """
        cleared = []
        for suspect in suspects:
            self._sound_until[suspect] = now + SOUND_LIFETIME_SECONDS
            self._sound_until.move_to_end(suspect)
            if self._losses.pop(suspect, None) is not None:
                cleared.append(suspect)
        while len(self._sound_until) > MAX_SOUND_SUSPECTS:
            self._sound_until.popitem(last=False)
        if cleared:
            self._culprits = None
        return cleared

    def has_strikes(self, suspect: int) -> bool:
        """Return whether servers were lost with a request or a part."""
        return suspect in self._losses

    def list_suspected(self, suspects: Iterable[int]) -> tuple[int, ...]:
        """Return those of some suspects that have strikes."""
        return tuple(suspect for suspect in suspects if suspect in self._losses)

    def list_sound(self, suspects: Iterable[int], now: float) -> list[int]:
        """Return those of some suspects that are known to be sound."""
        return [suspect for suspect in suspects if self._is_sound(suspect, now)]

    def record_survivor(self, server: str, now: float) -> bool:
        """
        Record that a server lives; return whether its loss had been reported.

        :param server: id of the server together with its start.
        :param now: monotonic seconds.
        """
        self._survivors[server] = now + SURVIVOR_LIFETIME_SECONDS
        self._survivors.move_to_end(server)
        while len(self._survivors) > MAX_SURVIVORS:
            self._survivors.popitem(last=False)
        if server not in self._lost_servers:
            return False
        self._keep_runs(run for run in self._runs.values() if run.server != server)
        return True

    def choose_runs(self, count: int) -> list[LostRun]:
        """
        Return some lost runs to tell another router.

        Half of them belong to what is blamed.

        :param count: number of runs at most.
        """
        blamed, others = self._split_runs()
        chosen = _sample(self._random, blamed, max(count // 2, count - len(others)))
        return [*chosen, *_sample(self._random, others, count - len(chosen))]

    def list_runs(self) -> list[LostRun]:
        """Return all lost runs with what is still suspected of each."""
        remaining = (
            run._replace(
                keys=run.keys._replace(parts=self.list_suspected(run.keys.parts))
            )
            for run in self._runs.values()
        )
        return [
            run
            for run in remaining
            if run.keys.parts or run.keys.request in self._losses
        ]

    def _split_runs(self) -> tuple[list[LostRun], list[LostRun]]:
        """Return the runs of what is blamed, and the others."""
        blamed_keys = {key for culprit in self.culprits for key in culprit.keys}
        blamed: list[LostRun] = []
        others: list[LostRun] = []
        for run in self.list_runs():
            is_blamed = not blamed_keys.isdisjoint(run.keys.list_all())
            (blamed if is_blamed else others).append(run)
        return blamed, others

    def _is_sound(self, suspect: int, now: float) -> bool:
        return self._sound_until.get(suspect, now) > now

    def _index_run(self, run: LostRun, suspects: Iterable[int]) -> None:
        for suspect in suspects:
            self._losses.setdefault(suspect, set()).add((run.server, run.keys.request))
        self._requests.add(run.keys.request)
        # A router that was late to notice must not make the crash a new one.
        lost_at = self._lost_servers.get(run.server, run.lost_at)
        self._lost_servers[run.server] = min(lost_at, run.lost_at)
        self._culprits = None

    def _expire(self, now: float) -> None:
        oldest = next(iter(self._runs.values()), None)
        if oldest is not None and now - oldest.lost_at >= STRIKE_LIFETIME_SECONDS:
            self._keep_runs(
                run
                for run in self._runs.values()
                if now - run.lost_at < STRIKE_LIFETIME_SECONDS
            )

    def _evict_runs(self) -> None:
        """Forget the older half of the runs that nothing is blamed for."""
        blamed, others = self._split_runs()
        self._keep_runs([*blamed[-MAX_BLAMED_RUNS:], *others[-(len(others) // 2) :]])

    def _keep_runs(self, runs: Iterable[LostRun]) -> None:
        """Replace the runs and what follows from them."""
        kept = list(runs)
        suspected = self._losses.keys()
        self._losses, self._requests, self._lost_servers = {}, set(), {}
        self._runs = OrderedDict(((run.server, run.keys.request), run) for run in kept)
        for run in kept:
            self._index_run(
                run, [key for key in run.keys.list_all() if key in suspected]
            )
        self._culprits = None


def _sample(
    generator: random.Random, runs: Sequence[LostRun], count: int
) -> list[LostRun]:
    return generator.sample(runs, min(count, len(runs)))


def hash_part(service: str, part: str) -> int:
    """Return the hash of a part of prompts at a service, 63 bits."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{part}".encode()) >> 1
