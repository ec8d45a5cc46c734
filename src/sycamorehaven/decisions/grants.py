"""What a scheduler is told of its service, and what it gives out."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

from sycamorehaven.decisions.priority_classes import ClassChoice
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from sycamorehaven.decisions.outstanding_permits import OutstandingPermit

GRANT_LEASE_SECONDS = 2.0
"""Seconds after a grant in which a request must be sent under it."""
EXCHANGE_SECONDS = 0.002
"""Seconds that a return and the grant that follows it take."""
MAX_EXCHANGE_RATIO = 0.05
"""Part of a slot's time that may pass in exchanges."""
MAX_CALLS_PER_PERMIT = 64
"""Calls that one permit covers at most."""


class ServiceTotals(Protocol):
    """Service received, fleet-wide."""

    def sum_service(self, service: str, workspace: str) -> float:
        """Return the service a workspace has received, in units."""
        ...

    def sum_reserved(self, service: str, workspace: str) -> float:
        """Return what other schedulers have reserved for it, in units."""
        ...


class GrantBasis(NamedTuple):
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
    def from_permit(
        cls, permit: OutstandingPermit, sequence: int, elapsed: float, runs: int
    ) -> Grant:
        """Return the grant of a permit that is out from now on."""
        return cls(
            permit.permit_id.number,
            permit.edge,
            permit.server,
            permit.workspace,
            permit.priority,
            permit.estimated_cost,
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


class ServiceParameters(NamedTuple):
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

    def count_calls_per_permit(self, estimate: float) -> int:
        """
        Return how many calls one permit covers.

        So many that the exchange between two permits takes a small part of
        the slot's time; one for requests that last.

        :param estimate: cost of one, in units.
        """
        if not self.in_seconds:
            return 1
        min_permit_seconds = EXCHANGE_SECONDS / MAX_EXCHANGE_RATIO
        runs = math.ceil(
            min_permit_seconds / max(estimate, EXCHANGE_SECONDS / MAX_CALLS_PER_PERMIT)
        )
        return min(runs, MAX_CALLS_PER_PERMIT)
