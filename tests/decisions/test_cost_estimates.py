"""Tests of the learned cost estimates."""

from __future__ import annotations

import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.cost_estimates import CostBounds, CostEstimator, CostKey

BOUNDS = CostBounds(expected=200.0, largest=4_000.0)
KEY = CostKey("assistant", "oakcourt", "interactive")


def measure_errors(scale: float, noise: float, seed: int) -> tuple[float, float]:
    """
    Return the mean log errors of the hints and of the estimates.

    :param scale: constant factor of the hints.
    :param noise: standard deviation of the hints' log error.
    """
    rng = random.Random(seed)
    estimator = CostEstimator()
    raw, learned = [], []
    for number in range(300):
        cost = min(rng.lognormvariate(5.0, 1.2), BOUNDS.largest)
        hint = cost * scale * math.exp(rng.gauss(0.0, noise))
        estimate = estimator.estimate(KEY, hint, BOUNDS)
        estimator.observe(KEY, hint, cost, BOUNDS)
        if number >= 10:
            raw.append(abs(math.log(hint / cost)))
            learned.append(abs(math.log(estimate / cost)))
    return sum(raw) / len(raw), sum(learned) / len(learned)


def test_hints_off_by_a_factor_of_ten_are_corrected_within_ten_requests() -> None:
    for scale in (0.1, 10.0):
        raw, learned = measure_errors(scale, 0.2, seed=1)
        assert raw > math.log(8.0)
        assert learned < math.log(2.0), scale


def test_uninformative_hints_do_no_worse_than_the_mean() -> None:
    raw, learned = measure_errors(1.0, 3.0, seed=2)
    _, without = measure_errors(1e-12, 30.0, seed=2)
    assert learned <= 1.2 * without
    assert learned < raw / 1.5


def test_configured_cost_is_used_before_any_observation() -> None:
    estimator = CostEstimator()
    assert estimator.estimate(KEY, 0.0, BOUNDS) == 200.0
    assert estimator.estimate(KEY, 50.0, BOUNDS) == 50.0
    assert estimator.estimate(KEY, 50_000.0, BOUNDS) == 4_000.0


def test_one_heavy_request_moves_the_estimate_by_a_bounded_factor() -> None:
    estimator = CostEstimator()
    for _ in range(50):
        estimator.observe(KEY, 0.0, 10.0, BOUNDS)
    estimator.observe(KEY, 0.0, 4_000.0, BOUNDS)
    assert estimator.estimate(KEY, 0.0, BOUNDS) < 14.0


def test_lasting_change_is_followed() -> None:
    estimator = CostEstimator()
    for _ in range(50):
        estimator.observe(KEY, 0.0, 10.0, BOUNDS)
    for _ in range(50):
        estimator.observe(KEY, 0.0, 1_000.0, BOUNDS)
    assert estimator.estimate(KEY, 0.0, BOUNDS) > 500.0


def test_number_of_keys_is_bounded() -> None:
    estimator = CostEstimator(max_keys=10)
    for number in range(100):
        estimator.observe(KEY._replace(workspace=f"w{number}"), 1.0, 5.0, BOUNDS)
    assert len(estimator) == 10
    assert estimator.estimate(KEY._replace(workspace="w99"), 0.0, BOUNDS) == 5.0
    assert estimator.estimate(KEY._replace(workspace="w1"), 0.0, BOUNDS) == 200.0


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(
        st.tuples(st.floats(0.0, allow_nan=False), st.floats(0.0, 1e9)), max_size=60
    ),
    st.floats(0.0, allow_nan=False),
)
def test_estimate_stays_within_the_bounds(
    runs: list[tuple[float, float]], hint: float
) -> None:
    estimator = CostEstimator()
    for given_hint, cost in runs:
        estimator.observe(KEY, given_hint, cost, BOUNDS)
    estimate = estimator.estimate(KEY, hint, BOUNDS)
    assert 0.0 < estimate <= BOUNDS.largest
    assert math.isfinite(estimate)
