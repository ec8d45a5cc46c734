"""Inputs and outputs of a service's scheduler."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple, Protocol

from sycamorehaven.decisions.priority_classes import ClassChoice
from sycamorehaven.identity import RouterId

if TYPE_CHECKING:
    from sycamorehaven.decisions.outstanding_permits import OutstandingPermit

GRANT_LEASE_SECONDS = 2.0
"""Time after a grant in which the edge must send a request under it."""
EXCHANGE_SECONDS = 0.002
"""Time between the return of a permit and the arrival of the next grant."""
MAX_EXCHANGE_RATIO = 0.05
"""Maximum fraction of a slot's time that may pass in such exchanges."""
MAX_CALLS_PER_PERMIT = 64
"""Maximum number of calls under one permit."""


class ServiceTotals(Protocol):
    """Fleet-wide totals of service; the scheduler only reads them."""

    def sum_service(self, service: str, workspace: str) -> float:
        """Return the service that a workspace has received, in units."""
        ...

    def sum_reserved(self, service: str, workspace: str) -> float:
        """Return the cost that other schedulers have reserved, in units."""
        ...


class GrantBasis(NamedTuple):
    """
    What the grant of a permit was based on.

    :ivar hint: cost of one request as reported by the edge, in units.
    :ivar choice: the class that was served, and why.
    """

    hint: float
    choice: ClassChoice


class Grant(NamedTuple):
    """
    A permit to be sent to an edge.

    :ivar number: number of the permit, unique at this scheduler.
    :ivar edge: the edge that receives it.
    :ivar server: the backend server.
    :ivar workspace: workspace whose request may be sent.
    :ivar priority: priority class of the request.
    :ivar cost: estimated cost, which is charged until the true cost is known.
    :ivar sequence: sequence number of the edge's last demand report.
    :ivar elapsed: seconds since that report was received.
    :ivar runs: number of calls that may run under the permit.
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
        """Return the grant of a permit that becomes outstanding now."""
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
    Service to be added to the fleet-wide counters.

    :ivar workspace: workspace that received the service.
    :ivar cost: amount in the service's unit.
    """

    workspace: str
    cost: float


class ServiceParameters(NamedTuple):
    """
    Parameters that the configuration sets for a service.

    :ivar largest_cost: upper limit of the estimated cost of a request, in
        units.
    :ivar in_seconds: whether the cost unit is one second of a slot.
    :ivar expected_cost: cost assumed before anything has been learned, in
        units.
    :ivar batch_fraction: fraction of a workspace's share that batch requests
        are guaranteed.
    :ivar scheduler_count: number of routers that schedule servers of the
        service.
    """

    largest_cost: float = math.inf
    in_seconds: bool = False
    expected_cost: float = 1.0
    batch_fraction: float = 0.2
    scheduler_count: int = 1

    def count_calls_per_permit(self, estimate: float) -> int:
        """
        Return the number of calls that may run under one permit.

        Short calls share a permit, so that the exchange between two permits
        takes only a small fraction of the slot's time. A long call gets a
        permit of its own.

        :param estimate: estimated cost of one call, in units.
        """
        if not self.in_seconds:
            return 1
        min_permit_seconds = EXCHANGE_SECONDS / MAX_EXCHANGE_RATIO
        runs = math.ceil(
            min_permit_seconds / max(estimate, EXCHANGE_SECONDS / MAX_CALLS_PER_PERMIT)
        )
        return min(runs, MAX_CALLS_PER_PERMIT)
