"""Takes a call from admission to the end of its answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from absl import logging

from sycamorehaven.call import Answer
from sycamorehaven.controllers.admission import Admission
from sycamorehaven.controllers.attempts import CallRun
from sycamorehaven.controllers.guards import SuspectGuard
from sycamorehaven.controllers.sending import Edge
from sycamorehaven.controllers.streams import AnswerStream, can_resume
from sycamorehaven.decisions.retry_budget import RetryBudget
from sycamorehaven.exceptions.refusals import InternalError, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.call import Call
    from sycamorehaven.controllers.admission import PermitHolder
    from sycamorehaven.controllers.guards import SuspectLedger
    from sycamorehaven.controllers.sending import ServerReports
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
        permits: PermitHolder,
        backends: BackendClient,
        suspects: SuspectLedger,
        reports: ServerReports | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._suspects = suspects
        self._clock = clock
        self._admission = Admission(board, permits, clock)
        self._budget = RetryBudget()
        self._edge = Edge(
            board, self._admission, permits, backends, self._budget, reports, clock
        )

    async def answer(self, call: Call) -> Answer:
        """
        Return the answer to a call once its headers are known.

        :raises Refusal: if the call is refused or its attempts failed.
        """
        self._admission.admit(call)
        self._budget.add_fresh()
        guard = SuspectGuard(call, self._board, self._suspects, self._clock)
        run = CallRun(call, self._edge, guard)
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
        return Answer(answer.status, choose_headers(run, answer), stream)


def choose_headers(run: CallRun, answer: BackendResponse) -> Headers:
    """Return an answer's headers; a stream that may resume has no length."""
    if not can_resume(run, answer):
        return answer.headers
    return tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() != "content-length"
    )
