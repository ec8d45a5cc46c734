"""Assigns pending requests to backend servers or rejects them."""

from __future__ import annotations

import asyncio
import math
import time
from collections import defaultdict
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sycamorehaven.controllers.applications import EngineApplicant
from sycamorehaven.controllers.candidates import (
    ApplicationHistory,
    CandidateFinder,
    PendingRequest,
)
from sycamorehaven.controllers.pass_loads import LoadKey, PassLoads
from sycamorehaven.controllers.plain_servers.selection import PlainServerSelector
from sycamorehaven.controllers.reservations import ServerReservation
from sycamorehaven.controllers.routed_refusals import create_closed_refusal
from sycamorehaven.controllers.shares import WorkspaceShares
from sycamorehaven.decisions.client_timeouts import ClientTimeouts
from sycamorehaven.decisions.excess_allowance import ExcessAllowance
from sycamorehaven.decisions.load_shedding import (
    PlacementRequest,
    choose_busy_retry_after,
    choose_closed_retry_after,
    choose_retry_after,
    decide_plain_request,
    decide_postponed_request,
    decide_prompt_request,
)
from sycamorehaven.decisions.news_routes import choose_news_period_seconds
from sycamorehaven.decisions.placement import (
    Candidate,
    Placement,
    choose_engine,
    choose_plain_server,
)
from sycamorehaven.decisions.prefix_cache import hash_prefixes
from sycamorehaven.decisions.proportional_admission import (
    choose_limit_factor,
    count_spare_slots,
    draw_position,
    is_entitled,
)
from sycamorehaven.exceptions.refusals import (
    DeadlineUnreachable,
    NoBackendServer,
    RouterBusy,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from sycamorehaven.blackboard.board import Blackboard
    from sycamorehaven.controllers.admissions import AdmissionController
    from sycamorehaven.controllers.engine_reports import Admission
    from sycamorehaven.controllers.service_load import ClosedServers, ServiceLoad
    from sycamorehaven.controllers.shares import ShareStatus
    from sycamorehaven.decisions.load_shedding import Action
    from sycamorehaven.exceptions.refusals import Refusal
    from sycamorehaven.routing.requests import RoutedRequest
    from sycamorehaven.telemetry.decision_log import DecisionLog
    from sycamorehaven.telemetry.gateway_metrics import GatewayMetrics

MIN_DISPATCH_PAUSE_SECONDS = 0.02
"""Shortest pause between two passes over the pending requests."""
DISPATCH_PAUSE_RATIO = 4.0
"""
Pause after a pass as a multiple of the time that the pass took.

This leaves most of the event loop's time to the relaying of answers.
"""
CUT_SHORT_PAUSE_RATIO = 1.0
"""
The same after a pass that was cut short.

What it has not looked at was accepted because there is time for it. To reject
it now would cost nearly as much as to serve it.
"""
MAX_PASS_SECONDS = 0.02
"""Time after which a pass postpones the requests that are left."""
NO_SERVER_RETRY_SECONDS = 1.0
"""Longest ``Retry-After`` of a refusal because no server is known."""
MIN_RATE = 0.01
"""Rate, in requests per second, below which servers count as taking none."""
MAX_LOGGED_SERVERS = 16
"""Number of servers in a line about a refusal."""


def _describe_missing_servers(pending: PendingRequest) -> str:
    service, version = pending.request.service, pending.software_version
    if version is None:
        return f"no backend server of the service '{service}' takes work"
    return (
        f"no backend server of the service '{service}' with the software version"
        f" '{version}', which began the stream, takes work"
    )


class Dispatcher(Service):
    """
    Orders pending requests by fair share and assigns them to servers.

    :param board: shared state of this router.
    :param decision_log: records each assignment and rejection.
    :param metrics: records queueing times.
    :param clock: returns monotonic time in seconds.
    :param admissions: asks the schedulers of engines; ``None`` if this router
        decides alone.
    """

    def __init__(
        self,
        board: Blackboard,
        decision_log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = time.monotonic,
        admissions: AdmissionController | None = None,
    ) -> None:
        super().__init__()
        self._board = board
        self._decision_log = decision_log
        self._metrics = metrics
        self._clock = clock
        self._pending: list[PendingRequest] = []
        self._client_timeouts = ClientTimeouts()
        self._candidate_finder = CandidateFinder(board, admissions)
        self._applicant = EngineApplicant(
            board, self._candidate_finder, admissions, self, metrics, clock
        )
        self._selector = PlainServerSelector(board, self._candidate_finder)
        self._shares = WorkspaceShares(board)
        self._excess_allowances: defaultdict[str, ExcessAllowance] = defaultdict(
            ExcessAllowance
        )
        self._request_arrived = asyncio.Event()
        self._next_pass_at = 0.0
        self._pause_ratio = DISPATCH_PAUSE_RATIO
        board.routing.changed.subscribe(self._withdraw_evacuated)

    async def acquire(
        self,
        request: RoutedRequest,
        excluded_servers: Collection[str] = (),
        *,
        software_version: str | None = None,
        is_resume: bool = False,
    ) -> ServerReservation:
        """
        Wait for a server and return the reservation on it.

        :param excluded_servers: servers that have already failed the request.
        :param software_version: version of the servers that may serve the
            request; ``None`` for any.
        :param is_resume: whether the client already has a part of the answer.
        :raises DeadlineUnreachable: if the request cannot be served in time.
        :raises NoBackendServer: if no server of its service takes work.
        """
        now = self._clock()
        self._client_timeouts.record(request)
        self._board.server_conditions.get_shares(request.service).record_arrival(now)
        prefixes = hash_prefixes(request.head.model, request.head.prompt_parts)
        if request.workspace and not excluded_servers:
            cost = request.token_cost
            self._board.fleet_load.add_usage(request.workspace, cost, 0.0, now)
        future: asyncio.Future[ServerReservation] = (
            asyncio.get_running_loop().create_future()
        )
        pending = PendingRequest(
            request,
            prefixes,
            frozenset(excluded_servers),
            is_resume,
            now,
            future,
            software_version,
            draw_position(request.head.attempt_id),
            ApplicationHistory(),
        )
        self._selector.record_request(pending)
        self._pending.append(pending)
        if len(self._pending) == 1 and now >= self._next_pass_at:
            self.dispatch_pending()
        self._request_arrived.set()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                future.result().release()
            raise
        finally:
            if pending in self._pending:
                self._pending.remove(pending)
            self._applicant.withdraw(pending)

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if not self._pending:
                self._request_arrived.clear()
                await self.wait(self._request_arrived.wait())
                continue
            await asyncio.sleep(max(self._next_pass_at - self._clock(), 0.0))
            try:
                self.dispatch_pending()
            except Exception:
                # A request that makes the pass fail must not end the loop for
                # the others. Each request times out at its own deadline.
                logging.exception(
                    "failed to dispatch the pending requests; trying again"
                )
            await asyncio.sleep(MIN_DISPATCH_PAUSE_SECONDS)

    def dispatch_pending(self) -> None:
        """
        Make one pass over the pending requests.

        Each request that a server has capacity for is assigned, each one that
        cannot be served in time is rejected, and the others remain pending.
        The pass is cut short if it takes too long.
        """
        started_at = self._clock()
        try:
            with self._board.workload.measure("dispatch"):
                self._make_pass(started_at)
        finally:
            ended_at = self._clock()
            elapsed = ended_at - started_at
            self._next_pass_at = ended_at + elapsed * self._pause_ratio
            self._metrics.dispatch_duration.observe(elapsed)

    def _make_pass(self, now: float) -> None:
        self._pending = [
            pending for pending in self._pending if not pending.reservation.done()
        ]
        undecided = [
            pending for pending in self._pending if not pending.applications.current
        ]
        if not undecided or self._board.routing.recovery.is_pending(now):
            self._board.event_loop.update_dispatch(now)
            return
        share_statuses = self._shares.compute_statuses(
            {pending.request.workspace for pending in self._pending}, now
        )

        def sort_key(pending: PendingRequest) -> tuple[bool, bool, float]:
            share_status = share_statuses[pending.request.workspace]
            if pending.is_resume:
                return False, False, pending.queued_at
            entitled = is_entitled(pending.position, share_status.entitled_ratio)
            return not entitled, not share_status.is_within_share, pending.queued_at

        in_order = sorted(undecided, key=sort_key)
        loads = PassLoads(self._candidate_finder, now)
        considered = 0
        for pending in in_order:
            if considered and self._clock() - now >= MAX_PASS_SECONDS:
                break
            considered += 1
            share_status = share_statuses[pending.request.workspace]
            self._place_or_reject(pending, loads, share_status, now)
        postponed = in_order[considered:]
        self._pause_ratio = CUT_SHORT_PAUSE_RATIO if postponed else DISPATCH_PAUSE_RATIO
        self._board.workload.count_pass(considered, is_cut_short=bool(postponed))
        self._postpone(postponed, considered, share_statuses, now)
        self._pending = [
            pending for pending in self._pending if not pending.reservation.done()
        ]
        self._shares.record_contention(self._pending, share_statuses, now)
        self._metrics.waiting_requests.set(len(self._pending))

    def _postpone(
        self,
        postponed: Sequence[PendingRequest],
        considered: int,
        share_statuses: dict[str, ShareStatus],
        started_at: float,
    ) -> None:
        """
        Reject those of the postponed requests whose turn would come too late.

        :param postponed: requests that the pass has not considered, in order.
        :param considered: number of requests that it has considered.
        :param started_at: when the pass began, in monotonic seconds.
        """
        if not postponed:
            self._board.event_loop.update_dispatch(started_at)
            return
        now = self._clock()
        seconds_per_pass = (now - started_at) * (1.0 + CUT_SHORT_PAUSE_RATIO)
        passes = math.ceil((len(postponed) + 1) / considered)
        self._board.event_loop.update_dispatch(now + passes * seconds_per_pass)
        for index, pending in enumerate(postponed, start=1):
            delay = math.ceil(index / considered) * seconds_per_pass
            share_status = share_statuses[pending.request.workspace]
            placement_request = self._build_placement_request(
                pending, share_status, yields=False
            )
            if decide_postponed_request(placement_request, delay, now) == "wait":
                continue
            refusal = RouterBusy(
                "the router has too many requests to decide on",
                retry_after=choose_busy_retry_after(pending.request.deadline - now),
            )
            self._board.workload.count_rejection_stage("by_dispatcher")
            self._reject(pending, refusal, "router_busy", placement_request, None, now)

    def _place_or_reject(
        self,
        pending: PendingRequest,
        loads: PassLoads,
        share_status: ShareStatus,
        now: float,
    ) -> None:
        """Assign a request to a server, reject it, or let it wait."""
        request = pending.request
        entitled = is_entitled(pending.position, share_status.entitled_ratio)
        limit_factor = choose_limit_factor(share_status.satisfaction, entitled=entitled)
        load = loads.get(
            LoadKey(request.service, pending.software_version, limit_factor)
        )
        placement_request = self._build_placement_request(
            pending,
            share_status,
            yields=not entitled
            and not (pending.prefixes and load.has_schedulers)
            and self._must_yield(
                request.service, loads.get(LoadKey(request.service)), share_status, now
            ),
        )
        if not load.views:
            self._reject_without_servers(pending, placement_request, now)
            return
        closed = load.summarize_closed()
        if closed is not None:
            self._wait_or_reject(pending, closed, loads, placement_request, now)
            return
        candidates: list[Candidate] = []
        if placement_request.resumes or not placement_request.yields:
            candidates = self._selector.list_candidates(pending, load, now)
        action, best = self._choose_action(
            placement_request, candidates, bool(pending.prefixes), now
        )
        if best is not None and self._applicant.has_scheduler(pending, best, now):
            self._applicant.apply(pending, best, placement_request, now)
            loads.update(best.server)
        elif action == "place" and best is not None:
            if not entitled:
                self._excess_allowances[request.service].take()
            self.assign_server(pending, best, placement_request, now)
            loads.update(best.server)
        elif action == "reject":
            shortest_wait = min(view.estimated_wait_seconds for view in load.views)
            self.reject_late(pending, shortest_wait, placement_request, best, now)

    def _withdraw_evacuated(self) -> None:
        self._applicant.withdraw_evacuated(self._pending)

    def reconsider_pending(self) -> None:
        """Look at the pending requests again in the next pass."""
        self._request_arrived.set()

    def reject_late(
        self,
        pending: PendingRequest,
        shortest_wait: float,
        placement_request: PlacementRequest,
        best: Placement | None,
        now: float,
    ) -> None:
        """
        Reject a request that no engine can serve in time.

        :param shortest_wait: seconds until an engine has read what it has.
        """
        refusal = DeadlineUnreachable(
            "the backend servers cannot process the queued requests in time",
            retry_after=choose_retry_after(placement_request, shortest_wait, now),
        )
        self._reject(pending, refusal, "overload", placement_request, best, now)

    def _reject_without_servers(
        self, pending: PendingRequest, placement_request: PlacementRequest, now: float
    ) -> None:
        """Reject a request for which no server is known that takes work."""
        time_left = pending.request.deadline - now
        refusal = NoBackendServer(
            _describe_missing_servers(pending),
            retry_after=min(NO_SERVER_RETRY_SECONDS, time_left * 0.3),
        )
        self._reject(pending, refusal, "no_server", placement_request, None, now)

    def _wait_or_reject(
        self,
        pending: PendingRequest,
        closed: ClosedServers,
        loads: PassLoads,
        placement_request: PlacementRequest,
        now: float,
    ) -> None:
        """Reject a request at once if the servers open too late for it."""
        ahead = loads.count_waiting(pending.request.service)
        delay = max(closed.opens_at - now, 0.0) + ahead / max(closed.rate, MIN_RATE)
        if decide_postponed_request(placement_request, delay, now) == "wait":
            return
        rate, time_left = closed.rate, pending.request.deadline - now
        if closed.all_evacuated:
            # Nobody knows when an evacuation ends.
            delay, rate = NO_SERVER_RETRY_SECONDS, 1.0 / NO_SERVER_RETRY_SECONDS
        retry_after = choose_closed_retry_after(
            delay, rate, pending.position, time_left
        )
        refusal = create_closed_refusal(pending.request.service, closed, retry_after)
        self._reject(
            pending, refusal, refusal.code, placement_request, None, now, closed
        )

    def _must_yield(
        self, service: str, load: ServiceLoad, share_status: ShareStatus, now: float
    ) -> bool:
        """Return whether an excess request leaves the free slots to others."""
        if not load.free_prompt_slots:
            return False
        fleet_load = self._board.fleet_load
        spare_slots = count_spare_slots(
            load.free_prompt_slots,
            load.total_prompt_slots,
            fleet_load.count_requests_ahead(service, share_status.fill_level, now),
        )
        allowance = self._excess_allowances[service]
        allowance.accrue(
            spare_slots,
            1 + fleet_load.count_contending_routers(service, now),
            choose_news_period_seconds(self._board.members.count()),
            now,
        )
        return spare_slots <= 0.0 or not allowance.is_available()

    def _build_placement_request(
        self, pending: PendingRequest, share_status: ShareStatus, *, yields: bool
    ) -> PlacementRequest:
        request = pending.request
        return PlacementRequest(
            first_asked_at=pending.queued_at
            - self._client_timeouts.estimate_elapsed(request),
            received_at=pending.queued_at,
            target_seconds=request.route.latency_target,
            deadline=request.deadline,
            within_share=share_status.is_within_share or pending.is_resume,
            resumes=pending.is_resume,
            satisfaction=share_status.satisfaction,
            yields=yields,
            entitled=is_entitled(pending.position, share_status.entitled_ratio),
        )

    def _choose_action(
        self,
        placement_request: PlacementRequest,
        candidates: list[Candidate],
        has_prompt: bool,
        now: float,
    ) -> tuple[Action, Placement | None]:
        if has_prompt:
            best = choose_engine(candidates)
            return decide_prompt_request(placement_request, best, now), best
        best = choose_plain_server(candidates)
        return decide_plain_request(placement_request, best, now), best

    def assign_server(
        self,
        pending: PendingRequest,
        best: Placement,
        placement_request: PlacementRequest,
        now: float,
        admission: Admission | None = None,
    ) -> None:
        """
        Give a request the reservation on a server.

        :param best: the server and the expected times.
        :param admission: admission to the engine, if its scheduler gave one.
        """
        request, fleet_load = pending.request, self._board.fleet_load
        admission = admission or self._applicant.take_alone(pending, best)
        model = fleet_load.find_model(best.server.id)
        if gate := self._board.server_conditions.find(best.server.incarnation_id):
            gate.take()
        self._board.cold_servers.take(best.server.incarnation_id)
        self._selector.record_placement(best.server.id, now)
        prefill = model.start_request(best.uncached_tokens, now)
        model.prefix_cache.record_prompt(pending.prefixes)
        fleet_load.add_placements(pending.prefixes, best.server.id)
        fleet_load.mark_load_changed(best.server.id)
        cost = request.token_cost
        if request.workspace:
            fleet_load.add_usage(request.workspace, 0.0, cost, now)
        self._board.workload.count_attempt(request.workspace)
        waited = now - pending.queued_at
        self._metrics.queue_time.labels(request.service, request.route.kind).observe(
            waited
        )
        self._decision_log.record(
            "placed",
            request=request.head.attempt_id,
            workspace=request.workspace,
            server=best.server.id,
            waited=round(waited, 3),
            asked_before=round(placement_request.elapsed_seconds, 3),
            expected=round(best.first_token_seconds, 3),
            uncached=best.uncached_tokens,
            source=best.copy_source,
            running=model.count_requests(now),
            refused=pending.applications.refused,
            within_share=placement_request.within_share,
            entitled=placement_request.entitled,
            satisfaction=round(placement_request.satisfaction, 2),
            snapshot=self._board.routing.revision,
            snapshot_age=round(now - self._board.routing.read_at, 3),
        )
        pending.reservation.set_result(
            ServerReservation(
                self._board,
                best.server,
                model,
                prefill,
                best.copy_source,
                request.workspace,
                cost,
                best.first_token_seconds if pending.prefixes else 0.0,
                admission,
            )
        )

    def _reject(
        self,
        pending: PendingRequest,
        refusal: Refusal,
        reason: str,
        placement_request: PlacementRequest,
        best: Placement | None,
        now: float,
        closed: ClosedServers | None = None,
    ) -> None:
        self._board.workload.count_rejection(pending.request.workspace, reason)
        self._decision_log.record(
            "turned_away",
            request=pending.request.head.attempt_id,
            workspace=pending.request.workspace,
            reason=reason,
            waited=round(now - pending.queued_at, 3),
            asked_before=round(placement_request.elapsed_seconds, 3),
            expected=round(best.first_token_seconds, 3) if best else None,
            engine_wait=round(best.wait_seconds, 3) if best else None,
            refused=pending.applications.refused,
            within_share=placement_request.within_share,
            entitled=placement_request.entitled,
            satisfaction=round(placement_request.satisfaction, 2),
            yields=placement_request.yields,
            retry_after=refusal.retry_after,
            closed_servers=closed.servers[:MAX_LOGGED_SERVERS] if closed else (),
            snapshot_age=round(now - self._board.routing.read_at, 3),
        )
        pending.reservation.set_exception(refusal)
