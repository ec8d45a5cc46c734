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
GROWTH_RATIO = 0.125
"""Part of the limit that it grows by, at least one slot."""
INITIAL_GROWTH_RATIO = 0.5
"""The same until the first time that it does not grow."""
MIN_SAMPLES = 16
"""Ended requests that a change is based on, or two for each slot if more."""
MIN_EFFECT_RATIO = 0.3
"""Part of the expected effect without which cuts count as ineffective."""
TRIAL_DEPTH_RATIO = 0.65
"""Part of the limit to which it is cut before the effect is judged."""
MAX_SIZE_CLASSES = 24
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
        self._growth = INITIAL_GROWTH_RATIO

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

    def record_saturation(self) -> None:
        """Note that work waits and no slot is free."""
        self._saturated = True

    def record_success(self, run: FinishedRun) -> None:
        """Learn from a request that has ended well."""
        if run.granted_at < self._changed_at or run.units <= 0.0:
            return
        seconds_per_unit = max(run.ended_at - run.granted_at, 1e-6) / run.units
        self._samples.append((get_size_class(run.units), seconds_per_unit))
        if len(self._samples) >= max(MIN_SAMPLES, 2 * self.limit):
            self._evaluate(run.ended_at)

    def record_failure(self, granted_at: float, now: float) -> None:
        """
        Halve the limit after a refusal for overload or a loss.

        Failures of requests that were granted before the last change count
        as one with it.
        """
        if granted_at < self._changed_at:
            return
        self._trial = None
        self._growth = GROWTH_RATIO
        self._set_limit(self._limit * FAILURE_FACTOR, now)

    def _evaluate(self, now: float) -> None:
        ratio = self._measure_ratio()
        self._samples = []
        if self._trial is not None and self._is_ineffective(self._trial, ratio):
            self._undo_cuts(self._trial, ratio, now)
        elif ratio > CUT_RATIO and self.limit == 1:
            self._raise_baselines(ratio)
        elif ratio > CUT_RATIO:
            self._cut(ratio, now)
        elif ratio <= GROW_RATIO:
            self._trial = None
            self._grow(now)
        else:
            self._trial = None
            self._growth = GROWTH_RATIO

    def _measure_ratio(self) -> float:
        sizes: dict[int, list[float]] = {}
        for size, value in self._samples:
            sizes.setdefault(size, []).append(value)
        ratios = []
        for size, values in sizes.items():
            current = median(values)
            enough = 4 * len(values) >= len(self._samples)
            known = self._baselines.get(size)
            if enough and (known is None or current < known):
                self._baselines[size] = known = current
            if known is not None:
                ratios += [value / known for value in values]
        return median(ratios) if ratios else 1.0

    def _is_ineffective(self, trial: Trial, ratio: float) -> bool:
        if ratio <= CUT_RATIO or self.limit > trial.limit * TRIAL_DEPTH_RATIO:
            return False
        expected = math.log(trial.limit / self._limit)
        return math.log(trial.ratio / ratio) < MIN_EFFECT_RATIO * expected

    def _undo_cuts(self, trial: Trial, ratio: float, now: float) -> None:
        self._raise_baselines(ratio)
        self._set_limit(trial.limit, now)

    def _raise_baselines(self, ratio: float) -> None:
        self._trial = None
        self._baselines = {size: pace * ratio for size, pace in self._baselines.items()}

    def _cut(self, ratio: float, now: float) -> None:
        self._growth = GROWTH_RATIO
        if self._trial is None:
            self._trial = Trial(self._limit, ratio)
        self._set_limit(min(self._limit * CUT_FACTOR, self._limit - 1.0), now)

    def _grow(self, now: float) -> None:
        if self._saturated:
            self._set_limit(self._limit + max(self._limit * self._growth, 1.0), now)
        self._saturated = False

    def _set_limit(self, limit: float, now: float) -> None:
        self._limit = min(max(limit, 1.0), float(self._ceiling))
        self._changed_at = now
        self._saturated = False
        self._samples = []


def get_size_class(units: float) -> int:
    """Return the class of like size of a cost: a power of four."""
    size = math.floor(math.log(units, 4.0))
    return max(min(size, MAX_SIZE_CLASSES // 2), -MAX_SIZE_CLASSES // 2)


class ServerSlotLimits:
    """The limits of the servers of one service at one scheduler."""

    def __init__(self) -> None:
        self._limits: dict[str, SlotLimit] = {}

    def set_servers(
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

    def record_saturation(self) -> None:
        """Note that work waits and no server has a free slot."""
        for limit in self._limits.values():
            limit.record_saturation()

    def record_success(self, server: str, run: FinishedRun) -> None:
        """Learn from a request that has ended well."""
        if server in self._limits:
            self._limits[server].record_success(run)

    def record_failure(self, server: str, granted_at: float, now: float) -> None:
        """Learn from a refusal for overload or a loss."""
        if server in self._limits:
            self._limits[server].record_failure(granted_at, now)
