"""
Cost estimates learned from completed requests.

The true cost of a request is known only when it has ended, and the cost hint
that the caller sends is rough. For each service, workspace and class there are
two predictors: the mean cost, and the hint times the learned ratio of true
costs to hints. The one with the smaller recent error is used, so neither a
constant factor in the hints nor uninformative hints spoil the estimate.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import NamedTuple

DECAY_REQUESTS = 32.0
"""Number of requests after which an observation has lost about two thirds of
its weight."""
MAX_OUTLIER_FACTOR = 8.0
"""Multiple of the prediction at which an observed cost is clipped."""
MAX_HINT_RATIO = 100.0
"""Upper limit of the learned ratio of cost to hint; its inverse is the lower
limit."""
MIN_COST = 1e-6
"""Smallest cost, in units, that is learned or predicted; keeps logarithms
finite."""
MAX_HINT = 1e12
"""Largest hint, in units; larger ones are clamped to it."""
MAX_KEYS = 4096
"""Number of keys whose statistics are kept; the least recently updated one is
dropped."""


class CostKey(NamedTuple):
    """
    Requests whose costs are learned together.

    :ivar service: name of the service.
    :ivar workspace: name of the workspace.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    """

    service: str
    workspace: str
    priority: str


class CostBounds(NamedTuple):
    """
    Costs that the configuration sets for a service.

    :ivar expected: cost assumed before anything has been learned, in units.
    :ivar largest: upper limit of an estimate, in units.
    """

    expected: float
    largest: float


class CostStatistics(NamedTuple):
    """
    Exponentially decaying sums for one key.

    :ivar weight: decayed number of observations.
    :ivar cost_sum: sum of costs, in units.
    :ivar hinted_cost_sum: sum of the costs of requests with a hint, in units.
    :ivar hint_sum: sum of hints, in units.
    :ivar mean_error_sum: sum of the absolute log errors of the mean.
    :ivar hint_error_sum: sum of the absolute log errors of the scaled hint.
    """

    weight: float = 0.0
    cost_sum: float = 0.0
    hinted_cost_sum: float = 0.0
    hint_sum: float = 0.0
    mean_error_sum: float = 0.0
    hint_error_sum: float = 0.0


EMPTY_STATISTICS = CostStatistics()


def predict_from_mean(statistics: CostStatistics, bounds: CostBounds) -> float:
    """Return the mean cost, or the configured one without observations."""
    if statistics.weight == 0.0:
        return bounds.expected
    return statistics.cost_sum / statistics.weight


def predict_from_hint(statistics: CostStatistics, hint: float) -> float:
    """Return the hint times the learned ratio, which is 1 initially."""
    if statistics.hint_sum == 0.0:
        return hint
    ratio = statistics.hinted_cost_sum / statistics.hint_sum
    return hint * min(max(ratio, 1.0 / MAX_HINT_RATIO), MAX_HINT_RATIO)


def clamp_hint(hint: float) -> float:
    """Return the hint, limited so that sums and logarithms remain finite."""
    return min(max(hint, MIN_COST), MAX_HINT)


def estimate_cost(statistics: CostStatistics, hint: float, bounds: CostBounds) -> float:
    """
    Return the estimated cost of a request, in units.

    :param hint: cost that the caller expects, 0 for none.
    """
    mean = predict_from_mean(statistics, bounds)
    scaled_hint = (
        predict_from_hint(statistics, clamp_hint(hint)) if hint > 0.0 else mean
    )
    uses_hint = hint > 0.0 and statistics.hint_error_sum <= statistics.mean_error_sum
    cost = scaled_hint if uses_hint else mean
    return min(max(cost, MIN_COST), bounds.largest)


def update_statistics(
    statistics: CostStatistics, hint: float, cost: float, bounds: CostBounds
) -> CostStatistics:
    """
    Return the statistics updated with a completed request.

    An observation counts for at most ``MAX_OUTLIER_FACTOR`` times its
    prediction. A single expensive request thus moves the mean by a bounded
    factor, while a lasting change is followed within a few requests.

    :param hint: cost that the caller expected, 0 for none.
    :param cost: true cost, in units.
    """
    cost = min(max(cost, MIN_COST), bounds.largest)
    decay_factor = 1.0 - 1.0 / DECAY_REQUESTS
    mean = predict_from_mean(statistics, bounds)
    bounded_cost = min(cost, mean * MAX_OUTLIER_FACTOR) if statistics.weight else cost
    decayed = CostStatistics(*(value * decay_factor for value in statistics))
    decayed = decayed._replace(
        weight=decayed.weight + 1.0, cost_sum=decayed.cost_sum + bounded_cost
    )
    if hint <= 0.0:
        return decayed
    hint = clamp_hint(hint)
    scaled_hint = predict_from_hint(statistics, hint)
    bounded_cost = (
        min(cost, scaled_hint * MAX_OUTLIER_FACTOR) if statistics.hint_sum else cost
    )
    return decayed._replace(
        hinted_cost_sum=decayed.hinted_cost_sum + bounded_cost,
        hint_sum=decayed.hint_sum + hint,
        mean_error_sum=decayed.mean_error_sum + abs(math.log(cost / mean)),
        hint_error_sum=decayed.hint_error_sum + abs(math.log(cost / scaled_hint)),
    )


class CostEstimator:
    """
    Cost statistics by key, limited in number.

    :param max_keys: number of keys to keep.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._statistics: OrderedDict[CostKey, CostStatistics] = OrderedDict()

    def __len__(self) -> int:
        return len(self._statistics)

    def estimate(self, key: CostKey, hint: float, bounds: CostBounds) -> float:
        """Return the estimated cost of a request, in units."""
        return estimate_cost(self._statistics.get(key, EMPTY_STATISTICS), hint, bounds)

    def observe(
        self, key: CostKey, hint: float, cost: float, bounds: CostBounds
    ) -> None:
        """Update the statistics with a completed request."""
        statistics = self._statistics.get(key, EMPTY_STATISTICS)
        self._statistics[key] = update_statistics(statistics, hint, cost, bounds)
        self._statistics.move_to_end(key)
        if len(self._statistics) > self._max_keys:
            self._statistics.popitem(last=False)


class ServiceCostEstimator:
    """
    Cost estimates of one service.

    :param service: name of the service.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._bounds = CostBounds(MIN_COST, math.inf)
        self._estimator = CostEstimator()

    def configure(self, bounds: CostBounds) -> None:
        """Replace the configured costs."""
        self._bounds = bounds

    def estimate(self, workspace: str, priority: str, hint: float) -> float:
        """Return the estimated cost of a request with a hint, in units."""
        key = CostKey(self._service, workspace, priority)
        return self._estimator.estimate(key, hint, self._bounds)

    def observe(self, workspace: str, priority: str, hint: float, cost: float) -> None:
        """Update the estimates with the true cost of a completed request."""
        key = CostKey(self._service, workspace, priority)
        self._estimator.observe(key, hint, cost, self._bounds)
