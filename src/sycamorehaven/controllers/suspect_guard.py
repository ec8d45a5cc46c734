"""Keeps a suspect request from running beside itself or another suspect."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from sycamorehaven.decisions.quarantine import hash_request, hash_server
from sycamorehaven.exceptions.backends import PermitUnused
from sycamorehaven.exceptions.refusals import DeadlineUnreachable, RequestQuarantined

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Call
    from sycamorehaven.controllers.quarantine import Lease
    from sycamorehaven.exceptions.refusals import WasRun

LEASE_RETRY_SECONDS = 0.25
"""Seconds between two requests for a lease that another run holds."""


class SuspectRegistry(Protocol):
    """Strikes and leases, fleet-wide."""

    def report_loss(
        self, fingerprint: bytes, server: str, ran: float, *, alone: bool
    ) -> None:
        """Strike a request during whose run a server was lost."""
        ...

    def report_success(self, fingerprint: bytes) -> None:
        """Clear a request that was answered whole, if it has strikes."""
        ...

    async def acquire(self, key: bytes, probation: float | None = None) -> Lease | None:
        """Ask for a lease once; ``None`` if it cannot be had now."""
        ...

    def release(self, lease: Lease) -> None:
        """Give a lease back."""
        ...


class SuspectGuard:
    """
    What one call may do, by the strikes of its request.

    :param call: the call.
    :param board: the state of this router.
    :param ledger: strikes and leases.
    :param clock: monotonic seconds.
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
        self._fingerprint = hash_request(
            call.workspace.name, call.service.name, call.method, call.path, call.body
        )
        self._request_lease: Lease | None = None
        self._server_lease: Lease | None = None

    async def wait_for_clearance(self, was_run: WasRun) -> None:
        """
        Wait until the call may be queued.

        :param was_run: whether an earlier attempt of the call may have run.
        :raises RequestQuarantined: if its request lost too many servers.
        :raises DeadlineUnreachable: if other runs hold the lease too long.
        """
        while self._is_suspect(was_run) and self._request_lease is None:
            self._request_lease = await self._registry.acquire(self._fingerprint)
            if self._request_lease is not None:
                continue
            if self._clock() >= self._call.deadline:
                raise DeadlineUnreachable(
                    "the request is suspect and others like it run",
                    was_run=was_run,
                    retry_after=LEASE_RETRY_SECONDS,
                )
            await asyncio.sleep(LEASE_RETRY_SECONDS)

    async def acquire_server_lease(self, server: str, was_run: WasRun) -> None:
        """
        Get a server without another suspect, if the call is suspect now.

        :raises PermitUnused: if the server runs another suspect.
        :raises RequestQuarantined: if its request lost too many servers.
        """
        if not self._is_suspect(was_run):
            return
        if self._request_lease is None:
            raise PermitUnused("the request has become suspect")
        judgement = self._board.suspects.judge(self._fingerprint, self._clock())
        server_key = hash_server(server)
        self._server_lease = await self._registry.acquire(
            server_key, judgement.isolation_seconds
        )
        if self._server_lease is None:
            raise PermitUnused("another suspect runs on the server")
        self._is_suspect(was_run)

    def report_server_loss(self, server: str, run_seconds: float) -> None:
        """Report that the server was lost while it ran the call."""
        lease = self._server_lease
        ran_alone = lease is not None and self._clock() < lease.expires_at
        self._registry.report_loss(
            self._fingerprint, server, run_seconds, alone=ran_alone
        )

    def report_success(self) -> None:
        """Report that the call was answered whole."""
        self._registry.report_success(self._fingerprint)

    def release_leases(self) -> None:
        """Give the leases back after a run."""
        for lease in (self._server_lease, self._request_lease):
            if lease is not None:
                self._registry.release(lease)
        self._server_lease = self._request_lease = None

    def check_quarantine(self, was_run: WasRun) -> None:
        """
        Check that the request may still run.

        :raises RequestQuarantined: if it lost too many servers.
        """
        self._is_suspect(was_run)

    def _is_suspect(self, was_run: WasRun) -> bool:
        judgement = self._board.suspects.judge(self._fingerprint, self._clock())
        may_repeat = was_run == "no" or self._call.rule.idempotent
        if judgement.state == "quarantined":
            raise RequestQuarantined(
                "backend servers were lost while they ran this request",
                was_run=was_run,
                retry_after=judgement.remaining_seconds if may_repeat else None,
            )
        return judgement.state == "suspect"
