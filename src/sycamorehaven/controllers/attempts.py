"""Runs all attempts of one call, one after the other."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from sycamorehaven.controllers.call_sender import CallSender, start_permit_span
from sycamorehaven.decisions.preemption import is_preemptible
from sycamorehaven.decisions.retry_budget import AttemptFailure, decide_retry
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
    from sycamorehaven.controllers.call_sender import CallContext
    from sycamorehaven.controllers.suspect_guard import SuspectGuard
    from sycamorehaven.exceptions.refusals import WasRun
    from sycamorehaven.transport.responses import BackendResponse

RETRY_AFTER_SECONDS = 1.0
"""``Retry-After`` of the refusal after the last failed attempt."""
FIRST_BACKOFF_SECONDS = 0.005
"""
Delay before a call is queued again after its first unused permit.

The delay doubles with each further unused permit.
"""
MAX_BACKOFF_SECONDS = 0.25
"""Upper bound of the delay after an unused permit."""
BYTES_PER_TOKEN = 4
"""Bytes charged as one token if a model's answer is not an event stream."""
SERVER_FAILURES = (ConnectFailed, ServerLost, ServerSilent)
"""Errors after which the server should not be given the next call."""


class CallExecution:
    """
    Runs one call, from its first queueing to the end of its last attempt.

    :param call: the call.
    :param context: objects that all calls of this router share.
    :param guard: quarantine checks for the call's request.
    """

    def __init__(self, call: Call, context: CallContext, guard: SuspectGuard) -> None:
        self._call = call
        self._context = context
        self._guard = guard
        self._permit: Permit | None = None
        self._answer: BackendResponse | None = None
        self._arrived_at = context.clock()
        self._attempt_started_at = 0.0
        self._sender = CallSender(call, context)
        # Keyed by ``AttemptFailure.is_free``: whether the failed attempt was
        # exempt from the retry budget.
        self._failure_counts: Counter[bool] = Counter()
        self._unused_permit_count = 0
        self._preemption_count = 0
        self._may_have_been_sent = False

    @property
    def call(self) -> Call:
        """The call that is executed."""
        return self._call

    @property
    def was_run(self) -> WasRun:
        """
        Whether any attempt may have run on a server.

        The value is ``"unknown"`` once an attempt may have been sent, else
        ``"no"``.
        """
        return "unknown" if self._may_have_been_sent else "no"

    async def start(self, resume_from: int = 0) -> BackendResponse:
        """
        Return an answer as soon as its headers are known.

        :param resume_from: number of events that the caller already has.
        :raises Refusal: if the call is refused or its last attempt failed.
        """
        while True:
            try:
                self._answer = await self._make_attempt(resume_from)
            except BackendError as error:
                await self.handle_failure(error)
            except Refusal as refusal:
                if self._may_have_been_sent:
                    refusal.mark_outcome_uncertain(
                        is_retry_safe=self._call.rule.idempotent
                    )
                raise
            else:
                return self._answer

    async def handle_failure(self, error: BackendError) -> None:
        """
        End a failed attempt and return if another attempt may follow.

        :raises Refusal: if no further attempt may follow.
        """
        server = self._permit.server if self._permit else ""
        self._report_failure(error, server)
        failed = isinstance(error, (ServerLost, ServerSilent, ServerOverloaded))
        self._end_attempt(server_failed=failed)
        if isinstance(error, PermitUnused):
            await self._back_off()
        elif isinstance(error, RunPreempted):
            self._preemption_count += 1
            self.count_event("preemption")
        else:
            self._sender.avoid_server(server)
            self._check_retry(error)

    def charge_output(self, event_count: int, byte_count: int) -> None:
        """
        Add the output of a model to the cost of the current permit.

        :param event_count: complete events received; each counts as one token.
        :param byte_count: bytes received outside an event stream.
        """
        if self._permit is not None and self._call.service.kind == "model":
            self._permit.cost += event_count + byte_count / BYTES_PER_TOKEN

    def count_event(self, event: str) -> None:
        """Count an event of this call in the router's metrics."""
        self._context.board.outcomes.count_event(event)

    async def wait_for_preemption(self) -> None:
        """
        Return when the scheduler preempts the permit.

        Never returns if the call cannot be resumed and so cannot be preempted.
        """
        permit = self._permit
        if permit is None or not permit.resumable:
            await asyncio.Event().wait()
        else:
            await permit.preempted.wait()

    def record_broken_answer(self, error: BackendError) -> None:
        """End an attempt whose answer broke off and cannot be retried."""
        if self._permit is not None:
            self._report_failure(error, self._permit.server)
        self.count_event("broken_answer")
        self._end_attempt(server_failed=isinstance(error, SERVER_FAILURES))

    def finish(self) -> None:
        """End the call after its answer was relayed completely."""
        answer, call = self._answer, self._call
        if self._permit is None or answer is None:
            return
        self._context.admission_controller.queue_limits.record_service_time(
            call, self._context.clock() - self._attempt_started_at
        )
        self._end_attempt(server_failed=False)
        if answer.status < 500:
            self._guard.report_success()
        self._context.board.outcomes.count_answer(
            call.service.name, call.workspace.name, answer.status
        )

    def cancel(self) -> None:
        """Cancel the running attempt, if any, and release its permit."""
        if self._permit is not None:
            self.count_event("abandoned")
        self._end_attempt(server_failed=False)

    async def _make_attempt(self, resume_from: int) -> BackendResponse:
        """
        Queue the call and send it under the permit that it gets.

        :raises BackendError: if the attempt failed.
        :raises Refusal: if the call is refused.
        """
        is_repeat = bool(
            self._failure_counts or self._preemption_count or self._unused_permit_count
        )
        try:
            await self._guard.wait_for_clearance(self.was_run)
            self._permit = await self._context.admission_controller.wait_for_permit(
                self._call, at_front=is_repeat, arrived_at=self._arrived_at
            )
            with start_permit_span(self._permit):
                self._sender.get_permitted_server(self._permit)
                await self._guard.acquire_server_lease(
                    self._permit.server, self.was_run
                )
                # The permit may have become unusable during the wait above.
                server = self._sender.get_permitted_server(self._permit)
                return await self._send_to_server(server, self._permit, resume_from)
        except BackendError:
            raise
        except BaseException:
            self._end_attempt(server_failed=False)
            raise

    async def _send_to_server(
        self, server: BackendServer, permit: Permit, resume_from: int
    ) -> BackendResponse:
        """Send the call and note whether it may have reached the server."""
        permit.resumable = is_preemptible(self._call.rule, self._preemption_count)
        self._attempt_started_at = self._context.clock()
        was_sent_before, self._may_have_been_sent = self._may_have_been_sent, True
        try:
            return await self._sender.send(server, permit, resume_from)
        except BackendError as error:
            self._may_have_been_sent = was_sent_before or error.was_sent
            raise
        except Refusal:
            # Only the token guard refuses here, before it sends anything.
            self._may_have_been_sent = was_sent_before
            raise

    async def _back_off(self) -> None:
        """Wait before the call is queued again after an unused permit."""
        self._unused_permit_count += 1
        self.count_event("permit_unused")
        doublings = min(self._unused_permit_count - 1, 10)
        await asyncio.sleep(
            min(FIRST_BACKOFF_SECONDS * 2**doublings, MAX_BACKOFF_SECONDS)
        )

    def _check_retry(self, error: BackendError) -> None:
        """
        Return if another attempt may follow.

        :raises Refusal: if no further attempt may follow.
        """
        was_refused = isinstance(error, (ServerLeaving, ServerOverloaded))
        failure = AttemptFailure(error.was_sent, was_refused)
        self._failure_counts[failure.is_free] += 1
        self._guard.check_quarantine(self.was_run)
        decision = decide_retry(
            failure,
            self._failure_counts[failure.is_free],
            self._context.retry_budget,
            idempotent=self._call.rule.idempotent,
        )
        if decision.is_allowed:
            self.count_event("retry")
            return
        self.count_event(f"given_up_{decision.cause}")
        self._raise_final_refusal(error)

    def _report_failure(self, error: BackendError, server: str) -> None:
        """Report a failed server to the suspect registry and the fleet."""
        if isinstance(error, ServerLost):
            self.count_event("server_lost")
            self._guard.report_server_loss(
                server, self._context.clock() - self._attempt_started_at
            )
        reporter = self._context.failure_reporter
        if reporter is not None and isinstance(error, ServerLeaving):
            reporter.report_leaving(server)
        elif reporter is not None and isinstance(error, (ConnectFailed, ServerLost)):
            reporter.report_lost(server)

    def _raise_final_refusal(self, error: BackendError) -> None:
        may_repeat = self._call.rule.idempotent or not self._may_have_been_sent
        refusal_class = (
            BackendTimeout if isinstance(error, ServerSilent) else AttemptsExhausted
        )
        raise refusal_class(
            f"the last attempt failed: {error.detail}",
            was_run=self.was_run,
            retry_after=RETRY_AFTER_SECONDS if may_repeat else None,
        ) from error

    def _end_attempt(self, *, server_failed: bool) -> None:
        """
        Close the answer and release the leases and the permit.

        A call to a service that is not a model costs the seconds that it ran.
        """
        permit, self._permit = self._permit, None
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.close()
        self._guard.release_leases()
        if permit is None:
            return
        if self._attempt_started_at and self._call.service.kind != "model":
            permit.cost += self._context.clock() - self._attempt_started_at
        self._attempt_started_at = 0.0
        permit.failed = permit.failed or server_failed
        self._context.permit_releaser.release(permit)
