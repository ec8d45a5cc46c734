"""
How many requests a server may get while it is cold.

After a failure, many servers come back at once. A cold server has nothing to
do, so all routers prefer it, and without a limit it is overloaded and crashes
again. The bound holds for the requests of all routers in any one second,
whether or not the routers can reach each other. So each router keeps to a rate
that needs no coordination, except that the scheduler of an engine decides for
all of them.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sycamorehaven.decisions.rendezvous import rank_candidates

if TYPE_CHECKING:
    from collections.abc import Iterable

SCHEDULER_BURST = 2.0
"""Requests that a scheduler may admit at once after a time without any."""
SENDER_BURST = 1.0
"""The same for a router that sends to a server without a scheduler."""
MEMBERSHIP_VIEWS = 2
"""Disjoint views of the membership that may exist at the same time."""


class ColdAllowance(NamedTuple):
    """
    By how much a cold server's requests may exceed the rate it tolerates.

    :ivar overshoot: factor applied to the rate.
    :ivar tolerance: requests in addition.
    """

    overshoot: float = 1.0
    tolerance: float = 0.0

    def compute_bound(self, rate: float) -> float:
        """
        Return the requests that a cold server may get in any one second.

        :param rate: requests per second that it tolerates.
        """
        return rate * self.overshoot + self.tolerance


class Pace(NamedTuple):
    """
    What one router may admit or send to a cold server.

    :ivar rate: requests per second.
    :ivar burst: requests at once after a time without any.
    """

    rate: float
    burst: float


def choose_scheduler_pace(
    rate: float, allowance: ColdAllowance, *, may_have_rival: bool
) -> Pace:
    """
    Return the pace at which a scheduler admits requests to a cold engine.

    A scheduler that may be one of two takes the part of the bound that an
    established one leaves.

    :param rate: requests per second that the engine tolerates.
    :param may_have_rival: whether another router may take itself for the
        scheduler and admit at the full pace.
    """
    if may_have_rival:
        return Pace((allowance.overshoot - 1.0) * rate, SCHEDULER_BURST)
    return _fit_pace(rate, SCHEDULER_BURST, allowance.compute_bound(rate))


def choose_senders(
    server: str, hosts: Iterable[str], rate: float, allowance: ColdAllowance
) -> list[str]:
    """
    Return the routers that send to a cold server without a scheduler.

    :param server: id of the server.
    :param hosts: the live hosts in the view of this router.
    :param rate: requests per second that the server tolerates.
    """
    count = _count_senders(rate, allowance)
    return rank_candidates(f"cold/{server}", hosts)[:count]


def choose_sender_pace(rate: float, allowance: ColdAllowance) -> Pace:
    """
    Return the pace at which each of these routers sends.

    :param rate: requests per second that the server tolerates.
    """
    parts = MEMBERSHIP_VIEWS * _count_senders(rate, allowance)
    return _fit_pace(rate / parts, SENDER_BURST, allowance.compute_bound(rate) / parts)


def _fit_pace(rate: float, burst: float, bound: float) -> Pace:
    """
    Return a pace that stays within a bound.

    Without an allowance the rate makes room for the burst, but is at least
    halved only, so that a server with a small rate gets something.

    :param bound: requests in any one second.
    """
    burst = min(burst, max(bound / 2.0, 1.0))
    return Pace(min(rate, max(bound - burst, rate / 2.0)), burst)


def _count_senders(rate: float, allowance: ColdAllowance) -> int:
    """Return how many routers of one view may each save up a request."""
    spare = rate * (allowance.overshoot - 1.0) + allowance.tolerance
    return max(1, math.floor(spare / MEMBERSHIP_VIEWS))
