"""Creates the refusals for failed requests on published routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.exceptions.backends import ConnectFailed
from sycamorehaven.exceptions.refusals import (
    AttemptsExhausted,
    BackendTimeout,
    CrashSuspected,
    DeadlineUnreachable,
    DomainsEvacuated,
    NoBackendServer,
    Refusal,
    ServersLimited,
    ServersResting,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorehaven.controllers.service_load import ClosedServers
    from sycamorehaven.decisions.crash_blame import Culprit
    from sycamorehaven.exceptions.backends import BackendError

MAX_RETRY_AFTER_SECONDS = 0.3
"""Longest ``Retry-After`` if no server took the request."""
MIN_QUARANTINE_RETRY_SECONDS = 1.0
"""Shortest ``Retry-After`` of a request that is blamed for lost servers; a
trial of another one is over by then."""
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
    retry_after = min(
        MAX_RETRY_AFTER_SECONDS, max(remaining_seconds, 0.0) * RETRY_AFTER_RATIO
    )
    if isinstance(error, ConnectFailed):
        return NoBackendServer(
            f"no backend server accepted a connection: {error.detail}",
            retry_after=retry_after,
        )
    return DeadlineUnreachable(
        f"no backend server accepted the request: {error.detail}",
        retry_after=retry_after,
    )


def create_closed_refusal(
    service: str, closed: ClosedServers, retry_after: float
) -> DomainsEvacuated | ServersLimited | ServersResting:
    """
    Return the refusal while no server of a service takes a request.

    :param closed: why the servers take none.
    :param retry_after: seconds after which the client may try again.
    """
    if closed.all_evacuated:
        return DomainsEvacuated(
            f"all backend servers of the service '{service}' that may serve the"
            " request are in evacuated failure domains",
            retry_after=retry_after,
        )
    if closed.all_rest:
        return ServersResting(
            f"all backend servers of the service '{service}' have asked for rest",
            retry_after=retry_after,
        )
    if closed.all_cold:
        return ServersLimited(
            f"all backend servers of the service '{service}' have just started and"
            " take few requests",
            retry_after=retry_after,
        )
    return ServersLimited(
        f"the backend servers of the service '{service}' take {closed.rate:.2f}"
        " requests per second from this router",
        retry_after=retry_after,
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


def create_quarantine_refusal(
    culprit: Culprit, parts: Sequence[str], now: float, *, may_have_run: bool
) -> Refusal:
    """
    Return the refusal of a request that is blamed for lost servers.

    :param culprit: what is blamed.
    :param parts: the parts of the prompt that are blamed.
    :param now: monotonic seconds.
    :param may_have_run: whether any attempt may have run on a server.
    """
    blamed = f"part {', '.join(parts)} of the prompt" if parts else "this request"
    count, age = len(culprit.losses), now - max(culprit.losses.values())
    detail = (
        f"{count} backend servers were lost as they began to answer on {blamed},"
        f" the last one {age:.1f} s ago"
    )
    if may_have_run:
        return AttemptsExhausted(detail, was_run="unknown")
    return CrashSuspected(
        detail,
        retry_after=max(culprit.blocked_until - now, MIN_QUARANTINE_RETRY_SECONDS),
        problem_members={"suspect": culprit.name},
    )
