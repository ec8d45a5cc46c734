"""Messages between edges and schedulers."""

from __future__ import annotations

from typing import NamedTuple


class DemandRow(NamedTuple):
    """
    Requests that wait at one edge.

    :ivar workspace: whose they are.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    :ivar waiting: how many wait.
    :ivar oldest_age: age of the oldest, seconds.
    :ivar cost: estimated cost of one, in the service's unit.
    """

    workspace: str
    priority: str
    waiting: int
    oldest_age: float
    cost: float


class HeldPermit(NamedTuple):
    """
    A permit that an edge holds.

    :ivar scheduler: host of the router that granted it.
    :ivar incarnation: that router's incarnation.
    :ivar permit: its number, unique per scheduler incarnation.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class of the bound request.
    :ivar cost: cost so far, in the service's unit.
    :ivar resumable: whether the bound request can be preempted.
    :ivar accounted: whether the receiver charges the cost; another router
        does so otherwise.
    """

    scheduler: str
    incarnation: int
    permit: int
    server: str
    workspace: str
    priority: str
    cost: float
    resumable: bool
    accounted: bool


class PermitReturn(NamedTuple):
    """
    A permit given back; repeated in reports until it is acknowledged.

    :ivar scheduler: host of the router that granted it.
    :ivar incarnation: that router's incarnation.
    :ivar permit: its number.
    :ivar service: the service.
    :ivar server: the backend server.
    :ivar workspace: for whom it was.
    :ivar cost: true cost of all that ran under it, in the service's unit.
    :ivar runs: how many calls ran; 0 says that it was not used.
    :ivar failed: whether the server was lost, silent or overloaded.
    :ivar accounted: whether the receiver charges the cost.
    :ivar waiting: requests of the workspace that wait at the edge now.
    """

    scheduler: str
    incarnation: int
    permit: int
    service: str
    server: str
    workspace: str
    cost: float
    runs: int
    failed: bool
    accounted: bool
    waiting: int


class DemandReport(NamedTuple):
    """
    All that waits at an edge for one service; replaces its last report.

    :ivar service: the service.
    :ivar sequence: rises with every report of this edge.
    :ivar lifetime: seconds after which the report is void.
    :ivar rows: what waits.
    :ivar held: permits held for servers that the receiver schedules or has
        granted.
    :ivar settled: returns that the receiver has not acknowledged.
    """

    service: str
    sequence: int
    lifetime: float
    rows: list[DemandRow]
    held: list[HeldPermit]
    settled: list[PermitReturn]


class PermitGrant(NamedTuple):
    """
    A lease of one slot of a backend server.

    The lease is counted from the report that it answers, so that a grant
    which lay in a buffer while the edge was paused is seen to be too old.

    :ivar permit: number, unique per scheduler incarnation.
    :ivar service: the service.
    :ivar server: the backend server.
    :ivar workspace: for whom.
    :ivar priority: class that the scheduler chose.
    :ivar sequence: the edge's last report.
    :ivar elapsed: seconds from the receipt of that report to the grant.
    :ivar lease: seconds after the grant in which a request must be sent.
    :ivar runs: how many short calls it covers, one after the other.
    :ivar free: slots of the service still free at the scheduler.
    """

    permit: int
    service: str
    server: str
    workspace: str
    priority: str
    sequence: int
    elapsed: float
    lease: float
    runs: int
    free: int


class PermitAck(NamedTuple):
    """
    Grants or returns have come; they are repeated until then.

    :ivar scheduler: host of the router that granted the permits.
    :ivar incarnation: that router's incarnation.
    :ivar permits: their numbers.
    """

    scheduler: str
    incarnation: int
    permits: list[int]


class Preemption(NamedTuple):
    """
    An order to cancel the resumable stream under a permit.

    :ivar scheduler: host of the router that granted the permit.
    :ivar incarnation: that router's incarnation.
    :ivar permit: its number.
    """

    scheduler: str
    incarnation: int
    permit: int


class ServiceUnserved(NamedTuple):
    """
    No server of a service that the sender schedules takes work.

    :ivar service: the service.
    """

    service: str
