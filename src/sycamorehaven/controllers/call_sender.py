"""Sends one call under its permits."""

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
"""Permits returned unused because the server has just failed the call."""

tracer = trace.get_tracer("sycamorehaven")


class ServerFailureReporter(Protocol):
    """Hears of backend servers that failed a call."""

    def report_lost(self, server: str) -> None:
        """Note that a server broke a connection or refused one."""
        ...

    def report_leaving(self, server: str) -> None:
        """Note that a server refused a call because it is leaving."""
        ...


class CallContext(NamedTuple):
    """
    What every call of this router uses.

    :ivar board: the state of this router.
    :ivar admission: waits for permits.
    :ivar permits: takes permits back.
    :ivar backends: connections to backend servers.
    :ivar budget: retries left.
    :ivar reports: hears of servers that failed, if anybody does.
    :ivar clock: monotonic seconds.
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
    Sends a call to the server of a permit, if that is fit.

    :param call: the call.
    :param edge: what every call uses.
    """

    def __init__(self, call: Call, context: CallContext) -> None:
        self._call = call
        self._context = context
        self._failed_server = ""
        self._avoided_permits = 0

    def avoid_server(self, server: str) -> None:
        """Pass over a server that has just failed, if another is granted."""
        self._failed_server, self._avoided_permits = server, 0

    def get_permitted_server(self, permit: Permit) -> BackendServer:
        """
        Return the server of a permit.

        :raises PermitUnused: if nothing may be sent under the permit now.
        """
        board, now = self._context.board, self._context.clock()
        configuration = board.configuration.current
        server = configuration.servers.get(permit.server) if configuration else None
        if configuration is None or server is None or now > permit.expires_at:
            raise PermitUnused("the permit is no longer valid")
        if not board.servers.takes_work(server.name, now):
            raise PermitUnused("the server takes no new work")
        if (
            server.name != self._failed_server
            or self._avoided_permits >= MAX_AVOIDED_PERMITS
        ):
            return server
        for other in configuration.list_servers(permit.service):
            if other != server and board.servers.takes_work(other.name, now):
                self._avoided_permits += 1
                raise PermitUnused("the server has just failed the call")
        return server

    async def send(
        self,
        server: BackendServer,
        permit: Permit,
        resume_from: int,
    ) -> BackendResponse:
        """
        Return the server's answer once its headers are read.

        :param resume_from: events that the caller already has.
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
    """Return a span for the use of a permit until the answer's headers."""
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
    Return the answer, or cancel the sending when the slot is wanted back.

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
