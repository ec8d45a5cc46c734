"""
When a failed attempt may be followed by another.

The budget of one router is a token bucket that fresh requests fill. Retries
of a fleet therefore never pass the fraction of its fresh requests plus one
reserve a router, without any message between routers.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

RETRY_FRACTION = 0.1
"""Retries earned by one fresh request."""
RETRY_RESERVE = 10.0
"""Retries that a router may make in a burst."""
MOST_ATTEMPTS = 3
"""Failed attempts that may have run, after which a call is given up."""
MOST_REFUSALS = 8
"""Attempts that did not run, after which a call is given up."""


class RetryBudget:
    """
    Retries that one router may still make.

    :param fraction: retries earned by one fresh request.
    :param reserve: the most retries that are kept, and the first amount.
    """

    def __init__(
        self, fraction: float = RETRY_FRACTION, reserve: float = RETRY_RESERVE
    ) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._left = reserve

    @property
    def left(self) -> float:
        """Retries that may be made now."""
        return self._left

    def add_fresh(self) -> None:
        """Count a fresh request."""
        self._left = min(self._left + self._fraction, self._reserve)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Failure(NamedTuple):
    """
    A failed attempt.

    :ivar sent: whether any byte was handed to a connection and the server did
        not declare that it has not run the call.
    :ivar refused: whether the server refused the call and lives on.
    """

    sent: bool
    refused: bool

    @property
    def is_free(self) -> bool:
        """Whether it cost the servers nothing, so that no budget is needed."""
        return self.refused or not self.sent


class Verdict(NamedTuple):
    """
    What follows a failed attempt.

    :ivar again: whether there is another attempt.
    :ivar cause: why there is none: ``"not_idempotent"``, ``"attempts"`` or
        ``"budget"``; "" if there is one.
    """

    again: bool
    cause: Literal["", "not_idempotent", "attempts", "budget"]


def decide_retry(
    failure: Failure, failures: int, budget: RetryBudget, *, idempotent: bool
) -> Verdict:
    """
    Decide whether a call is tried again, and take the retry off the budget.

    :param failure: the attempt that failed last.
    :param failures: failed attempts of the call that were free or not, as
        this one; it is counted.
    :param budget: the router's budget; a free failure costs none of it.
    :param idempotent: whether the call may run more than once.
    """
    if failure.sent and not idempotent:
        return Verdict(again=False, cause="not_idempotent")
    if failures >= (MOST_REFUSALS if failure.is_free else MOST_ATTEMPTS):
        return Verdict(again=False, cause="attempts")
    if not failure.is_free and not budget.spend():
        return Verdict(again=False, cause="budget")
    return Verdict(again=True, cause="")
