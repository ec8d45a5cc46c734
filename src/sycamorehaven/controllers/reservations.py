"""Reservations of capacity on backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorehaven.decisions.concurrency import is_late_gap
from sycamorehaven.exceptions.backends import (
    ConnectFailed,
    ConnectRefused,
    ServerLeaving,
    ServerLost,
    ServerOverloaded,
    ServerReplaced,
    ServerSilent,
    ServerUnwilling,
)

if TYPE_CHECKING:
    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.engine_reports import Admission
    from sycamorehaven.decisions.server_model import Prefill, ServerModel
    from sycamorehaven.exceptions.backends import BackendError
    from sycamorehaven.routing.model import ServerRecord

CONNECTION_FAILURES = (ConnectFailed, ServerLeaving, ServerLost, ServerSilent)
"""Failures after which a server gets no requests for a while."""
UNREACHED_FAILURES = (ConnectFailed, ServerUnwilling)
"""Failures of requests that have not reached the server."""
OVERLOAD_PAUSE_SECONDS = 0.15
"""Time without new requests for a server that reported an overload."""


class ServerReservation:
    """
    A request's reserved capacity on a backend server.

    :param board: shared state of this router.
    :param server: the server.
    :param model: the model that estimates the server's state.
    :param prefill: the processing of the request's prompt, as the model counts
        it.
    :param copy_source: address of the server from which a part of the prompt's
        cache is copied, or "".
    :param workspace: workspace that is charged for the request, or "".
    :param cost: what it was charged, in prompt tokens.
    :param expected_seconds: expected time to the first token; 0 if the request
        has no prompt.
    :param admission: tells the scheduler of the engine what becomes of the
        request; ``None`` if the server has no scheduler.
    """

    def __init__(
        self,
        board: Blackboard,
        server: ServerRecord,
        model: ServerModel,
        prefill: Prefill,
        copy_source: str = "",
        workspace: str = "",
        cost: float = 0.0,
        expected_seconds: float = 0.0,
        admission: Admission | None = None,
    ) -> None:
        self._board = board
        self._server = server
        self._copy_source = copy_source
        self._workspace = workspace
        self._cost = cost
        self._expected_seconds = expected_seconds
        self._admission = admission
        self._model = model
        self._prefill: Prefill | None = prefill
        self._is_released = False

    @property
    def server(self) -> ServerRecord:
        """The server."""
        return self._server

    @property
    def copy_source(self) -> str:
        """Address of the server to copy a part of the cache from, or ""."""
        return self._copy_source

    @property
    def model(self) -> ServerModel:
        """The model that estimates the server's state."""
        return self._model

    def record_first_token(self, now: float) -> None:
        """Record that the server has processed the prompt."""
        if self._prefill is None:
            return
        self._model.record_first_token(self._prefill, now)
        if self._expected_seconds:
            self._board.workload.count_first_event(
                self._expected_seconds, now - self._prefill.sent_at
            )
        if self._admission is not None:
            self._admission.begin(now - self._prefill.sent_at)
        self._board.fleet_load.record_start(now)
        self._prefill = None
        self._publish_load()

    def record_answer(self, now: float, *, failed: bool, route: str = "") -> None:
        """
        Record that the server answered the request.

        :param failed: whether the answer is an error of the server.
        :param route: route of the request, "" if its time says nothing of
            the other requests of the route.
        """
        if route and not failed and self._prefill is not None:
            self._record_service_time(route, now)
        self._model.health.record_answer(failed=failed)
        self._record_result(now, failed=failed)
        self.record_first_token(now)

    def record_failure(self, error: BackendError, now: float) -> None:
        """Record that the server failed the request."""
        if isinstance(error, ServerUnwilling):
            # The server has failed nothing, as nothing was sent.
            self.cancel(now)
            return
        health = self._model.health
        if isinstance(error, ServerOverloaded):
            health.record_overload(now, OVERLOAD_PAUSE_SECONDS)
        elif isinstance(error, (ConnectRefused, ServerReplaced)):
            health.record_refused_connection(now)
        elif isinstance(error, CONNECTION_FAILURES):
            health.record_connection_failure(now)
        else:
            health.record_answer(failed=True)
        if error.was_sent and not isinstance(error, ServerOverloaded):
            self._record_result(now, failed=True)
        if self._prefill is not None:
            self.refund(now)
        if isinstance(error, ConnectFailed):
            self._return_allowance()
        elif isinstance(error, ServerReplaced):
            self._board.cold_servers.give_back(self._server.incarnation_id)

    def _record_result(self, now: float, *, failed: bool) -> None:
        """Count a result of a plain server for all routers."""
        if self._board.routing.has_plain_servers(self._server.service):
            self._board.plain_servers.record_own_result(
                self._server.id, now, failed=failed
            )

    def _record_service_time(self, route: str, now: float) -> None:
        """Measure the time of a request by which servers are compared."""
        section = self._board.plain_servers
        if self._prefill and self._board.routing.has_plain_servers(
            self._server.service
        ):
            factor = section.get_slowdown(self._server.id).estimate_factor(now)
            seconds = now - self._prefill.sent_at
            section.service_times.record(route, seconds, factor)

    def refund(self, now: float) -> None:
        """Take back the charge for a request whose answer did not begin."""
        if self._workspace:
            fleet_load = self._board.fleet_load
            fleet_load.add_usage(self._workspace, 0.0, -self._cost, now)

    def cancel(self, now: float) -> None:
        """Take back everything for a request that is not sent."""
        self.refund(now)
        self._return_allowance()

    def _return_allowance(self) -> None:
        """Take back what counts against a limit of the server."""
        gate = self._board.server_conditions.find(self._server.incarnation_id)
        if gate is not None:
            gate.give_back()
        self._board.cold_servers.give_back(self._server.incarnation_id)

    def record_event_gap(self, gap: float, longest: float, now: float) -> None:
        """
        Record the time between two events of a stream.

        :param gap: measured time in seconds.
        :param longest: longest acceptable time in seconds.
        :param now: monotonic seconds.
        """
        if self._admission is not None and longest:
            self._admission.observe_gap(is_late=is_late_gap(gap, longest))
        self._model.concurrency.observe_gap(gap, longest, now)

    def release(self) -> None:
        """Release the reservation; further calls have no effect."""
        if self._is_released:
            return
        self._is_released = True
        if self._prefill is not None:
            self._model.abandon_prefill(self._prefill)
            self._prefill = None
        self._model.finish_request()
        if self._admission is not None:
            self._admission.end()
        self._publish_load()

    def _publish_load(self) -> None:
        self._board.fleet_load.mark_load_changed(self._server.id)
        self._board.fleet_load.changed.notify()
