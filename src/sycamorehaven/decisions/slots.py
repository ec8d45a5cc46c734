"""
Adaptive number of slots of a backend server.

The limit follows the time that a unit of cost takes, compared with the best
median seen for requests of like size. Past ``CUT_RATIO`` of it the limit is
cut, below ``GROW_RATIO`` it grows while work waits, in between it stays. Only
requests granted after the last change are looked at, so a change is judged
by its own effect, whatever the lag. If cuts do not shorten the time, load is
not the cause: the cuts are undone and the baseline is raised.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

CUT_RATIO = 2.0
"""Ratio of the time per unit to the baseline past which the limit is cut."""
GROW_RATIO = 1.5
"""Ratio up to which the limit grows."""
CUT_FACTOR = 0.8
"""What a cut leaves of the limit."""
FAILURE_FACTOR = 0.5
"""What a refusal for overload or a loss leaves of the limit."""
GROWTH = 0.125
"""Part of the limit that it grows by, at least one slot."""
FIRST_GROWTH = 0.5
"""The same until the first time that it does not grow."""
FEWEST_SAMPLES = 16
"""Ended requests that a change is based on, or two for each slot if more."""
LEAST_EFFECT = 0.3
"""Part of the expected effect without which cuts count as ineffective."""
TRIAL_DEPTH = 0.65
"""Part of the limit to which it is cut before the effect is judged."""
MOST_SIZES = 24
"""Classes of like size: powers of four of the cost."""


class FinishedRun(NamedTuple):
    """
    A request that has ended well.

    :ivar granted_at: when its permit was granted, monotonic seconds.
    :ivar ended_at: when it ended, monotonic seconds.
    :ivar units: cost, or 1 for a service whose unit is the time itself.
    """

    granted_at: float
    ended_at: float
    units: float


class Trial(NamedTuple):
    """
    A series of cuts whose effect is not known yet.

    :ivar limit: limit before the first of them.
    :ivar ratio: ratio before the first of them.
    """

    limit: float
    ratio: float


class SlotLimit:
    """
    The number of requests that one server may have at a time.

    :param start: limit to start with.
    :param ceiling: the most it may ever be.
    """

    def __init__(self, start: int, ceiling: int) -> None:
        self._start = start
        self._limit = float(start)
        self._ceiling = ceiling
        self._changed_at = -math.inf
        self._saturated = False
        self._trial: Trial | None = None
        self._samples: list[tuple[int, float]] = []
        self._baselines: dict[int, float] = {}
        self._growth = FIRST_GROWTH

    @property
    def limit(self) -> int:
        """Requests that the server may have at a time."""
        return min(max(math.floor(self._limit), 1), self._ceiling)

    @property
    def start(self) -> int:
        """The limit that it started with."""
        return self._start

    def set_ceiling(self, ceiling: int) -> None:
        """Replace the ceiling."""
        self._ceiling = ceiling
        self._limit = min(self._limit, float(self._ceiling))

    def note_saturation(self) -> None:
        """Note that work waits and no slot is free."""
        self._saturated = True

    def take_finish(self, run: FinishedRun) -> None:
        """Learn from a request that has ended well."""
        if run.granted_at < self._changed_at or run.units <= 0.0:
            return
        pace = max(run.ended_at - run.granted_at, 1e-6) / run.units
        self._samples.append((classify_size(run.units), pace))
        if len(self._samples) >= max(FEWEST_SAMPLES, 2 * self.limit):
            self._judge(run.ended_at)

    def take_failure(self, granted_at: float, now: float) -> None:
        """
        Halve the limit after a refusal for overload or a loss.

        Failures of requests that were granted before the last change count
        as one with it.
        """
        if granted_at < self._changed_at:
            return
        self._trial = None
        self._growth = GROWTH
        self._change(self._limit * FAILURE_FACTOR, now)

    def _judge(self, now: float) -> None:
        ratio = self._measure_ratio()
        self._samples = []
        if self._trial is not None and self._is_ineffective(self._trial, ratio):
            self._undo(self._trial, ratio, now)
        elif ratio > CUT_RATIO and self.limit == 1:
            self._raise_baselines(ratio)
        elif ratio > CUT_RATIO:
            self._cut(ratio, now)
        elif ratio <= GROW_RATIO:
            self._trial = None
            self._grow(now)
        else:
            self._trial = None
            self._growth = GROWTH

    def _measure_ratio(self) -> float:
        sizes: dict[int, list[float]] = {}
        for size, pace in self._samples:
            sizes.setdefault(size, []).append(pace)
        ratios = []
        for size, paces in sizes.items():
            middle = median(paces)
            enough = 4 * len(paces) >= len(self._samples)
            known = self._baselines.get(size)
            if enough and (known is None or middle < known):
                self._baselines[size] = known = middle
            if known is not None:
                ratios += [pace / known for pace in paces]
        return median(ratios) if ratios else 1.0

    def _is_ineffective(self, trial: Trial, ratio: float) -> bool:
        if ratio <= CUT_RATIO or self.limit > trial.limit * TRIAL_DEPTH:
            return False
        expected = math.log(trial.limit / self._limit)
        return math.log(trial.ratio / ratio) < LEAST_EFFECT * expected

    def _undo(self, trial: Trial, ratio: float, now: float) -> None:
        self._raise_baselines(ratio)
        self._change(trial.limit, now)

    def _raise_baselines(self, ratio: float) -> None:
        self._trial = None
        self._baselines = {size: pace * ratio for size, pace in self._baselines.items()}

    def _cut(self, ratio: float, now: float) -> None:
        self._growth = GROWTH
        if self._trial is None:
            self._trial = Trial(self._limit, ratio)
        self._change(min(self._limit * CUT_FACTOR, self._limit - 1.0), now)

    def _grow(self, now: float) -> None:
        if self._saturated:
            self._change(self._limit + max(self._limit * self._growth, 1.0), now)
        self._saturated = False

    def _change(self, limit: float, now: float) -> None:
        self._limit = min(max(limit, 1.0), float(self._ceiling))
        self._changed_at = now
        self._saturated = False
        self._samples = []


def classify_size(units: float) -> int:
    """Return the class of like size of a cost: a power of four."""
    size = math.floor(math.log(units, 4.0))
    return max(min(size, MOST_SIZES // 2), -MOST_SIZES // 2)


class ServerLimits:
    """The limits of the servers of one service at one scheduler."""

    def __init__(self) -> None:
        self._limits: dict[str, SlotLimit] = {}

    def replace(
        self, starts: Mapping[str, int], ceilings: Mapping[str, int]
    ) -> dict[str, int]:
        """
        Take over the servers that are scheduled here.

        A server whose start value has changed begins anew.

        :param starts: limits to start with, by server.
        :param ceilings: the most slots of each; the start if not named.
        :returns: the limits in force, by server.
        """
        known, self._limits = self._limits, {}
        for name, start in starts.items():
            limit = known.get(name)
            ceiling = ceilings.get(name, start)
            if limit is None or limit.start != start:
                limit = SlotLimit(start, ceiling)
            limit.set_ceiling(ceiling)
            self._limits[name] = limit
        return {name: limit.limit for name, limit in self._limits.items()}

    def note_saturation(self) -> None:
        """Note that work waits and no server has a free slot."""
        for limit in self._limits.values():
            limit.note_saturation()

    def take_finish(self, server: str, run: FinishedRun) -> None:
        """Learn from a request that has ended well."""
        if server in self._limits:
            self._limits[server].take_finish(run)

    def take_failure(self, server: str, granted_at: float, now: float) -> None:
        """Learn from a refusal for overload or a loss."""
        if server in self._limits:
            self._limits[server].take_failure(granted_at, now)
