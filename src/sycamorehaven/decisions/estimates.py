"""
Learned cost estimates.

A request's cost is known when it ends; the hint that came with it is rough.
Two predictors are kept for each service, workspace and class: the mean cost,
and the hint times the ratio of true costs to hints. The one with the smaller
recent error is used, so neither a constant factor in the hints nor hints
that tell nothing spoil the estimate.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

MEMORY = 32.0
"""Requests after which an observation has lost two thirds of its weight."""
LARGEST_SURPRISE = 8.0
"""Factor over the prediction beyond which an observation is cut off."""
LARGEST_FACTOR = 100.0
"""Bound of the learned ratio of cost to hint, and of its inverse."""
SMALLEST_COST = 1e-6
"""Least cost that is learned from, in units; keeps logarithms finite."""
LARGEST_HINT = 1e12
"""Largest hint that is learned from, in units."""
MOST_KEYS = 4096
"""Keys that are remembered; the one unused for longest is dropped."""


class CostKey(NamedTuple):
    """
    Whose costs are learned together.

    :ivar service: the service.
    :ivar workspace: the workspace.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    """

    service: str
    workspace: str
    priority: str


class CostBounds(NamedTuple):
    """
    What the configuration says of a service's costs.

    :ivar expected: cost of a request before any is known, in units.
    :ivar largest: the most that a request is estimated at, in units.
    """

    expected: float
    largest: float


class CostRecord(NamedTuple):
    """
    What was learned for one key; sums fade with every observation.

    :ivar weight: number of observations.
    :ivar cost: sum of costs, units.
    :ivar hinted: sum of costs of requests that had a hint, units.
    :ivar hints: sum of hints, units.
    :ivar mean_error: sum of absolute log errors of the mean.
    :ivar hint_error: sum of absolute log errors of the scaled hint.
    """

    weight: float = 0.0
    cost: float = 0.0
    hinted: float = 0.0
    hints: float = 0.0
    mean_error: float = 0.0
    hint_error: float = 0.0


EMPTY = CostRecord()


def predict_mean(record: CostRecord, bounds: CostBounds) -> float:
    """Return the mean cost, the expected one before any is known."""
    if record.weight == 0.0:
        return bounds.expected
    return record.cost / record.weight


def predict_hinted(record: CostRecord, hint: float) -> float:
    """Return the hint times the learned ratio, 1 before any is known."""
    if record.hints == 0.0:
        return hint
    ratio = record.hinted / record.hints
    return hint * min(max(ratio, 1.0 / LARGEST_FACTOR), LARGEST_FACTOR)


def bound_hint(hint: float) -> float:
    """Return a hint that keeps sums and logarithms finite."""
    return min(max(hint, SMALLEST_COST), LARGEST_HINT)


def estimate_cost(record: CostRecord, hint: float, bounds: CostBounds) -> float:
    """
    Return the estimated cost of a request, in units.

    :param hint: cost that the caller expects, 0 for none.
    """
    mean = predict_mean(record, bounds)
    scaled = predict_hinted(record, bound_hint(hint)) if hint > 0.0 else mean
    trusted = hint > 0.0 and record.hint_error <= record.mean_error
    cost = scaled if trusted else mean
    return min(max(cost, SMALLEST_COST), bounds.largest)


def learn_cost(
    record: CostRecord, hint: float, cost: float, bounds: CostBounds
) -> CostRecord:
    """
    Return the record after a request has ended.

    One observation counts for at most ``LARGEST_SURPRISE`` times what was
    predicted, so that a single heavy request moves the mean by a bounded
    factor, while a lasting change is followed within a few requests.

    :param hint: cost that the caller expected, 0 for none.
    :param cost: true cost, units.
    """
    cost = min(max(cost, SMALLEST_COST), bounds.largest)
    keep = 1.0 - 1.0 / MEMORY
    mean = predict_mean(record, bounds)
    learned = min(cost, mean * LARGEST_SURPRISE) if record.weight else cost
    faded = CostRecord(*(value * keep for value in record))
    faded = faded._replace(weight=faded.weight + 1.0, cost=faded.cost + learned)
    if hint <= 0.0:
        return faded
    hint = bound_hint(hint)
    scaled = predict_hinted(record, hint)
    learned = min(cost, scaled * LARGEST_SURPRISE) if record.hints else cost
    return faded._replace(
        hinted=faded.hinted + learned,
        hints=faded.hints + hint,
        mean_error=faded.mean_error + abs(math.log(cost / mean)),
        hint_error=faded.hint_error + abs(math.log(cost / scaled)),
    )


class CostEstimates:
    """
    Records by key, of bounded number.

    :param most_keys: records to keep.
    """

    def __init__(self, most_keys: int = MOST_KEYS) -> None:
        self._most_keys = most_keys
        self._records: OrderedDict[CostKey, CostRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def estimate(self, key: CostKey, hint: float, bounds: CostBounds) -> float:
        """Return the estimated cost of a request, in units."""
        return estimate_cost(self._records.get(key, EMPTY), hint, bounds)

    def observe(
        self, key: CostKey, hint: float, cost: float, bounds: CostBounds
    ) -> None:
        """Learn from a request that has ended."""
        record = self._records.get(key, EMPTY)
        self._records[key] = learn_cost(record, hint, cost, bounds)
        self._records.move_to_end(key)
        if len(self._records) > self._most_keys:
            self._records.popitem(last=False)


class ServiceEstimates:
    """
    Estimates of one service.

    :param service: the service.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._bounds = CostBounds(SMALLEST_COST, math.inf)
        self._estimates = CostEstimates()

    def configure(self, bounds: CostBounds) -> None:
        """Replace what the configuration says of costs."""
        self._bounds = bounds

    def estimate(self, workspace: str, priority: str, hint: float) -> float:
        """Return the estimated cost of a request with a hint, in units."""
        key = CostKey(self._service, workspace, priority)
        return self._estimates.estimate(key, hint, self._bounds)

    def learn(self, workspace: str, priority: str, hint: float, cost: float) -> None:
        """Learn from a request that has ended."""
        key = CostKey(self._service, workspace, priority)
        self._estimates.observe(key, hint, cost, self._bounds)
