"""
When a failed attempt may be followed by another.

The budget of one router is a token bucket that fresh requests fill. Retries
of a fleet therefore never pass the fraction of its fresh requests plus one
reserve a router, without any message between routers.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

RETRY_RATIO = 0.1
"""Retries earned by one fresh request."""
RETRY_RESERVE = 10.0
"""Retries that a router may make in a burst."""
MAX_ATTEMPTS = 3
"""Failed attempts that may have run, after which a call is given up."""
MAX_UNEXECUTED_ATTEMPTS = 8
"""Attempts that did not run, after which a call is given up."""


class RetryBudget:
    """
    Retries that one router may still make.

    :param fraction: retries earned by one fresh request.
    :param reserve: the most retries that are kept, and the first amount.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._available = reserve

    @property
    def available(self) -> float:
        """Retries that may be made now."""
        return self._available

    def record_request(self) -> None:
        """Count a fresh request."""
        self._available = min(self._available + self._ratio, self._reserve)

    def try_spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class AttemptFailure(NamedTuple):
    """
    A failed attempt.

    :ivar sent: whether any byte was handed to a connection and the server did
        not declare that it has not run the call.
    :ivar refused: whether the server refused the call and lives on.
    """

    may_have_run: bool
    was_refused: bool

    @property
    def is_free(self) -> bool:
        """Whether it cost the servers nothing, so that no budget is needed."""
        return self.was_refused or not self.may_have_run


class RetryDecision(NamedTuple):
    """
    What follows a failed attempt.

    :ivar again: whether there is another attempt.
    :ivar cause: why there is none: ``"not_idempotent"``, ``"attempts"`` or
        ``"budget"``; "" if there is one.
    """

    is_allowed: bool
    cause: Literal["", "not_idempotent", "attempts", "budget"]


def decide_retry(
    failure: AttemptFailure, failures: int, budget: RetryBudget, *, idempotent: bool
) -> RetryDecision:
    """
    Decide whether a call is tried again, and take the retry off the budget.

    :param failure: the attempt that failed last.
    :param failures: failed attempts of the call that were free or not, as
        this one; it is counted.
    :param budget: the router's budget; a free failure costs none of it.
    :param idempotent: whether the call may run more than once.
    """
    if failure.may_have_run and not idempotent:
        return RetryDecision(is_allowed=False, cause="not_idempotent")
    if failures >= (MAX_UNEXECUTED_ATTEMPTS if failure.is_free else MAX_ATTEMPTS):
        return RetryDecision(is_allowed=False, cause="attempts")
    if not failure.is_free and not budget.try_spend():
        return RetryDecision(is_allowed=False, cause="budget")
    return RetryDecision(is_allowed=True, cause="")
