"""Asks schedulers of engines to admit the dispatcher's pending requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sycamorehaven.decisions.load_shedding import (
    compute_max_wait,
    compute_tolerated_wait,
    is_hopeless,
)
from sycamorehaven.transport.messages.admissions import AdmissionRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.admissions import (
        AdmissionAnswer,
        AdmissionController,
    )
    from sycamorehaven.controllers.candidates import CandidateFinder, PendingRequest
    from sycamorehaven.controllers.engine_reports import Admission
    from sycamorehaven.decisions.load_shedding import PlacementRequest
    from sycamorehaven.decisions.placement import Placement
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics


MIN_COLD_WAIT_SECONDS = 0.1
"""Least time for which a cold engine that refused a request is not asked."""


class RequestPlacer(Protocol):
    """Carries out what becomes of a pending request."""

    def assign_server(
        self,
        pending: PendingRequest,
        best: Placement,
        placement_request: PlacementRequest,
        now: float,
        admission: Admission | None = None,
    ) -> None:
        """Give a request the reservation on a server."""

    def reject_late(
        self,
        pending: PendingRequest,
        shortest_wait: float,
        placement_request: PlacementRequest,
        best: Placement | None,
        now: float,
    ) -> None:
        """Reject a request that no engine can serve in time."""

    def reconsider_pending(self) -> None:
        """Look at the pending requests again."""


class EngineApplicant:
    """
    Applies for admission to the engines that the dispatcher chooses.

    :param board: shared state of this router.
    :param candidate_finder: tells which engines have a scheduler.
    :param admissions: asks the schedulers; ``None`` if this router decides
        alone.
    :param placer: carries out what follows from the answers.
    :param metrics: counts what cold engines refuse.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        board: Blackboard,
        candidate_finder: CandidateFinder,
        admissions: AdmissionController | None,
        placer: RequestPlacer,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._board = board
        self._candidate_finder = candidate_finder
        self._admissions = admissions
        self._placer = placer
        self._metrics = metrics
        self._clock = clock

    def has_scheduler(
        self, pending: PendingRequest, best: Placement, now: float
    ) -> bool:
        """Return whether a request needs admission to its best server."""
        return bool(pending.prefixes) and self._candidate_finder.has_scheduler(
            best.server, now
        )

    def apply(
        self,
        pending: PendingRequest,
        best: Placement,
        placement_request: PlacementRequest,
        now: float,
    ) -> None:
        """Ask the scheduler of an engine, or reject the request."""
        if self._admissions is None:
            return
        history, request = pending.applications, pending.request
        max_wait = compute_max_wait(placement_request, best, now)
        if is_hopeless(
            placement_request,
            history.refused,
            best.wait_seconds,
            max_wait,
            history.refused_by_cold,
        ):
            self._placer.reject_late(
                pending, best.wait_seconds, placement_request, best, now
            )
            return
        application = AdmissionRequest(
            number=0,
            server="",
            workspace=request.workspace,
            tokens=best.uncached_tokens,
            cost=request.token_cost,
            max_wait=compute_tolerated_wait(
                placement_request, max_wait, best.wait_seconds, history.refused
            ),
            resumes=placement_request.resumes,
        )

        def handle_answer(answer: AdmissionAnswer) -> None:
            history.current = 0
            self._handle_answer(pending, best, placement_request, answer)

        history.server = best.server
        history.current = self._admissions.apply(
            application, best.server, handle_answer
        )

    def withdraw(self, pending: PendingRequest) -> None:
        """End the application of a request that is no longer pending."""
        if self._admissions is not None:
            self._admissions.withdraw(pending.applications.current)

    def withdraw_evacuated(self, pending_requests: Iterable[PendingRequest]) -> None:
        """Withdraw the applications to engines that have been evacuated."""
        routing = self._board.routing
        if not routing.evacuated_domains:
            return
        for pending in pending_requests:
            history = pending.applications
            if not history.current or history.server is None:
                continue
            if routing.is_evacuated(history.server):
                self.withdraw(pending)
                history.current = 0
                self._placer.reconsider_pending()

    def take_alone(self, pending: PendingRequest, best: Placement) -> Admission | None:
        """
        Return the admission of a request whose scheduler was not asked.

        :returns: ``None`` if the server has no scheduler.
        """
        if self._admissions is None or not pending.prefixes:
            return None
        return self._admissions.take_alone(best.server, best.uncached_tokens)

    def _handle_answer(
        self,
        pending: PendingRequest,
        best: Placement,
        placement_request: PlacementRequest,
        answer: AdmissionAnswer,
    ) -> None:
        """Send an admitted request; look for another engine otherwise."""
        now, admission = self._clock(), answer.admission
        if admission is not None and answer.state is not None:
            if not pending.reservation.done() and self._takes_request(best, now):
                placement = best._replace(wait_seconds=answer.state.backlog_seconds)
                self._placer.assign_server(
                    pending, placement, placement_request, now, admission
                )
                return
            admission.end()
        if answer.verdict == "refused":
            self._record_refusal(pending, best, answer, now)
        self._placer.reconsider_pending()

    def _record_refusal(
        self,
        pending: PendingRequest,
        best: Placement,
        answer: AdmissionAnswer,
        now: float,
    ) -> None:
        """Count a refusal, and leave a cold engine alone for a while."""
        cold_servers, name = self._board.cold_servers, best.server.incarnation_id
        if cold_servers.find(name, now) is None:
            pending.applications.refused += 1
            return
        pending.applications.refused_by_cold += 1
        self._metrics.cold_refusals.inc()
        wait = answer.state.backlog_seconds if answer.state else 0.0
        cold_servers.defer(name, now + max(wait, MIN_COLD_WAIT_SECONDS))

    def _takes_request(self, best: Placement, now: float) -> bool:
        """Return whether a server still takes a request that was admitted."""
        routing, source = self._board.routing, best.copy_source
        available = routing.list_available_servers(best.server.service)
        model = self._board.fleet_load.find_model(best.server.id)
        return (
            best.server in available
            and (not source or routing.allows_copies_from(source, now))
            and model.health.ejected_until <= now
            and self._candidate_finder.find_opening(
                best.server, now, is_admitted=True
            ).is_open
        )
