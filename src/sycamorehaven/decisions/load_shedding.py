"""
Whether a request is placed, waits, or is turned away.

Load pattern: more comes than the engines can read. Engines take what comes in
its order, so what would wait there waits at the router, and only as long as it
can still be on time. While an engine has nothing to read, nothing is refused.
A workspace that has had its share only gets what the others leave: its
requests are placed while little waits. While a workspace that got a smaller
part of what it is due waits for the same servers, here or at another router,
the others leave it as many places as it has requests: a router knows first of
the places that its own requests give up, and would take them all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from sycamorehaven.decisions.placement import Placement

MAX_FIRST_TOKEN_RATIO = 0.75
"""Part of the target that may pass before the first token is expected."""
MAX_FIRST_TOKEN_RATIO_OVER_SHARE = 0.4
"""The same for a workspace that has had its share."""
MAX_WAIT_RATIO = 0.35
"""Part of the target for which a request waits at the router."""
RESUME_WAIT_SECONDS = 1.0
"""Seconds that a broken stream waits; clients wait two for an event."""
IDLE_WAIT_SECONDS = 0.03
"""Seconds of reading below which an engine counts as idle."""
MIN_RETRY_AFTER_SECONDS = 1.0
"""Seconds after which a client may come back, at least."""
MAX_RETRY_AFTER_RATIO = 0.3
"""Part of the time left in which a client comes back; a third is the limit."""

Action = Literal["place", "wait", "reject"]


class PlacementRequest(NamedTuple):
    """
    What a waiting request asks.

    :ivar first_asked_at: monotonic seconds at which the client first asked; a
        client that was refused asks again.
    :ivar received_at: monotonic seconds at which it came.
    :ivar target_seconds: seconds to the first token that are on time.
    :ivar deadline: monotonic seconds at which the client gives up.
    :ivar within_share: whether its workspace has not had its share.
    :ivar resumes: whether the client already has a part of the stream.
    :ivar satisfaction: what its workspace got as a part of what it is due.
    :ivar yields: whether all free places are left to workspaces that got a
        smaller part of what they are due.
    """

    first_asked_at: float
    received_at: float
    target_seconds: float
    deadline: float
    within_share: bool
    resumes: bool = False
    satisfaction: float = 1.0
    yields: bool = False


def decide_prompt_request(
    request: PlacementRequest, best: Placement | None, now: float
) -> Action:
    """
    Decide what becomes of a prompt now.

    :param best: where it would go, ``None`` if all slots are taken.
    """
    if request.resumes:
        if best is not None:
            return "place"
        return "wait" if now - request.received_at < RESUME_WAIT_SECONDS else "reject"
    if best is not None and not request.yields:
        max_ratio = (
            MAX_FIRST_TOKEN_RATIO
            if request.within_share
            else MAX_FIRST_TOKEN_RATIO_OVER_SHARE
        )
        reading = min(best.prefill_seconds, request.target_seconds / 2)
        expected = best.wait_seconds + reading + now - request.first_asked_at
        if (
            best.wait_seconds <= IDLE_WAIT_SECONDS
            or expected <= max_ratio * request.target_seconds
        ):
            return "place"
    waited = now - request.received_at
    return "wait" if waited < MAX_WAIT_RATIO * request.target_seconds else "reject"


def decide_plain_request(
    request: PlacementRequest, best: Placement | None, now: float
) -> Action:
    """Decide what becomes of a plain request now."""
    if best is not None:
        return "place"
    return (
        "wait"
        if now - request.received_at < MAX_WAIT_RATIO * request.target_seconds
        else "reject"
    )


def choose_retry_after(
    request: PlacementRequest, work_seconds: float, now: float
) -> float:
    """
    Return the seconds after which a refused client may come back.

    :param work_seconds: seconds of work that the least loaded server has.
    """
    time_left = max(request.deadline - now, 0.0)
    retry_after = max(
        work_seconds - request.target_seconds / 2, MIN_RETRY_AFTER_SECONDS
    )
    return min(retry_after, time_left * MAX_RETRY_AFTER_RATIO)
