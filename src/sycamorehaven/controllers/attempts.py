"""The attempts of one call, one after the other."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from opentelemetry import trace

from sycamorehaven.blackboard.board import Blackboard
from sycamorehaven.controllers.admission import Admission, PermitHolder
from sycamorehaven.decisions.preemption import is_preemptible
from sycamorehaven.decisions.retry_budget import Failure, RetryBudget, decide_retry
from sycamorehaven.exceptions.backends import (
    BackendError,
    ConnectFailed,
    PermitUnused,
    RunPreempted,
    ServerLeaving,
    ServerLost,
    ServerOverloaded,
    ServerSilent,
)
from sycamorehaven.exceptions.refusals import AttemptsExhausted, BackendTimeout, Refusal
from sycamorehaven.transport.backends import Backends

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from contextlib import AbstractContextManager

    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.controllers.guards import SuspectGuard
    from sycamorehaven.exceptions.refusals import WasRun
    from sycamorehaven.transport.backends import BackendAnswer

RETRY_AFTER = 1.0
"""Seconds a caller is asked to wait after failed attempts."""
MOST_AVOIDED = 4
"""Permits returned unused because the server has just failed the call."""
FIRST_PAUSE = 0.005
"""Seconds before a call queues again after an unused permit; doubles."""
LONGEST_PAUSE = 0.25
TOKEN_BYTES = 4
"""Bytes of a model's plain answer that are charged as one token."""

tracer = trace.get_tracer("sycamorehaven")


class ServerReports(Protocol):
    """Hears of backend servers that failed a call."""

    def report_lost(self, server: str) -> None:
        """Note that a server broke a connection or refused one."""
        ...

    def report_leaving(self, server: str) -> None:
        """Note that a server refused a call because it is leaving."""
        ...


class Edge(NamedTuple):
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
    admission: Admission
    permits: PermitHolder
    backends: Backends
    budget: RetryBudget
    reports: ServerReports | None
    clock: Callable[[], float]


class CallRun:
    """
    One call from its first queueing to its last attempt.

    :param call: the call.
    :param edge: what every call uses.
    :param guard: what the call may do by the strikes of its request.
    """

    def __init__(self, call: Call, edge: Edge, guard: SuspectGuard) -> None:
        self._call = call
        self._edge = edge
        self._guard = guard
        self._permit: Permit | None = None
        self._answer: BackendAnswer | None = None
        self._since = edge.clock()
        self._started = 0.0
        self._failed_server = ""
        self._failures: Counter[bool] = Counter()
        self._unused = 0
        self._avoided = 0
        self._preemptions = 0
        self._sent = False

    @property
    def call(self) -> Call:
        """The call."""
        return self._call

    @property
    def was_run(self) -> WasRun:
        """Whether any attempt may have run, by what was sent."""
        return "unknown" if self._sent else "no"

    async def start(self, resume_from: int = 0) -> BackendAnswer:
        """
        Return an answer once its headers are known.

        :param resume_from: events that the caller already has.
        :raises Refusal: if the call is refused or its attempts failed.
        """
        while True:
            try:
                self._answer = await self._attempt(resume_from)
            except BackendError as error:
                await self.take_failure(error)
            except Refusal as refusal:
                if self._sent:
                    again = self._call.rule.idempotent
                    refusal.mark_unknown(keep_retry_after=again)
                raise
            else:
                return self._answer

    async def take_failure(self, error: BackendError) -> None:
        """
        Settle a failed attempt; return if the call is to be tried again.

        :raises Refusal: if it is not.
        """
        server = self._permit.server if self._permit else ""
        self._report(error, server)
        failed = isinstance(error, (ServerLost, ServerSilent, ServerOverloaded))
        self._settle(failed=failed)
        if isinstance(error, PermitUnused):
            await self._pause()
        elif isinstance(error, RunPreempted):
            self._preemptions += 1
            self.count("preemption")
        else:
            self._failed_server, self._avoided = server, 0
            self._judge(error)

    def charge(self, events: int, size: int) -> None:
        """
        Let the permit's cost grow with the answer.

        :param events: whole events that came.
        :param size: bytes that came outside an event stream.
        """
        if self._permit is not None and self._call.service.kind == "model":
            self._permit.cost += events + size / TOKEN_BYTES

    def count(self, event: str) -> None:
        """Count an event of the call."""
        self._edge.board.outcomes.count_event(event)

    async def wait_for_preemption(self) -> None:
        """Return when the slot is wanted back, if the call can give it."""
        permit = self._permit
        if permit is None or not permit.resumable:
            await asyncio.Event().wait()
        else:
            await permit.preempted.wait()

    def break_off(self, error: BackendError) -> None:
        """Settle an answer that broke off and is not tried again."""
        if self._permit is not None:
            self._report(error, self._permit.server)
        self.count("broken_answer")
        self._settle(failed=isinstance(error, (ServerLost, ServerSilent)))

    def finish(self) -> None:
        """Settle after the whole answer."""
        answer, call = self._answer, self._call
        if self._permit is None or answer is None:
            return
        self._edge.admission.limits.learn_service_time(
            call, self._edge.clock() - self._started
        )
        self._settle(failed=False)
        if answer.status < 500:
            self._guard.acquit()
        self._edge.board.outcomes.count_answer(
            call.service.name, call.workspace.name, answer.status
        )

    def abandon(self) -> None:
        """Cancel what runs, if anything does, and give the permit back."""
        if self._permit is not None:
            self.count("abandoned")
        self._settle(failed=False)

    async def _attempt(self, resume_from: int) -> BackendAnswer:
        again = bool(self._failures or self._preemptions or self._unused)
        try:
            await self._guard.clear(self.was_run)
            self._permit = await self._edge.admission.wait_for_permit(
                self._call, first=again, since=self._since
            )
            with trace_permit(self._permit):
                self._check_permit(self._permit)
                await self._guard.enter(self._permit.server, self.was_run)
                server = self._check_permit(self._permit)
                return await self._send(server, self._permit, resume_from)
        except BackendError:
            raise
        except BaseException:
            self._settle(failed=False)
            raise

    def _check_permit(self, permit: Permit) -> BackendServer:
        board, now = self._edge.board, self._edge.clock()
        configuration = board.configuration.current
        server = configuration.servers.get(permit.server) if configuration else None
        if configuration is None or server is None or now > permit.expires_at:
            raise PermitUnused("the permit is no longer valid")
        if not board.servers.takes_work(server.name, now):
            raise PermitUnused("the server takes no new work")
        if server.name != self._failed_server or self._avoided >= MOST_AVOIDED:
            return server
        for other in configuration.list_servers(permit.service):
            if other != server and board.servers.takes_work(other.name, now):
                self._avoided += 1
                raise PermitUnused("the server has just failed the call")
        return server

    async def _send(
        self, server: BackendServer, permit: Permit, resume_from: int
    ) -> BackendAnswer:
        rule = self._call.rule
        permit.used_runs += 1
        permit.resumable = is_preemptible(rule, self._preemptions)
        self._started = self._edge.clock()
        sent_before, self._sent = self._sent, True
        sending = self._edge.backends.send(server, self._call, resume_from=resume_from)
        try:
            with tracer.start_as_current_span(
                "backend attempt", attributes={"server": server.name}
            ):
                if not permit.resumable:
                    return await sending
                return await run_until_preempted(sending, permit)
        except BackendError as error:
            self._sent = sent_before or error.sent
            raise

    async def _pause(self) -> None:
        self._unused += 1
        self.count("permit_unused")
        doublings = min(self._unused - 1, 10)
        await asyncio.sleep(min(FIRST_PAUSE * 2**doublings, LONGEST_PAUSE))

    def _judge(self, error: BackendError) -> None:
        refused = isinstance(error, (ServerLeaving, ServerOverloaded))
        failure = Failure(error.sent, refused)
        self._failures[failure.is_free] += 1
        self._guard.check(self.was_run)
        verdict = decide_retry(
            failure,
            self._failures[failure.is_free],
            self._edge.budget,
            idempotent=self._call.rule.idempotent,
        )
        if verdict.again:
            self.count("retry")
            return
        self.count(f"given_up_{verdict.cause}")
        self._give_up(error)

    def _report(self, error: BackendError, server: str) -> None:
        if isinstance(error, ServerLost):
            self.count("server_lost")
            self._guard.strike(server, self._edge.clock() - self._started)
        reports = self._edge.reports
        if reports is not None and isinstance(error, ServerLeaving):
            reports.report_leaving(server)
        elif reports is not None and isinstance(error, (ConnectFailed, ServerLost)):
            reports.report_lost(server)

    def _give_up(self, error: BackendError) -> None:
        again = self._call.rule.idempotent or not self._sent
        kind = BackendTimeout if isinstance(error, ServerSilent) else AttemptsExhausted
        raise kind(
            f"the last attempt failed: {error.detail}",
            was_run=self.was_run,
            retry_after=RETRY_AFTER if again else None,
        ) from error

    def _settle(self, *, failed: bool) -> None:
        permit, self._permit = self._permit, None
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.close()
        self._guard.leave()
        if permit is None:
            return
        if self._started and self._call.service.kind != "model":
            permit.cost += self._edge.clock() - self._started
        self._started = 0.0
        permit.failed = permit.failed or failed
        self._edge.permits.release(permit)


def trace_permit(permit: Permit) -> AbstractContextManager[trace.Span]:
    """Return a span for the use of a permit until the answer's headers."""
    return tracer.start_as_current_span(
        "permit",
        attributes={
            "permit.scheduler": permit.key.scheduler.host,
            "permit.number": permit.key.number,
            "permit.server": permit.server,
        },
    )


async def run_until_preempted(
    sending: Coroutine[Any, Any, BackendAnswer], permit: Permit
) -> BackendAnswer:
    """
    Return the answer, or cancel the sending when the slot is wanted back.

    :raises RunPreempted: if the permit is preempted first.
    """
    task = asyncio.ensure_future(sending)
    watching = asyncio.ensure_future(permit.preempted.wait())
    try:
        await asyncio.wait({task, watching}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise RunPreempted
        return task.result()
    except asyncio.CancelledError:
        if task.done() and not task.cancelled() and task.exception() is None:
            task.result().close()
        raise
    finally:
        watching.cancel()
        if not task.done():
            task.cancel()
            await asyncio.wait({task})
