"""When a server takes the next request, by what it has said of itself."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Literal, NamedTuple

from sycamorehaven.decisions.limit_shares import Allowance
from sycamorehaven.decisions.pacing import Pacer

if TYPE_CHECKING:
    from sycamorehaven.decisions.server_conditions import ServerConditions

UNLIMITED = Allowance(math.inf, math.inf)

ClosedBy = Literal["", "limit"]
"""Why a server takes no request now; "" if it takes one."""


class Opening(NamedTuple):
    """
    When a server takes the next request of this router.

    :ivar at: monotonic seconds, not later than now if it takes one now, and
        infinite if it is not known when.
    :ivar closed_by: why it takes none before.
    :ivar rate: requests per second that it takes from then on.
    """

    at: float
    closed_by: ClosedBy = ""
    rate: float = math.inf

    @property
    def is_open(self) -> bool:
        """Whether the server takes a request now."""
        return not self.closed_by


ALWAYS_OPEN = Opening(-math.inf)
"""Opening of a server that has said nothing of itself."""


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

    def find_opening(self, share: Allowance, now: float) -> Opening:
        """
        Return when the server takes the next request.

        :param share: this router's part of the limit, if the server names one.
        """
        conditions = self._conditions
        allowance = share if conditions.limit.rate else UNLIMITED
        if math.isinf(allowance.rate):
            self._pacer = None
            return ALWAYS_OPEN
        if self._pacer is None:
            self._pacer = Pacer(now)
        self._pacer.set_rate(allowance.rate, allowance.saved, now)
        at = self._pacer.get_opening(now)
        if at <= now:
            return Opening(at, rate=allowance.rate)
        return Opening(at, "limit", allowance.rate)

    def take(self) -> None:
        """Count a request that is sent to the server."""
        if self._pacer is not None:
            self._pacer.take()

    def give_back(self) -> None:
        """Take back a request that did not reach the server."""
        if self._pacer is not None:
            self._pacer.give_back()
