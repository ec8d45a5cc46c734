"""
Retry budget of a router for its calls.

The budget is a token bucket that is filled by new calls. The retries of the
whole fleet therefore never exceed ``RETRY_RATIO`` of its calls plus
``RETRY_RESERVE`` per router, without any messages between the routers.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

RETRY_RATIO = 0.1
"""Retries that one new call adds to the budget."""
RETRY_RESERVE = 10.0
"""Capacity of the budget, which bounds a burst of retries."""
MAX_ATTEMPTS = 3
"""Failed attempts that may have run, after which a call is not retried."""
MAX_UNEXECUTED_ATTEMPTS = 8
"""Failed attempts that did not run, after which a call is not retried."""


class RetryBudget:
    """
    Token bucket of the retries that one router may make.

    :param ratio: retries added by each new call.
    :param reserve: capacity of the bucket, which is full at first.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._available = reserve

    @property
    def available(self) -> float:
        """Number of retries that may be made now."""
        return self._available

    def record_request(self) -> None:
        """Add the retries that one new call earns to the budget."""
        self._available = min(self._available + self._ratio, self._reserve)

    def try_spend(self) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class AttemptFailure(NamedTuple):
    """
    Failure of an attempt.

    :ivar may_have_run: whether any byte was handed to a connection and the
        server did not declare that it has not run the call.
    :ivar was_refused: whether the server refused the call and is still alive.
    """

    may_have_run: bool
    was_refused: bool

    @property
    def is_free(self) -> bool:
        """Whether the attempt cost the servers nothing and needs no budget."""
        return self.was_refused or not self.may_have_run


class RetryDecision(NamedTuple):
    """
    Decision on another attempt.

    :ivar is_allowed: whether another attempt is made.
    :ivar cause: reason why none is made, ``"not_idempotent"``, ``"attempts"``
        or ``"budget"``; "" if one is made.
    """

    is_allowed: bool
    cause: Literal["", "not_idempotent", "attempts", "budget"]


def decide_retry(
    failure: AttemptFailure, failures: int, budget: RetryBudget, *, idempotent: bool
) -> RetryDecision:
    """
    Decide whether to retry a call, and spend the budget if so.

    :param failure: failure of the latest attempt.
    :param failures: number of failed attempts of the call, including the
        latest. Only free ones are counted if the latest was free, and only
        those that were not if it was not.
    :param budget: budget of this router; a free failure spends none of it.
    :param idempotent: whether the call may run more than once.
    """
    if failure.may_have_run and not idempotent:
        return RetryDecision(is_allowed=False, cause="not_idempotent")
    if failures >= (MAX_UNEXECUTED_ATTEMPTS if failure.is_free else MAX_ATTEMPTS):
        return RetryDecision(is_allowed=False, cause="attempts")
    if not failure.is_free and not budget.try_spend():
        return RetryDecision(is_allowed=False, cause="budget")
    return RetryDecision(is_allowed=True, cause="")
