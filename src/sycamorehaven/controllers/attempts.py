"""The attempts of one call, one after the other."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from sycamorehaven.controllers.sending import Sender, trace_permit
from sycamorehaven.decisions.preemption import is_preemptible
from sycamorehaven.decisions.retry_budget import Failure, decide_retry
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

if TYPE_CHECKING:
    from sycamorehaven.blackboard.permits import Permit
    from sycamorehaven.call import Call
    from sycamorehaven.configuration.model import BackendServer
    from sycamorehaven.controllers.guards import SuspectGuard
    from sycamorehaven.controllers.sending import Edge
    from sycamorehaven.exceptions.refusals import WasRun
    from sycamorehaven.transport.responses import BackendResponse

RETRY_AFTER = 1.0
"""Seconds a caller is asked to wait after failed attempts."""
FIRST_PAUSE = 0.005
"""Seconds before a call queues again after an unused permit; doubles."""
LONGEST_PAUSE = 0.25
TOKEN_BYTES = 4
"""Bytes of a model's plain answer that are charged as one token."""
SERVER_FAULTS = (ConnectFailed, ServerLost, ServerSilent)
"""Failures that say that a server is not to be trusted with the next call."""


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
        self._answer: BackendResponse | None = None
        self._since = edge.clock()
        self._started = 0.0
        self._sender = Sender(call, edge)
        self._failures: Counter[bool] = Counter()
        self._unused = 0
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

    async def start(self, resume_from: int = 0) -> BackendResponse:
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
                    refusal.doubt(may_repeat=self._call.rule.idempotent)
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
            self._sender.avoid(server)
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
        self._settle(failed=isinstance(error, SERVER_FAULTS))

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

    async def _attempt(self, resume_from: int) -> BackendResponse:
        again = bool(self._failures or self._preemptions or self._unused)
        try:
            await self._guard.clear(self.was_run)
            self._permit = await self._edge.admission.wait_for_permit(
                self._call, first=again, since=self._since
            )
            with trace_permit(self._permit):
                self._sender.choose_server(self._permit)
                await self._guard.enter(self._permit.server, self.was_run)
                server = self._sender.choose_server(self._permit)
                return await self._send(server, self._permit, resume_from)
        except BackendError:
            raise
        except BaseException:
            self._settle(failed=False)
            raise

    async def _send(
        self, server: BackendServer, permit: Permit, resume_from: int
    ) -> BackendResponse:
        permit.resumable = is_preemptible(self._call.rule, self._preemptions)
        self._started = self._edge.clock()
        sent_before, self._sent = self._sent, True
        try:
            return await self._sender.send(server, permit, resume_from)
        except BackendError as error:
            self._sent = sent_before or error.sent
            raise
        except Refusal:
            # The token guard refuses before anything is sent.
            self._sent = sent_before
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
