"""
Adaptive limit of the requests that run on a backend server.

The limit follows the time per cost unit, as a ratio to a baseline: the best
median seen for requests of similar size. Above ``CUT_RATIO``, the limit is
cut. Below ``GROW_RATIO``, it grows while requests wait. In between, it stays.

Only requests granted after the last change are evaluated, so a change is
judged by its own effect however long that takes to show. If cuts do not
shorten the time, load is not the cause: the cuts are then undone, and the
baselines raised.
"""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

CUT_RATIO = 2.0
"""Ratio of the time per unit to the baseline above which the limit is cut."""
GROW_RATIO = 1.5
"""Ratio up to which the limit may grow."""
CUT_FACTOR = 0.8
"""Factor applied to the limit by a cut."""
FAILURE_FACTOR = 0.5
"""Factor applied to the limit when the server refuses a request because of
overload, or is lost."""
GROWTH_RATIO = 0.125
"""Fraction of the limit by which it grows, though by at least one slot."""
INITIAL_GROWTH_RATIO = 0.5
"""The same until the limit stops growing for the first time."""
MIN_SAMPLES = 16
"""Completed requests that a decision is based on; at least two per slot."""
MIN_EFFECT_RATIO = 0.3
"""Fraction of the expected effect below which cuts are considered
ineffective."""
TRIAL_DEPTH_RATIO = 0.65
"""Fraction of the original limit that must be reached before the effect of
cuts is judged."""
MAX_SIZE_CLASSES = 24
"""Number of size classes; each class covers a factor of four in cost."""


class FinishedRun(NamedTuple):
    """
    A request that has completed successfully.

    :ivar granted_at: time of the permit's grant, in monotonic seconds.
    :ivar ended_at: time of completion, in monotonic seconds.
    :ivar units: cost, or the number of calls for a service whose cost unit is
        time itself.
    """

    granted_at: float
    ended_at: float
    units: float


class Trial(NamedTuple):
    """
    A series of cuts whose effect is not known yet.

    :ivar limit: limit before the first cut.
    :ivar ratio: ratio to the baseline before the first cut.
    """

    limit: float
    ratio: float


class SlotLimit:
    """
    The number of requests that one server may run at a time.

    :param initial_limit: limit at the start.
    :param ceiling: maximum limit.
    """

    def __init__(self, initial_limit: int, ceiling: int) -> None:
        self._initial_limit = initial_limit
        self._limit = float(initial_limit)
        self._ceiling = ceiling
        self._changed_at = -math.inf
        self._saturated = False
        self._trial: Trial | None = None
        self._samples: list[tuple[int, float]] = []
        self._baselines: dict[int, float] = {}
        self._growth = INITIAL_GROWTH_RATIO

    @property
    def limit(self) -> int:
        """Number of requests that the server may run at a time."""
        return min(max(math.floor(self._limit), 1), self._ceiling)

    @property
    def initial_limit(self) -> int:
        """The initial limit."""
        return self._initial_limit

    def set_ceiling(self, ceiling: int) -> None:
        """Replace the maximum limit."""
        self._ceiling = ceiling
        self._limit = min(self._limit, float(self._ceiling))

    def record_saturation(self) -> None:
        """Record that requests wait while no slot is free."""
        self._saturated = True

    def record_success(self, run: FinishedRun) -> None:
        """Learn from a request that has completed successfully."""
        if run.granted_at < self._changed_at or run.units <= 0.0:
            return
        seconds_per_unit = max(run.ended_at - run.granted_at, 1e-6) / run.units
        self._samples.append((get_size_class(run.units), seconds_per_unit))
        if len(self._samples) >= max(MIN_SAMPLES, 2 * self.limit):
            self._evaluate(run.ended_at)

    def record_failure(self, granted_at: float, now: float) -> None:
        """
        Halve the limit after an overload refusal or a lost server.

        Failures of requests that were granted before the last change count as
        part of the same incident.
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
            is_representative = 4 * len(values) >= len(self._samples)
            baseline = self._baselines.get(size)
            if is_representative and (baseline is None or current < baseline):
                self._baselines[size] = baseline = current
            if baseline is not None:
                ratios += [value / baseline for value in values]
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
        self._baselines = {
            size: value * ratio for size, value in self._baselines.items()
        }

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
    """Return the size class of a cost, as an exponent of four."""
    size = math.floor(math.log(units, 4.0))
    return max(min(size, MAX_SIZE_CLASSES // 2), -MAX_SIZE_CLASSES // 2)


class ServerSlotLimits:
    """Slot limits of one service's servers at one scheduler."""

    def __init__(self) -> None:
        self._limits: dict[str, SlotLimit] = {}

    def set_servers(
        self, initial_limits: Mapping[str, int], ceilings: Mapping[str, int]
    ) -> dict[str, int]:
        """
        Replace the servers that are scheduled here.

        A server whose configured initial limit has changed loses what was
        learned of it.

        :param initial_limits: initial limit by server.
        :param ceilings: maximum limit by server; the initial limit is the
            default.
        :returns: the current limits by server.
        """
        known, self._limits = self._limits, {}
        for name, initial_limit in initial_limits.items():
            limit = known.get(name)
            ceiling = ceilings.get(name, initial_limit)
            if limit is None or limit.initial_limit != initial_limit:
                limit = SlotLimit(initial_limit, ceiling)
            limit.set_ceiling(ceiling)
            self._limits[name] = limit
        return {name: limit.limit for name, limit in self._limits.items()}

    def record_saturation(self) -> None:
        """Record that requests wait while no server has a free slot."""
        for limit in self._limits.values():
            limit.record_saturation()

    def record_success(self, server: str, run: FinishedRun) -> None:
        """Learn from a request that has completed successfully."""
        if server in self._limits:
            self._limits[server].record_success(run)

    def record_failure(self, server: str, granted_at: float, now: float) -> None:
        """Learn from an overload refusal or a lost server."""
        if server in self._limits:
            self._limits[server].record_failure(granted_at, now)
