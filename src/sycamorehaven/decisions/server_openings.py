"""When a server takes the next request, by what it has said of itself."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Literal, NamedTuple

from sycamorehaven.decisions.limit_shares import Allowance
from sycamorehaven.decisions.pacing import Pacer

if TYPE_CHECKING:
    from sycamorehaven.decisions.server_conditions import ServerConditions

RETURN_SECONDS = 3.0
"""Time in which a server that has rested gets its requests back by degrees."""
RETURN_RATE = 2.0
"""Requests per second that a router sends to it at first."""
RETURN_DOUBLING_SECONDS = 0.5
"""Time after which this rate has doubled."""
UNLIMITED = Allowance(math.inf, math.inf)

ClosedBy = Literal["", "limit", "rest", "leaving", "cold", "evacuated"]
"""Why a server takes no request now; "" if it takes one."""


class Opening(NamedTuple):
    """
    When a server takes the next request of this router.

    :ivar at: monotonic seconds, not later than now if it takes one now, and
        infinite if it is not known when.
    :ivar closed_by: why it takes none before.
    :ivar rate: requests per second that it takes from then on.
    :ivar needs_admission: whether it takes only what its scheduler admits.
    :ivar allows_copies: whether other servers may copy from its cache.
    """

    at: float
    closed_by: ClosedBy = ""
    rate: float = math.inf
    needs_admission: bool = False
    allows_copies: bool = True

    @property
    def is_open(self) -> bool:
        """Whether the server takes a request now."""
        return not self.closed_by


ALWAYS_OPEN = Opening(-math.inf)
"""Opening of a server that has said nothing of itself."""
OPEN_BY_ADMISSION = Opening(-math.inf, needs_admission=True)
"""Opening of a cold engine whose scheduler may be asked."""


class ServerGate:
    """
    Opens and closes one server to the requests of this router.

    :param conditions: what the server has said of itself.
    """

    def __init__(self, conditions: ServerConditions) -> None:
        self._conditions = conditions
        self._pacer: Pacer | None = None

    @property
    def conditions(self) -> ServerConditions:
        """What the server has said of itself."""
        return self._conditions

    def is_shut(self, now: float) -> bool:
        """Return whether no request may be sent at all, even if chosen."""
        conditions = self._conditions
        return conditions.leaving_since is not None or now < conditions.rest_until

    def find_opening(self, share: Allowance, now: float) -> Opening:
        """
        Return when the server takes the next request.

        :param share: this router's part of the limit, if the server names one.
        """
        conditions = self._conditions
        if conditions.leaving_since is not None:
            return Opening(math.inf, "leaving", 0.0)
        if now < conditions.rest_until:
            return Opening(
                conditions.rest_until, "rest", RETURN_RATE, allows_copies=False
            )
        limited = share if conditions.limit.rate else UNLIMITED
        returning = self._compute_return(now)
        allowance = min(limited, returning)
        if math.isinf(allowance.rate):
            self._pacer = None
            return ALWAYS_OPEN
        if self._pacer is None:
            self._pacer = Pacer(now)
        self._pacer.set_rate(allowance.rate, allowance.saved, now)
        at = self._pacer.get_opening(now)
        if at <= now:
            return Opening(at, rate=allowance.rate)
        closed_by: ClosedBy = "limit" if allowance is limited else "rest"
        return Opening(
            at, closed_by, allowance.rate, allows_copies=closed_by == "limit"
        )

    def take(self) -> None:
        """Count a request that is sent to the server."""
        if self._pacer is not None:
            self._pacer.take()

    def give_back(self) -> None:
        """Take back a request that did not reach the server."""
        if self._pacer is not None:
            self._pacer.give_back()

    def _compute_return(self, now: float) -> Allowance:
        """Return what a server that has rested until lately may be sent."""
        rested_until = self._conditions.rest_until
        since = now - rested_until
        if not rested_until or since >= RETURN_SECONDS:
            return UNLIMITED
        return Allowance(RETURN_RATE * 2.0 ** (since / RETURN_DOUBLING_SECONDS), 1.0)
