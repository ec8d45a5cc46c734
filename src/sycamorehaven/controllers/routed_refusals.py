"""Creates the refusals for failed requests on published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.exceptions.refusals import (
    AttemptsExhausted,
    BackendTimeout,
    DeadlineUnreachable,
    Refusal,
)

if TYPE_CHECKING:
    from sycamorehaven.exceptions.backends import BackendError

MAX_RETRY_AFTER_SECONDS = 0.3
"""Longest ``Retry-After`` if no server took the request."""
RETRY_AFTER_RATIO = 0.3
"""``Retry-After`` as a fraction of the time left until the deadline."""


def create_failure_refusal(
    error: BackendError, obstacle: str, *, may_have_run: bool, remaining_seconds: float
) -> Refusal:
    """
    Return the refusal after the last attempt failed.

    :param error: the error of the last attempt.
    :param obstacle: the reason why no further attempt follows.
    :param may_have_run: whether any attempt may have run on a server.
    :param remaining_seconds: time left until the request's deadline.
    """
    if may_have_run:
        return AttemptsExhausted(
            f"{error.detail}; no further attempt is made ({obstacle})",
            was_run="unknown",
        )
    return DeadlineUnreachable(
        f"no backend server accepted the request: {error.detail}",
        retry_after=min(
            MAX_RETRY_AFTER_SECONDS, max(remaining_seconds, 0.0) * RETRY_AFTER_RATIO
        ),
    )


def create_timeout_refusal(*, may_have_run: bool) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    if may_have_run:
        return BackendTimeout(
            "no answer was received before the deadline", was_run="unknown"
        )
    return DeadlineUnreachable(
        "no backend server accepted the request before the deadline", retry_after=0.0
    )
