"""
Messages between edges and schedulers.

An edge is a router in its role of receiving calls; a scheduler is a router in
its role of granting permits to run calls on backend servers.
"""

from __future__ import annotations

from typing import NamedTuple


class DemandRow(NamedTuple):
    """
    The requests of one workspace and priority class that wait at an edge.

    :ivar workspace: name of the workspace.
    :ivar priority: ``"interactive"`` or ``"batch"``.
    :ivar waiting: number of waiting requests.
    :ivar oldest_age: age of the oldest request, seconds.
    :ivar cost: estimated cost of one request, in the service's unit.
    """

    workspace: str
    priority: str
    waiting: int
    oldest_age: float
    cost: float


class HeldPermit(NamedTuple):
    """
    A permit that an edge holds for a request.

    :ivar scheduler: host of the router that granted the permit.
    :ivar incarnation: incarnation of that router.
    :ivar permit: number of the permit, unique per scheduler incarnation.
    :ivar server: name of the backend server.
    :ivar workspace: workspace that the permit was granted to.
    :ivar priority: priority class of the request that uses the permit.
    :ivar cost: cost of the request so far, in the service's unit.
    :ivar resumable: whether the request is a resumable stream, which can be
        preempted.
    :ivar accounted: whether the receiver charges the cost to the workspace;
        otherwise another router does.
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
    Returns a permit to its scheduler.

    The edge repeats the return in its reports until it is acknowledged.

    :ivar scheduler: host of the router that granted the permit.
    :ivar incarnation: incarnation of that router.
    :ivar permit: number of the permit.
    :ivar service: name of the service.
    :ivar server: name of the backend server.
    :ivar workspace: workspace that the permit was granted to.
    :ivar cost: actual cost of all calls that ran under the permit, in the
        service's unit.
    :ivar runs: number of calls that ran; 0 means that the permit was not used.
    :ivar failed: whether the server was lost, silent or overloaded.
    :ivar accounted: whether the receiver charges the cost to the workspace.
    :ivar waiting: number of the workspace's requests that wait at the edge
        now.
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
    Reports all requests that wait at an edge for one service.

    A report replaces the edge's previous one for the service.

    :ivar service: name of the service.
    :ivar sequence: rises with every report of this edge.
    :ivar lifetime: seconds after which the report is no longer valid.
    :ivar rows: the waiting requests by workspace and priority class.
    :ivar held: permits that the edge holds and that are for servers which the
        receiver schedules, or that the receiver has granted.
    :ivar settled: returns that the receiver has not acknowledged yet.
    """

    service: str
    sequence: int
    lifetime: float
    rows: list[DemandRow]
    held: list[HeldPermit]
    settled: list[PermitReturn]


class PermitGrant(NamedTuple):
    """
    Grants an edge a lease of one slot of a backend server.

    The edge counts the lease from the time at which it sent the report that
    the grant responds to. So it recognizes a grant as expired that stayed in a
    buffer while the edge's process was paused.

    :ivar permit: number of the permit, unique per scheduler incarnation.
    :ivar service: name of the service.
    :ivar server: name of the backend server.
    :ivar workspace: workspace whose request may run.
    :ivar priority: priority class that the scheduler chose.
    :ivar sequence: sequence number of the edge's last report.
    :ivar elapsed: seconds from the receipt of that report to the grant.
    :ivar lease: seconds after the grant within which a request must be sent.
    :ivar runs: number of short calls that the permit covers, one after the
        other.
    :ivar free: slots of the service that are still free at the scheduler.
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
    Acknowledges grants or returns, which are repeated until then.

    :ivar scheduler: host of the router that granted the permits.
    :ivar incarnation: incarnation of that router.
    :ivar permits: numbers of the permits.
    """

    scheduler: str
    incarnation: int
    permits: list[int]


class Preemption(NamedTuple):
    """
    Orders an edge to cancel the resumable stream that uses a permit.

    :ivar scheduler: host of the router that granted the permit.
    :ivar incarnation: incarnation of that router.
    :ivar permit: number of the permit.
    """

    scheduler: str
    incarnation: int
    permit: int


class ServiceUnserved(NamedTuple):
    """
    Reports that no server of a service accepts work.

    The sender is the scheduler of the service's servers.

    :ivar service: name of the service.
    """

    service: str
