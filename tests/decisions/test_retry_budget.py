"""Tests of the retry budget and of decisions on retries."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sycamorehaven.decisions.retry_budget import (
    MAX_ATTEMPTS,
    MAX_UNEXECUTED_ATTEMPTS,
    RETRY_RATIO,
    RETRY_RESERVE,
    AttemptFailure,
    RetryBudget,
    decide_retry,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.lists(st.booleans(), max_size=400),
        min_size=1,
        max_size=6,
    )
)
def test_fleet_retries_stay_within_the_ratio_and_reserve(
    fleet: list[list[bool]],
) -> None:
    requests = retries = 0
    for router in fleet:
        budget = RetryBudget()
        for is_request in router:
            if is_request:
                budget.record_request()
                requests += 1
            else:
                retries += budget.try_spend()
    assert retries <= RETRY_RATIO * requests + RETRY_RESERVE * len(fleet) + 1e-6


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(st.booleans(), st.booleans()), max_size=10), st.booleans())
def test_attempts_of_one_call_are_bounded(
    failures: list[tuple[bool, bool]], idempotent: bool
) -> None:
    budget = RetryBudget()
    for number, (may_have_run, was_refused) in enumerate(failures, start=1):
        decision = decide_retry(
            AttemptFailure(may_have_run, was_refused),
            number,
            budget,
            idempotent=idempotent,
        )
        assert decision.is_allowed == (decision.cause == "")
        if may_have_run and not idempotent:
            assert decision.cause == "not_idempotent"
        if number >= (
            MAX_ATTEMPTS
            if may_have_run and not was_refused
            else MAX_UNEXECUTED_ATTEMPTS
        ):
            assert not decision.is_allowed


def test_refusals_spend_no_budget_and_an_empty_budget_ends_retries() -> None:
    budget = RetryBudget(reserve=1.0)
    lost, refused = AttemptFailure(True, False), AttemptFailure(True, True)
    assert decide_retry(refused, 1, budget, idempotent=True).is_allowed
    assert decide_retry(lost, 1, budget, idempotent=True).is_allowed
    assert decide_retry(lost, 1, budget, idempotent=True).cause == "budget"
    assert decide_retry(refused, 1, budget, idempotent=True).is_allowed
