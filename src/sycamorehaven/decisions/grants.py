"""What a scheduler is told of its service, and what it gives out."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

from sycamorehaven.decisions.classes import ClassChoice
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from sycamorehaven.decisions.holdings import Holding

LEASE = 2.0
"""Seconds after a grant in which a request must be sent under it."""
EXCHANGE = 0.002
"""Seconds that a return and the grant that follows it take."""
EXCHANGE_SHARE = 0.05
"""Part of a slot's time that may pass in exchanges."""
MOST_RUNS = 64
"""Calls that one permit covers at most."""


class Ledger(Protocol):
    """Service received, fleet-wide."""

    def sum_service(self, service: str, workspace: str) -> float:
        """Return the service a workspace has received, in units."""
        ...

    def sum_reserved(self, service: str, workspace: str) -> float:
        """Return what other schedulers have reserved for it, in units."""
        ...


class Issue(NamedTuple):
    """
    What a permit was granted on.

    :ivar hint: cost of one request as the edge gave it, units.
    :ivar choice: the class and why it was chosen.
    """

    hint: float
    choice: ClassChoice


class Grant(NamedTuple):
    """
    A permit to send to an edge.

    :ivar number: the permit's number.
    :ivar edge: who gets it.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class of the demand that it answers.
    :ivar cost: estimated cost, charged until the true one is known.
    :ivar sequence: the edge's last report.
    :ivar elapsed: seconds since that report came.
    :ivar runs: calls that it covers.
    """

    number: int
    edge: RouterId
    server: str
    workspace: str
    priority: str
    cost: float
    sequence: int
    elapsed: float
    runs: int

    @classmethod
    def from_holding(
        cls, holding: Holding, sequence: int, elapsed: float, runs: int
    ) -> Grant:
        """Return the grant of a permit that is out from now on."""
        return cls(
            holding.name.number,
            holding.edge,
            holding.server,
            holding.workspace,
            holding.priority,
            holding.cost,
            sequence,
            elapsed,
            runs,
        )


class Charge(NamedTuple):
    """
    Service given, to be added to the counters.

    :ivar workspace: who received it.
    :ivar cost: in the service's unit.
    """

    workspace: str
    cost: float


class ServiceTerms(NamedTuple):
    """
    What the configuration says of a service.

    :ivar largest_cost: the most that one request is charged ahead, units.
    :ivar in_seconds: whether its unit is a second of a slot.
    :ivar expected_cost: cost of a request before any is known, units.
    :ivar batch_fraction: guaranteed part of a workspace's share for batch.
    :ivar schedulers: routers that schedule servers of the service.
    """

    largest_cost: float = math.inf
    in_seconds: bool = False
    expected_cost: float = 1.0
    batch_fraction: float = 0.2
    schedulers: int = 1

    def count_runs(self, estimate: float) -> int:
        """
        Return how many calls one permit covers.

        So many that the exchange between two permits takes a small part of
        the slot's time; one for requests that last.

        :param estimate: cost of one, in units.
        """
        if not self.in_seconds:
            return 1
        slice_length = EXCHANGE / EXCHANGE_SHARE
        runs = math.ceil(slice_length / max(estimate, EXCHANGE / MOST_RUNS))
        return min(runs, MOST_RUNS)
