"""
Whether a request is placed on a server, waits, or is rejected.

Engines serve requests in order of arrival. When requests arrive faster than
the engines can read their prompts, they wait at the router instead, but only
as long as they can still be on time. While an engine is idle, nothing is
rejected.

When requests arrive at one router faster than it can decide on them, it
rejects at once those whose turn would come too late.

A workspace that has used up its fair share gets only what the others leave:
its requests are placed only while little waits. A workspace that received less
may be waiting for the same servers, here or at another router. The requests
that others are not entitled to then leave it as many free slots as it has
waiting requests. Otherwise, a router would take every slot that its own
requests free, since it is the first to know of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal, NamedTuple

if TYPE_CHECKING:
    from sycamorehaven.decisions.placement import Placement

MAX_FIRST_TOKEN_RATIO = 0.75
"""Fraction of the target time within which the first token must be
expected."""
MAX_FIRST_TOKEN_RATIO_OVER_SHARE = 0.4
"""The same for a workspace that has used up its share."""
MAX_WAIT_RATIO = 0.35
"""Fraction of the target time for which a request may wait at the router."""
RESUME_WAIT_SECONDS = 1.0
"""Time for which an interrupted stream waits for a server; clients wait two
seconds for an event."""
IDLE_WAIT_SECONDS = 0.03
"""Time to read its queued prompts below which an engine counts as idle."""
MIN_RETRY_AFTER_SECONDS = 1.0
"""Minimum time after which a rejected client may try again."""
BUSY_ROUTER_RETRY_SECONDS = 1.0
"""Time after which a client that a busy router rejected may try again; the
balancer sends it to the same router."""
MAX_RETRY_AFTER_RATIO = 0.3
"""Fraction of the client's remaining time after which it tries again at the
latest; the limit is a third."""

MAX_REFUSED_APPLICATIONS = 6
"""Number of schedulers that may refuse a request before it is rejected."""
MIN_REFUSED_APPLICATIONS = 2
"""Number of schedulers that must have refused a request before the wait that
the router expects elsewhere is taken for too long."""
MAX_APPLICATIONS = 12
"""Number of schedulers that may refuse a request before it is rejected, those
of cold engines included. Each costs a round trip."""
WAIT_TOLERANCE_SECONDS = 0.1
"""Time by which the wait at the first engine may be longer than expected."""

Action = Literal["place", "wait", "reject"]
"""What to do with a request now."""


class PlacementRequest(NamedTuple):
    """
    A waiting request.

    :ivar first_asked_at: time of the client's first attempt, in monotonic
        seconds; a rejected client tries again.
    :ivar received_at: time at which the request was received, in monotonic
        seconds.
    :ivar target_seconds: time to the first token that counts as on time.
    :ivar deadline: time at which the client gives up, in monotonic seconds.
    :ivar within_share: whether its workspace has not used up its fair share.
    :ivar resumes: whether the client has already received a part of the
        stream.
    :ivar satisfaction: fraction of its entitlement that the workspace
        received.
    :ivar yields: whether all free slots are left to workspaces that received
        less.
    :ivar entitled: whether it is among the requests that its workspace is
        entitled to.
    """

    first_asked_at: float
    received_at: float
    target_seconds: float
    deadline: float
    within_share: bool
    resumes: bool = False
    satisfaction: float = 1.0
    yields: bool = False
    entitled: bool = True

    @property
    def elapsed_seconds(self) -> float:
        """Time for which the client waited in earlier attempts."""
        return self.received_at - self.first_asked_at


def decide_prompt_request(
    request: PlacementRequest, best: Placement | None, now: float
) -> Action:
    """
    Decide what to do now with a request that has a prompt.

    :param best: best placement, ``None`` if all slots are taken.
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


def compute_max_wait(
    request: PlacementRequest, placement: Placement, now: float
) -> float:
    """
    Return how long a request may wait for admission to an engine, in seconds.

    A request that would be late in any case may still use an idle engine.
    """
    if request.resumes:
        return max(request.received_at + RESUME_WAIT_SECONDS - now, 0.0)
    reading = min(placement.prefill_seconds, request.target_seconds / 2)
    elapsed = now - request.first_asked_at
    time_left = MAX_FIRST_TOKEN_RATIO * request.target_seconds - reading - elapsed
    return max(time_left, IDLE_WAIT_SECONDS)


def is_hopeless(
    request: PlacementRequest,
    refused: int,
    expected_wait: float,
    max_wait: float,
    refused_by_cold: int = 0,
) -> bool:
    """
    Return whether a request need not ask any further scheduler.

    A stream that resumes waits less than the router expects, since it goes
    before all others.

    :param refused: number of schedulers that have refused it.
    :param expected_wait: seconds that it is expected to wait at the best one.
    :param max_wait: seconds after which the request would be late.
    :param refused_by_cold: number of schedulers of cold engines that have
        refused it in addition; others may still have room.
    """
    if (
        refused >= MAX_REFUSED_APPLICATIONS
        or refused + refused_by_cold >= MAX_APPLICATIONS
    ):
        return True
    if request.resumes or refused < MIN_REFUSED_APPLICATIONS:
        return False
    return expected_wait > max_wait


def compute_tolerated_wait(
    request: PlacementRequest, max_wait: float, expected_wait: float, refused: int
) -> float:
    """
    Return how long a request waits at one engine before it tries another one.

    A wait that is longer than expected shows that the choice of the engine
    rested on old news, so another one may be better. The more engines have
    refused the request, the less likely that is. A stream that resumes goes
    before all others, so it need not look further.

    :param max_wait: seconds after which the request would be late.
    :param expected_wait: seconds that the router expects there.
    :param refused: number of engines that have refused it.
    """
    if request.resumes:
        return max_wait
    tolerance = WAIT_TOLERANCE_SECONDS * (1 + refused)
    return min(expected_wait + tolerance, max_wait)


def decide_plain_request(
    request: PlacementRequest, best: Placement | None, now: float
) -> Action:
    """
    Decide what to do now with a plain request, which has no prompt.

    :param best: best placement, ``None`` if all slots are taken.
    """
    if best is not None:
        return "place"
    return (
        "wait"
        if now - request.received_at < MAX_WAIT_RATIO * request.target_seconds
        else "reject"
    )


def decide_postponed_request(
    request: PlacementRequest, delay: float, now: float
) -> Action:
    """
    Decide what to do with a request that the router had no time to consider.

    :param delay: seconds until its turn is expected to come.
    """
    max_wait = (
        RESUME_WAIT_SECONDS
        if request.resumes
        else MAX_WAIT_RATIO * request.target_seconds
    )
    return "wait" if now + delay - request.received_at < max_wait else "reject"


def choose_closed_retry_after(
    delay: float, rate: float, position: float, time_left: float
) -> float:
    """
    Return the seconds after which to try servers again that take nothing now.

    Clients return one after the other, at the rate that the servers take.

    :param delay: seconds until they take the request if it waits.
    :param rate: requests per second that they take.
    :param position: position of the request among others, 0 to 1.
    :param time_left: seconds until the client gives up.
    """
    spread = position * max(MIN_RETRY_AFTER_SECONDS, 1.0 / max(rate, 1e-3))
    retry_after = max(delay, MIN_RETRY_AFTER_SECONDS) + spread
    return min(retry_after, max(time_left, 0.0) * MAX_RETRY_AFTER_RATIO)


def choose_busy_retry_after(time_left: float | None) -> float:
    """
    Return the seconds after which a client may try a busy router again.

    :param time_left: seconds until the client gives up; ``None`` if unknown.
    """
    if time_left is None:
        return BUSY_ROUTER_RETRY_SECONDS
    return min(BUSY_ROUTER_RETRY_SECONDS, max(time_left, 0.0) * MAX_RETRY_AFTER_RATIO)


def choose_retry_after(
    request: PlacementRequest, work_seconds: float, now: float
) -> float:
    """
    Return the seconds after which a rejected client may try again.

    :param work_seconds: work queued at the least loaded server.
    """
    time_left = max(request.deadline - now, 0.0)
    retry_after = max(
        work_seconds - request.target_seconds / 2, MIN_RETRY_AFTER_SECONDS
    )
    return min(retry_after, time_left * MAX_RETRY_AFTER_RATIO)
