"""What a client is told if its request on a published route has failed."""

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
"""Seconds after which a client may come back if no server took its request."""
RETRY_AFTER_RATIO = 0.3
"""Part of the time left in which a client comes back."""


def create_failure_refusal(
    error: BackendError, obstacle: str, *, may_have_run: bool, remaining_seconds: float
) -> Refusal:
    """
    Return the final answer after the last attempt.

    :param obstacle: why there is no further one.
    :param may_have_run: whether any attempt may have run.
    :param left: seconds that the client still waits.
    """
    if may_have_run:
        return AttemptsExhausted(
            f"{error.detail}; no further attempt: {obstacle}", was_run="unknown"
        )
    return DeadlineUnreachable(
        f"no server took the request: {error.detail}",
        retry_after=min(
            MAX_RETRY_AFTER_SECONDS, max(remaining_seconds, 0.0) * RETRY_AFTER_RATIO
        ),
    )


def create_timeout_refusal(*, may_have_run: bool) -> Refusal:
    """Return the final answer at the deadline."""
    if may_have_run:
        return BackendTimeout("no answer in time", was_run="unknown")
    return DeadlineUnreachable("no server took the request in time", retry_after=0.0)
