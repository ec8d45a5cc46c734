"""
Limits how a request may run that is suspected of crashing servers.

A suspect request runs in one call at a time. For the first part of its run,
while it is isolated, no other suspect request runs on the same backend server.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from sycamorehaven.decisions.quarantine import fingerprint_request, hash_server
from sycamorehaven.exceptions.backends import PermitUnused
from sycamorehaven.exceptions.refusals import DeadlineUnreachable, RequestQuarantined

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Call
    from sycamorehaven.controllers.quarantine import Lease
    from sycamorehaven.exceptions.refusals import WasRun

LEASE_RETRY_SECONDS = 0.25
"""Time between two attempts to acquire a lease that another call holds."""


class SuspectRegistry(Protocol):
    """Fleet-wide registry of strikes against requests and of their leases."""

    def report_loss(
        self, fingerprint: bytes, server: str, run_seconds: float, *, alone: bool
    ) -> None:
        """
        Add a strike to a request, because a server was lost while running it.

        :param fingerprint: hash that identifies the request.
        :param server: the server that was lost.
        :param run_seconds: how long the request had been running, in seconds.
        :param alone: whether no other suspect request ran on the server.
        """
        ...

    def report_success(self, fingerprint: bytes) -> None:
        """Clear the strikes of a request that was answered completely."""
        ...

    async def acquire(
        self, key: bytes, isolation_seconds: float | None = None
    ) -> Lease | None:
        """
        Try once to acquire a lease.

        :param key: hash of the request or the server that the lease is for.
        :param isolation_seconds: seconds after which the lease is released
            automatically, ``None`` for never.
        :returns: the lease, or ``None`` if it is not available now.
        """
        ...

    def release(self, lease: Lease) -> None:
        """Release a lease."""
        ...


class SuspectGuard:
    """
    Applies the quarantine rules to one call.

    :param call: the call.
    :param board: shared state of this router.
    :param registry: fleet-wide registry of strikes and leases.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        call: Call,
        board: Blackboard,
        registry: SuspectRegistry,
        clock: Callable[[], float],
    ) -> None:
        self._call = call
        self._board = board
        self._registry = registry
        self._clock = clock
        self._fingerprint = fingerprint_request(
            call.workspace.name, call.service.name, call.method, call.path, call.body
        )
        self._request_lease: Lease | None = None
        self._server_lease: Lease | None = None

    async def wait_for_clearance(self, was_run: WasRun) -> None:
        """
        Wait until the call may be queued.

        A suspect request needs the lease on its fingerprint first.

        :param was_run: whether an earlier attempt of the call may have run.
        :raises RequestQuarantined: if the request has crashed too many
            servers.
        :raises DeadlineUnreachable: if the deadline of the call passes while
            other calls hold the lease.
        """
        while self._is_suspect(was_run) and self._request_lease is None:
            self._request_lease = await self._registry.acquire(self._fingerprint)
            if self._request_lease is not None:
                continue
            if self._clock() >= self._call.deadline:
                raise DeadlineUnreachable(
                    "another call with the same suspect request is running",
                    was_run=was_run,
                    retry_after=LEASE_RETRY_SECONDS,
                )
            await asyncio.sleep(LEASE_RETRY_SECONDS)

    async def acquire_server_lease(self, server: str, was_run: WasRun) -> None:
        """
        Acquire the lease on a server if the request is suspect.

        :param server: name of the server.
        :param was_run: whether an earlier attempt of the call may have run.
        :raises PermitUnused: if the server runs another suspect request, or if
            the request has become suspect since it was queued.
        :raises RequestQuarantined: if the request has crashed too many
            servers.
        """
        if not self._is_suspect(was_run):
            return
        if self._request_lease is None:
            raise PermitUnused("the request has become suspect while it was queued")
        status = self._board.suspect_requests.assess(self._fingerprint, self._clock())
        server_key = hash_server(server)
        self._server_lease = await self._registry.acquire(
            server_key, status.isolation_seconds
        )
        if self._server_lease is None:
            raise PermitUnused("the backend server runs another suspect request")
        self._is_suspect(was_run)

    def report_server_loss(self, server: str, run_seconds: float) -> None:
        """
        Report that a server was lost while it ran the call.

        :param server: name of the server.
        :param run_seconds: how long the call had been running.
        """
        lease = self._server_lease
        ran_alone = lease is not None and self._clock() < lease.expires_at
        self._registry.report_loss(
            self._fingerprint, server, run_seconds, alone=ran_alone
        )

    def report_success(self) -> None:
        """Report that the call was answered completely."""
        self._registry.report_success(self._fingerprint)

    def release_leases(self) -> None:
        """Release the leases after a run."""
        for lease in (self._server_lease, self._request_lease):
            if lease is not None:
                self._registry.release(lease)
        self._server_lease = self._request_lease = None

    def check_quarantine(self, was_run: WasRun) -> None:
        """
        Check that the request is not quarantined.

        :param was_run: whether an earlier attempt of the call may have run.
        :raises RequestQuarantined: if the request has crashed too many
            servers.
        """
        self._is_suspect(was_run)

    def _is_suspect(self, was_run: WasRun) -> bool:
        """
        Return whether the request is suspect.

        :raises RequestQuarantined: if it is quarantined.
        """
        status = self._board.suspect_requests.assess(self._fingerprint, self._clock())
        may_repeat = was_run == "no" or self._call.rule.idempotent
        if status.state == "quarantined":
            raise RequestQuarantined(
                "several backend servers were lost while they ran this request",
                was_run=was_run,
                retry_after=status.remaining_seconds if may_repeat else None,
            )
        return status.state == "suspect"
