"""Permits that this edge holds, written by the permit controller."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from sycamorehaven.identity import RouterId

MAX_UNACKNOWLEDGED_RETURNS = 4_096
"""Limit of returned permits that are kept; the oldest is dropped first."""


class PermitKey(NamedTuple):
    """
    Identifies a permit in the fleet.

    :ivar scheduler: router whose scheduler granted the permit.
    :ivar number: number of the permit among those of that scheduler.
    """

    scheduler: RouterId
    number: int


class Permit:
    """
    A lease of one slot of a backend server.

    :param key: identifies the permit.
    :param service: name of the service.
    :param server: name of the backend server.
    :param workspace: workspace that the permit was granted to.
    :param priority: priority class of the request that is bound to it.
    :param expires_at: until when a request may be sent under the permit, in
        seconds of the monotonic clock.
    :param max_runs: number of consecutive calls that the permit covers.
    :ivar used_runs: number of calls sent under the permit so far.
    :ivar cost: cost of these calls so far, in the unit of the service.
    :ivar resumable: whether the current call is a resumable stream that may
        still be preempted.
    :ivar failed: whether the server failed a call under the permit.
    """

    def __init__(
        self,
        key: PermitKey,
        service: str,
        server: str,
        workspace: str,
        priority: str,
        expires_at: float,
        max_runs: int,
    ) -> None:
        self._key = key
        self._service = service
        self._server = server
        self._workspace = workspace
        self._priority = priority
        self._expires_at = expires_at
        self._max_runs = max_runs
        self._preempted = asyncio.Event()
        self.used_runs = 0
        self.cost = 0.0
        self.resumable = False
        self.failed = False

    @property
    def key(self) -> PermitKey:
        """Identifies the permit."""
        return self._key

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    @property
    def server(self) -> str:
        """Name of the backend server."""
        return self._server

    @property
    def workspace(self) -> str:
        """Workspace that the permit was granted to."""
        return self._workspace

    @property
    def priority(self) -> str:
        """Priority class of the request that is bound to the permit."""
        return self._priority

    @property
    def expires_at(self) -> float:
        """Until when a request may be sent under it, in monotonic seconds."""
        return self._expires_at

    @property
    def max_runs(self) -> int:
        """Number of consecutive calls that the permit covers."""
        return self._max_runs

    @property
    def preempted(self) -> asyncio.Event:
        """Set when the scheduler preempts the permit."""
        return self._preempted


class UnacknowledgedReturn(NamedTuple):
    """
    A returned permit whose scheduler has not acknowledged the return.

    :ivar permit: the permit.
    :ivar returned_at: when it was returned, in seconds of the monotonic
        clock.
    """

    permit: Permit
    returned_at: float


class PermitsSection:
    """The held permits, and the returns that await an acknowledgement."""

    def __init__(self) -> None:
        self._permits: dict[PermitKey, Permit] = {}
        self._unacknowledged_returns: dict[PermitKey, UnacknowledgedReturn] = {}

    def add(self, permit: Permit) -> None:
        """Add a permit to those held."""
        self._permits[permit.key] = permit

    def remove(self, key: PermitKey) -> Permit | None:
        """Remove a permit from those held; return it, or ``None``."""
        return self._permits.pop(key, None)

    def add_return(self, permit: Permit, now: float) -> None:
        """Keep a returned permit until its return is acknowledged."""
        self._unacknowledged_returns[permit.key] = UnacknowledgedReturn(permit, now)
        if len(self._unacknowledged_returns) > MAX_UNACKNOWLEDGED_RETURNS:
            del self._unacknowledged_returns[next(iter(self._unacknowledged_returns))]

    def acknowledge_return(self, key: PermitKey) -> None:
        """Remove a returned permit, as its return is acknowledged."""
        self._unacknowledged_returns.pop(key, None)

    def find(self, key: PermitKey) -> Permit | None:
        """Return a held permit, or ``None``."""
        return self._permits.get(key)

    def list_unacknowledged_returns(self) -> list[UnacknowledgedReturn]:
        """Return all returns that await an acknowledgement."""
        return list(self._unacknowledged_returns.values())

    def list(self) -> list[Permit]:
        """Return all held permits."""
        return list(self._permits.values())
