"""Sends one call to the backend servers for which it gets permits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from opentelemetry import trace

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.controllers.admission import AdmissionController, PermitReleaser
from sycamorehaven.decisions.retry_budget import RetryBudget
from sycamorehaven.exceptions.backends import PermitUnused, RunPreempted
from sycamorehaven.transport.backend_client import BackendClient

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from contextlib import AbstractContextManager

    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.transport.responses import BackendResponse

MAX_AVOIDED_PERMITS = 4
"""
Permits that a call returns because they name the server it failed on.

After that many it accepts the same server again.
"""

tracer = trace.get_tracer("sycamorehaven")


class ServerFailureReporter(Protocol):
    """Is told about backend servers that failed a call."""

    def report_lost(self, server: str) -> None:
        """Report a server that broke or refused a connection."""
        ...

    def report_leaving(self, server: str) -> None:
        """Report a server that refused a call because it is shutting down."""
        ...


class CallContext(NamedTuple):
    """
    Objects that all calls of this router share.

    :ivar board: shared state of this router.
    :ivar admission_controller: queues calls until they get permits.
    :ivar permit_releaser: receives permits that are no longer needed.
    :ivar backends: connections to backend servers.
    :ivar retry_budget: limits the retries of all calls together.
    :ivar failure_reporter: is told about servers that failed, or ``None``.
    :ivar clock: returns monotonic time in seconds.
    """

    board: Blackboard
    admission_controller: AdmissionController
    permit_releaser: PermitReleaser
    backends: BackendClient
    retry_budget: RetryBudget
    failure_reporter: ServerFailureReporter | None
    clock: Callable[[], float]


class CallSender:
    """
    Sends a call to the server that its permit names, if that is usable.

    :param call: the call.
    :param context: objects that all calls of this router share.
    """

    def __init__(self, call: Call, context: CallContext) -> None:
        self._call = call
        self._context = context
        self._failed_server = ""
        self._avoided_permit_count = 0

    def avoid_server(self, server: str) -> None:
        """Prefer other servers to the one that has just failed the call."""
        self._failed_server, self._avoided_permit_count = server, 0

    def get_permitted_server(self, permit: Permit) -> BackendServer:
        """
        Return the server that a permit names.

        :raises PermitUnused: if the permit has expired, if its server takes no
            work, or if the server has just failed the call and another one is
            available.
        """
        board, now = self._context.board, self._context.clock()
        configuration = board.configuration.current
        server = configuration.servers.get(permit.server) if configuration else None
        if configuration is None or server is None or now > permit.expires_at:
            raise PermitUnused(
                "the permit has expired or its backend server is unknown"
            )
        if not board.server_statuses.takes_work(server.name, now):
            raise PermitUnused("the backend server takes no new work")
        if (
            server.name != self._failed_server
            or self._avoided_permit_count >= MAX_AVOIDED_PERMITS
        ):
            return server
        for other in configuration.list_servers(permit.service):
            if other != server and board.server_statuses.takes_work(other.name, now):
                self._avoided_permit_count += 1
                raise PermitUnused("the backend server has just failed the call")
        return server

    async def send(
        self,
        server: BackendServer,
        permit: Permit,
        resume_from: int,
    ) -> BackendResponse:
        """
        Return the server's answer as soon as its headers are read.

        :param resume_from: number of events that the caller already has.
        :raises BackendError: if the attempt failed.
        """
        permit.used_runs += 1
        sending = self._context.backends.send(
            server, self._call, resume_from=resume_from
        )
        with tracer.start_as_current_span(
            "backend attempt", attributes={"server": server.name}
        ):
            if not permit.resumable:
                return await sending
            return await send_until_preempted(sending, permit)


def start_permit_span(permit: Permit) -> AbstractContextManager[trace.Span]:
    """
    Start the trace span for the use of a permit.

    It lasts until the headers of the answer are read.
    """
    return tracer.start_as_current_span(
        "permit",
        attributes={
            "permit.scheduler": permit.key.scheduler.host,
            "permit.number": permit.key.number,
            "permit.server": permit.server,
        },
    )


async def send_until_preempted(
    sending: Coroutine[Any, Any, BackendResponse], permit: Permit
) -> BackendResponse:
    """
    Return the answer, or cancel the sending if the permit is preempted.

    :raises RunPreempted: if the permit is preempted first.
    """
    task = asyncio.ensure_future(sending)
    preemption = asyncio.ensure_future(permit.preempted.wait())
    try:
        await asyncio.wait({task, preemption}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise RunPreempted
        return task.result()
    except asyncio.CancelledError:
        if task.done() and not task.cancelled() and task.exception() is None:
            task.result().close()
        raise
    finally:
        preemption.cancel()
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
