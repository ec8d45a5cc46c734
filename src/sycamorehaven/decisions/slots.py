"""
Adaptive number of slots of a backend server.

The limit follows the time that a unit of cost takes, compared with the best
median seen for requests of like size. Past ``CUT_RATIO`` of it the limit is
cut, below ``GROW_RATIO`` it grows while work waits, in between it stays. Only
requests granted after the last change are looked at, so a change is judged
by its own effect, whatever the lag. If cuts do not shorten the time, load is
not the cause: the cuts are undone and the baseline is raised.

The server's own report comes late. It is used for what others have admitted:
what it shows beyond the most that was out from here lately is others' work.
Slots are given up to them and taken back by a slow integral of the excess,
which is stable under the lag, with a leak that evens out who gave up how much.
"""

from __future__ import annotations

import math
from collections import deque
from statistics import median
from typing import NamedTuple

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
YIELD_RATE = 0.25
"""Part of the excess of load that is given up in a second."""
LEAK_RATE = 0.05
"""Part of the slots given up that is taken back in a second."""
FEWEST_SAMPLES = 16
"""Ended requests that a change is based on, or two for each slot if more."""
LEAST_EFFECT = 0.3
"""Part of the expected effect without which cuts count as ineffective."""
TRIAL_DEPTH = 0.65
"""Part of the limit to which it is cut before the effect is judged."""
REPORT_LAG = 2.5
"""Seconds by which a server's report of its load may be late."""
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


class Load(NamedTuple):
    """
    What is known of the load of a server.

    :ivar busy: permits that are out from here.
    :ivar waiting: whether work waits for a slot.
    :ivar reported: requests that the server reported as running.
    :ivar reported_at: when the report came, monotonic seconds; 0 for none.
    """

    busy: int
    waiting: bool
    reported: int = 0
    reported_at: float = 0.0


class RecentPeak:
    """
    The largest value of the last seconds.

    :param span: seconds.
    """

    def __init__(self, span: float) -> None:
        self._span = span
        self._values: deque[tuple[float, int]] = deque()

    def push(self, value: int, now: float) -> None:
        """Note the value from ``now`` on."""
        since = now
        while self._values and self._values[-1][1] <= value:
            since, _ = self._values.pop()
        self._values.append((since, value))

    def find(self, now: float) -> int:
        """Return the largest value within the span, 0 for none."""
        while len(self._values) > 1 and self._values[1][0] <= now - self._span:
            self._values.popleft()
        return self._values[0][1] if self._values else 0


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
        self._limit = float(start)
        self._ceiling = max(ceiling, 1)
        self._changed_at = -math.inf
        self._saturated = False
        self._trial: Trial | None = None
        self._samples: list[tuple[int, float]] = []
        self._baselines: dict[int, float] = {}
        self._peak = RecentPeak(REPORT_LAG)
        self._growth = FIRST_GROWTH
        self._yielded: float | None = None
        self._loaded_at = 0.0

    @property
    def limit(self) -> int:
        """Requests that the server may have at a time."""
        return max(min(math.floor(self._limit), self._ceiling), 1)

    @property
    def yielded(self) -> float:
        """Slots given up to what other schedulers have admitted."""
        return self._yielded or 0.0

    @property
    def available(self) -> int:
        """Slots that this scheduler may have out at a time, at least 1."""
        return max(self.limit - round(self.yielded), 1)

    def set_ceiling(self, ceiling: int) -> None:
        """Replace the ceiling."""
        self._ceiling = max(ceiling, 1)
        self._limit = min(self._limit, float(self._ceiling))

    def take_load(self, load: Load, now: float) -> None:
        """Note the load; give slots up to what others have admitted."""
        self._peak.push(load.busy, now)
        self._yield_slots(load, now)
        self._loaded_at = now
        if load.waiting and load.busy >= self.available:
            self._saturated = True

    def _yield_slots(self, load: Load, now: float) -> None:
        if load.reported_at <= 0.0 or now - load.reported_at > REPORT_LAG:
            self._yielded = 0.0 if self._yielded is not None else None
            return
        others = max(load.reported - self._peak.find(now), 0)
        if self._yielded is None:
            self._yielded = float(min(others, self.limit))
            return
        passed = min(now - self._loaded_at, 1.0)
        excess = min(load.reported - self.limit, others)
        change = YIELD_RATE * excess - LEAK_RATE * self._yielded
        yielded = self._yielded + change * passed
        self._yielded = min(max(yielded, 0.0), float(self.limit))

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
