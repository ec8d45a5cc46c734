"""Runs a call from its admission to the end of its answer."""

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
    Queues calls, waits for their permits, sends them and relays the answers.

    :param board: shared state of this router.
    :param permit_releaser: receives permits that are no longer needed.
    :param backends: connections to backend servers.
    :param suspect_registry: fleet-wide registry of suspect requests and their
        leases.
    :param failure_reporter: is told about servers that failed, if given.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        permit_releaser: PermitReleaser,
        backends: BackendClient,
        suspect_registry: SuspectRegistry,
        failure_reporter: ServerFailureReporter | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._suspect_registry = suspect_registry
        self._clock = clock
        self._admission_controller = AdmissionController(board, permit_releaser, clock)
        self._retry_budget = RetryBudget()
        self._context = CallContext(
            board,
            self._admission_controller,
            permit_releaser,
            backends,
            self._retry_budget,
            failure_reporter,
            clock,
        )

    async def answer(self, call: Call) -> Answer:
        """
        Return the answer to a call as soon as its headers are known.

        :raises Refusal: if the call is refused or its attempts failed.
        """
        self._admission_controller.admit(call)
        self._retry_budget.record_request()
        guard = SuspectGuard(call, self._board, self._suspect_registry, self._clock)
        execution = CallExecution(call, self._context, guard)
        try:
            answer = await execution.start()
        except Refusal:
            raise
        except Exception as error:
            logging.exception(
                "internal error while handling request %s", call.request_id
            )
            raise InternalError(
                "the router failed while it handled the request",
                was_run=execution.was_run,
            ) from error
        stream = AnswerStream.from_answer(execution, answer)
        return Answer(answer.status, select_answer_headers(execution, answer), stream)


def select_answer_headers(execution: CallExecution, answer: BackendResponse) -> Headers:
    """
    Return the headers of an answer for the caller.

    ``Content-Length`` is removed from a stream that may be resumed, because
    the length of its continuation on another server is not known.
    """
    if not is_resumable(execution, answer):
        return answer.headers
    return tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() != "content-length"
    )
