"""Takes a call from admission to the end of its answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from absl import logging

from sycamorehaven.call import Answer
from sycamorehaven.controllers.admission import AdmissionController
from sycamorehaven.controllers.attempts import CallExecution
from sycamorehaven.controllers.call_sender import CallContext
from sycamorehaven.controllers.streams import AnswerStream, is_resumable
from sycamorehaven.controllers.suspect_guard import SuspectGuard
from sycamorehaven.decisions.retry_budget import RetryBudget
from sycamorehaven.exceptions.refusals import InternalError, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Call
    from sycamorehaven.controllers.admission import PermitReleaser
    from sycamorehaven.controllers.call_sender import ServerFailureReporter
    from sycamorehaven.controllers.suspect_guard import SuspectRegistry
    from sycamorehaven.transport.backend_client import BackendClient
    from sycamorehaven.transport.headers import Headers
    from sycamorehaven.transport.responses import BackendResponse


class CallController:
    """
    Queues a call, waits for its permit, sends it and relays the answer.

    :param board: the state of this router.
    :param permits: takes permits back.
    :param backends: connections to backend servers.
    :param suspects: strikes and leases, fleet-wide.
    :param reports: hears of servers that failed.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        permits: PermitReleaser,
        backends: BackendClient,
        suspects: SuspectRegistry,
        failure_reporter: ServerFailureReporter | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._suspect_registry = suspects
        self._clock = clock
        self._admission_controller = AdmissionController(board, permits, clock)
        self._retry_budget = RetryBudget()
        self._context = CallContext(
            board,
            self._admission_controller,
            permits,
            backends,
            self._retry_budget,
            failure_reporter,
            clock,
        )

    async def answer(self, call: Call) -> Answer:
        """
        Return the answer to a call once its headers are known.

        :raises Refusal: if the call is refused or its attempts failed.
        """
        self._admission_controller.admit(call)
        self._retry_budget.record_request()
        guard = SuspectGuard(call, self._board, self._suspect_registry, self._clock)
        run = CallExecution(call, self._context, guard)
        try:
            answer = await run.start()
        except Refusal:
            raise
        except Exception as error:
            logging.exception("request %s failed", call.request_id)
            raise InternalError(
                "the router failed while it handled the request", was_run=run.was_run
            ) from error
        stream = AnswerStream.from_answer(run, answer)
        return Answer(answer.status, select_answer_headers(run, answer), stream)


def select_answer_headers(run: CallExecution, answer: BackendResponse) -> Headers:
    """Return an answer's headers; a stream that may resume has no length."""
    if not is_resumable(run, answer):
        return answer.headers
    return tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() != "content-length"
    )
