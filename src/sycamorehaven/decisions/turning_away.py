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

DUE_SHARE = 0.75
"""Part of the target that may pass before the first token is expected."""
SPARE_SHARE = 0.4
"""The same for a workspace that has had its share."""
WAITING_SHARE = 0.35
"""Part of the target for which a request waits at the router."""
RESUME_WAIT = 1.0
"""Seconds that a broken stream waits; clients wait two for an event."""
IDLE_WAIT = 0.03
"""Seconds of reading below which an engine counts as idle."""
SHORTEST_RETURN = 1.0
"""Seconds after which a client may come back, at least."""
LARGEST_RETURN_SHARE = 0.3
"""Part of the time left in which a client comes back; a third is the limit."""

Action = Literal["place", "wait", "reject"]


class Demand(NamedTuple):
    """
    What a waiting request asks.

    :ivar asked: monotonic seconds at which the client first asked; a client
        that was refused asks again.
    :ivar received: monotonic seconds at which it came.
    :ivar target: seconds to the first token that are on time.
    :ivar deadline: monotonic seconds at which the client gives up.
    :ivar within_share: whether its workspace has not had its share.
    :ivar resumes: whether the client already has a part of the stream.
    :ivar satisfaction: what its workspace got as a part of what it is due.
    :ivar yields: whether all free places are left to workspaces that got a
        smaller part of what they are due.
    """

    asked: float
    received: float
    target: float
    deadline: float
    within_share: bool
    resumes: bool = False
    satisfaction: float = 1.0
    yields: bool = False


def decide_prompt(demand: Demand, best: Placement | None, now: float) -> Action:
    """
    Decide what becomes of a prompt now.

    :param best: where it would go, ``None`` if all slots are taken.
    """
    if demand.resumes:
        if best is not None:
            return "place"
        return "wait" if now - demand.received < RESUME_WAIT else "reject"
    if best is not None and not demand.yields:
        share = DUE_SHARE if demand.within_share else SPARE_SHARE
        reading = min(best.prefill_seconds, demand.target / 2)
        expected = best.wait_seconds + reading + now - demand.asked
        if best.wait_seconds <= IDLE_WAIT or expected <= share * demand.target:
            return "place"
    waited = now - demand.received
    return "wait" if waited < WAITING_SHARE * demand.target else "reject"


def decide_plain(demand: Demand, best: Placement | None, now: float) -> Action:
    """Decide what becomes of a plain request now."""
    if best is not None:
        return "place"
    return "wait" if now - demand.received < WAITING_SHARE * demand.target else "reject"


def choose_return(demand: Demand, wait: float, now: float) -> float:
    """
    Return the seconds after which a refused client may come back.

    :param wait: seconds of work that the least loaded server has.
    """
    left = max(demand.deadline - now, 0.0)
    pause = max(wait - demand.target / 2, SHORTEST_RETURN)
    return min(pause, left * LARGEST_RETURN_SHARE)
