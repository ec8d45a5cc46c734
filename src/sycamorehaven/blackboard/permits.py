"""Permits that this edge holds; written by the permit controller."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from sycamorehaven.identity import RouterId

MAX_UNACKNOWLEDGED_RETURNS = 4_096
"""Returned permits kept until they are acknowledged."""


class PermitKey(NamedTuple):
    """
    What identifies a permit in the fleet.

    :ivar scheduler: the router that granted it.
    :ivar number: its number there.
    """

    scheduler: RouterId
    number: int


class Permit:
    """
    A lease of one slot of a backend server.

    :param key: what identifies it.
    :param service: the service.
    :param server: the backend server.
    :param workspace: for whom.
    :param priority: class of the request bound to it.
    :param expires_at: until when a request may be sent under it, seconds of
        the monotonic clock.
    :param max_runs: how many calls it covers, one after the other.
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
        """What identifies it."""
        return self._key

    @property
    def service(self) -> str:
        """The service."""
        return self._service

    @property
    def server(self) -> str:
        """The backend server."""
        return self._server

    @property
    def workspace(self) -> str:
        """For whom."""
        return self._workspace

    @property
    def priority(self) -> str:
        """Class of the request bound to it."""
        return self._priority

    @property
    def expires_at(self) -> float:
        """Until when a request may be sent under it, monotonic seconds."""
        return self._expires_at

    @property
    def max_runs(self) -> int:
        """How many calls it covers, one after the other."""
        return self._max_runs

    @property
    def preempted(self) -> asyncio.Event:
        """Set when the scheduler wants the slot back."""
        return self._preempted


class UnacknowledgedReturn(NamedTuple):
    """
    A permit that was given back and whose return is not acknowledged.

    :ivar permit: the permit.
    :ivar settled_at: when, seconds of the monotonic clock.
    """

    permit: Permit
    returned_at: float


class PermitsSection:
    """Permits held, by key, and those whose return is not acknowledged."""

    def __init__(self) -> None:
        self._permits: dict[PermitKey, Permit] = {}
        self._unacknowledged_returns: dict[PermitKey, UnacknowledgedReturn] = {}

    def add(self, permit: Permit) -> None:
        """Hold a permit."""
        self._permits[permit.key] = permit

    def remove(self, key: PermitKey) -> Permit | None:
        """Hold a permit no longer; return it if it was held."""
        return self._permits.pop(key, None)

    def add_return(self, permit: Permit, now: float) -> None:
        """Keep a permit that was given back until that is acknowledged."""
        self._unacknowledged_returns[permit.key] = UnacknowledgedReturn(permit, now)
        if len(self._unacknowledged_returns) > MAX_UNACKNOWLEDGED_RETURNS:
            del self._unacknowledged_returns[next(iter(self._unacknowledged_returns))]

    def acknowledge_return(self, key: PermitKey) -> None:
        """Forget a permit that was given back."""
        self._unacknowledged_returns.pop(key, None)

    def find(self, key: PermitKey) -> Permit | None:
        """Return a permit that is held, or ``None``."""
        return self._permits.get(key)

    def list_unacknowledged_returns(self) -> list[UnacknowledgedReturn]:
        """Return the permits whose return is not acknowledged."""
        return list(self._unacknowledged_returns.values())

    def list(self) -> list[Permit]:
        """Return every permit held."""
        return list(self._permits.values())
